"""Waits until a version of a document is in force on every host."""

import asyncio
from collections import abc

import msgspec

from ragwortchute import clock
from ragwortchute import errors
from ragwortchute import operators
from ragwortchute.commands import operator_client

POLL_S = 0.2


class Wanted(msgspec.Struct, frozen=True):
    """A document and the version to wait for."""

    name: str
    version: int


class HostState(msgspec.Struct, frozen=True):
    """What one listener answered.

    Attributes:
        url: Base URL of the listener.
        status: The status, or None if the host did not give it.
        error: Why there is no status.
        refused: True if the host answered with an error.
    """

    url: str
    status: operators.HostStatus | None
    error: str = ''
    refused: bool = False

    def lacks(self, wanted: abc.Iterable[Wanted]) -> list[str]:
        """Returns the documents that are not in force in the version."""
        held = self.status.documents if self.status else {}
        return [
            item.name
            for item in wanted
            if item.name not in held or held[item.name].version < item.version
        ]


def parse_wanted(text: str) -> Wanted:
    """Returns the parts of `NAME=VERSION`.

    Raises:
        SettingError: The text has another form.
    """
    name, _, version = text.rpartition('=')
    if not name or not (version.isascii() and version.isdigit()):
        raise errors.SettingError(
            f'{text!r} is not NAME=VERSION', step='command line'
        )
    return Wanted(name, int(version))


async def ask(
    clients: abc.Iterable[operator_client.OperatorClient],
) -> list[HostState]:
    """Returns the states of all hosts, asked at the same time."""
    return list(await asyncio.gather(*map(_ask_one, clients)))


async def wait(
    clients: abc.Sequence[operator_client.OperatorClient],
    wanted: abc.Sequence[Wanted],
    *,
    clock_: clock.Clock,
    timeout_s: float,
    progress: abc.Callable[[str], None],
) -> tuple[bool, list[HostState]]:
    """Polls until all hosts have the versions in force.

    Args:
        clients: One client for each host.
        wanted: Documents and versions.
        clock_: Source of time.
        timeout_s: Longest wait in seconds.
        progress: Called with a line whenever the number of hosts changes.

    Returns:
        Whether every host has the versions, and the last states.
    """
    end_s = clock_.monotonic() + timeout_s
    shown = ''
    while True:
        states = await ask(clients)
        missing = [state.url for state in states if state.lacks(wanted)]
        line = f'in force on {len(states) - len(missing)} of {len(states)}'
        if missing:
            line += f' hosts; waiting for {", ".join(missing)}'
        else:
            line += ' hosts'
        if line != shown:
            progress(line)
            shown = line
        if not missing or clock_.monotonic() >= end_s:
            return not missing, states
        await clock_.sleep(POLL_S)


def not_asked(states: abc.Iterable[HostState]) -> list[str]:
    """Returns members of the hosts' views that no listener belongs to."""
    answered = [state.status for state in states if state.status]
    members = {
        host
        for status in answered
        if status.view
        for host in status.view.members
    }
    return sorted(members - {status.host for status in answered})


async def _ask_one(client: operator_client.OperatorClient) -> HostState:
    try:
        return HostState(client.url, await client.status())
    except operator_client.Refused as exc:
        return HostState(client.url, None, str(exc), refused=True)
    except errors.PeerError as exc:
        return HostState(client.url, None, str(exc))
