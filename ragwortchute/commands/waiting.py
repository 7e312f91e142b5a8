"""Waits until a version of a document is in force on every host."""

import asyncio
from collections import abc

import msgspec

from ragwortchute import clock
from ragwortchute import errors
from ragwortchute import operators
from ragwortchute.commands import operator_client

POLL_INTERVAL_S = 0.2


class WantedVersion(msgspec.Struct, frozen=True):
    """A document and the version to wait for."""

    name: str
    version: int


class HostState(msgspec.Struct, frozen=True):
    """Status of one host, or the reason why it is unknown.

    Attributes:
        url: Base URL of the listener.
        status: Status of the host, or None if it is unknown.
        error: Why the status is unknown.
        refused: Whether the host answered with an error.
    """

    url: str
    status: operators.HostStatus | None
    error: str = ''
    refused: bool = False

    def missing_documents(
        self, wanted: abc.Iterable[WantedVersion]
    ) -> list[str]:
        """Returns the documents whose wanted version is not in force."""
        documents = self.status.documents if self.status else {}
        return [
            document.name
            for document in wanted
            if document.name not in documents
            or documents[document.name].version < document.version
        ]


def parse_wanted_version(text: str) -> WantedVersion:
    """Parses `NAME=VERSION`.

    Raises:
        SettingError: The text does not have this form.
    """
    name, _, version = text.rpartition('=')
    if not name or not (version.isascii() and version.isdigit()):
        raise errors.SettingError(
            f'{text!r} is not NAME=VERSION', step='command line'
        )
    return WantedVersion(name, int(version))


async def query_hosts(
    clients: abc.Iterable[operator_client.OperatorClient],
) -> list[HostState]:
    """Queries all hosts concurrently and returns their states."""
    return list(await asyncio.gather(*map(_query_host, clients)))


async def wait(
    clients: abc.Sequence[operator_client.OperatorClient],
    wanted: abc.Sequence[WantedVersion],
    *,
    clock_: clock.Clock,
    timeout_s: float,
    progress: abc.Callable[[str], None],
) -> tuple[bool, list[HostState]]:
    """Polls until the versions are in force on all hosts, or the time is up.

    Args:
        clients: One client for each host.
        wanted: Documents and versions.
        clock_: Source of time.
        timeout_s: Longest wait in seconds.
        progress: Called with a line of text whenever the progress changes.

    Returns:
        Whether every host has the versions, and the last states.
    """
    end_s = clock_.monotonic() + timeout_s
    last_line = ''
    while True:
        states = await query_hosts(clients)
        missing = [
            state.url for state in states if state.missing_documents(wanted)
        ]
        line = f'in force on {len(states) - len(missing)} of {len(states)}'
        if missing:
            line += f' hosts; waiting for {", ".join(missing)}'
        else:
            line += ' hosts'
        if line != last_line:
            progress(line)
            last_line = line
        if not missing or clock_.monotonic() >= end_s:
            return not missing, states
        await clock_.sleep(POLL_INTERVAL_S)


def unqueried_members(states: abc.Iterable[HostState]) -> list[str]:
    """Returns the members of the hosts' views that were not queried."""
    answered = [state.status for state in states if state.status]
    members = {
        host
        for status in answered
        if status.view
        for host in status.view.members
    }
    return sorted(members - {status.host for status in answered})


async def _query_host(client: operator_client.OperatorClient) -> HostState:
    try:
        return HostState(client.url, await client.status())
    except operator_client.Refused as exc:
        return HostState(client.url, None, str(exc), refused=True)
    except errors.PeerError as exc:
        return HostState(client.url, None, str(exc))
