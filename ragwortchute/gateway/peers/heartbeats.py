"""Messages by which hosts exchange heartbeats, entries and notices."""

from collections import abc
import struct
import zlib

import msgspec

from ragwortchute.gateway import model
from ragwortchute.gateway.peers import retry_loans
from ragwortchute.gateway.selection import crash_guard

# Key, counter and age of a heartbeat on the wire.
_HEARTBEAT_FORMAT = struct.Struct('<IHB')
_COUNT_MASK = 0xFFFF
_AGE_RESOLUTION_S = 0.05
# Sent in place of the age if the host is stopping.
_LEAVING_AGE = 255


class Heartbeat(msgspec.Struct, frozen=True):
    """Latest known heartbeat of a host.

    Attributes:
        key: Hash of the name and incarnation of the host.
        count: Heartbeats since the host started, modulo 65,536.
        age_s: Age of the heartbeat in seconds.
        leaving: Whether the host is stopping.
    """

    key: int
    count: int
    age_s: float
    leaving: bool


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Datagram between two hosts.

    Attributes:
        sender: Name of the sending host.
        heartbeats: Heartbeats that the sender knows, encoded by `pack`.
        entries: Host entries with addresses.
        requested_keys: Keys of hosts whose entries the sender asks for.
        revisions: Revision of the last change that the sender knows, by
            prefix of the store.
        crashes: Notices about requests that crash targets.
        answered: Digests of suspected requests that a target has answered.
        failures: Reports of failures of targets, see `failure_reports`.
        loans: Requests for retries and answers to them.
        statements: What targets have said in answers, see `target_statements`.
        parts: Payloads of optional parts, by the name of the part.
    """

    sender: str
    heartbeats: bytes = b''
    entries: tuple[model.HostEntry, ...] = ()
    requested_keys: tuple[int, ...] = ()
    revisions: dict[str, int] = {}
    crashes: tuple[crash_guard.CrashNotice, ...] = ()
    answered: tuple[int, ...] = ()
    failures: bytes = b''
    loans: tuple[retry_loans.LoanMessage, ...] = ()
    statements: bytes = b''
    parts: dict[str, bytes] = {}


def key_of(entry: model.HostEntry) -> int:
    """Returns a hash of the name and incarnation of a host."""
    return zlib.crc32(f'{entry.name}/{entry.incarnation}'.encode())


def pack(heartbeats: abc.Iterable[Heartbeat]) -> bytes:
    """Encodes heartbeats in 7 bytes each."""
    return b''.join(
        _HEARTBEAT_FORMAT.pack(
            heartbeat.key,
            heartbeat.count & _COUNT_MASK,
            _LEAVING_AGE
            if heartbeat.leaving
            else min(
                _LEAVING_AGE - 1, round(heartbeat.age_s / _AGE_RESOLUTION_S)
            ),
        )
        for heartbeat in heartbeats
    )


def unpack(data: bytes) -> list[Heartbeat]:
    """Decodes heartbeats; an incomplete one at the end is ignored."""
    complete_bytes = len(data) - len(data) % _HEARTBEAT_FORMAT.size
    return [
        Heartbeat(
            key,
            count,
            0.0 if age == _LEAVING_AGE else age * _AGE_RESOLUTION_S,
            age == _LEAVING_AGE,
        )
        for key, count, age in _HEARTBEAT_FORMAT.iter_unpack(
            data[:complete_bytes]
        )
    ]


def is_newer(count: int, previous: int) -> bool:
    """Returns whether a counter is ahead of another one, modulo 65,536."""
    return 0 < (count - previous) & _COUNT_MASK < _COUNT_MASK // 2
