"""What targets have said to all hosts in their answers.

A target may name a limit on the requests of all hosts, or say that it leaves.
Hosts learn of that by its answers and pass it on with their heartbeats: those
that don't send to the target get no answers, and have to learn from others that
it names another limit or none any more. Pauses, which a target asks of a single
host, are in `pauses`.
"""

from collections import abc
import math
import struct
import zlib

import msgspec

from ragwortchute.gateway import eventlog
from ragwortchute.gateway import model

# A limit is forgotten if no host has heard of it for this long.
MAX_AGE_S = 30.0
# A target that leaves ends within this time; until then, it may be registered
# in the store as if it stayed.
LEAVING_RETENTION_S = 600.0
# Statements that are passed on with a heartbeat, the newest first.
MAX_PASSED_ON = 24
# Key of the target, limit per second, age of the statement.
_FORMAT = struct.Struct('<IfB')
# Sent in place of a limit if the target names none any more, or if it leaves.
_NO_LIMIT = -1.0
_LEAVING = -2.0
_AGE_RESOLUTION_S = 0.25
_MAX_PASSED_ON_AGE_S = 10.0


class _Limit(msgspec.Struct, frozen=True):
    """What a target has last said about its limit.

    Attributes:
        per_s: Requests per second that it takes from all hosts; None if it
            names no limit any more.
        stated_s: Loop time of the answer in seconds.
    """

    per_s: float | None
    stated_s: float


class TargetStatements:
    """What targets have said in their answers.

    Args:
        log: Event log.

    Attributes:
        name_of: Returns the name of a target by its key, for the log.
    """

    __slots__ = (
        '_leaving_since_s',
        '_limits',
        '_log',
        'name_of',
    )

    def __init__(self, log: eventlog.EventLog) -> None:
        self._log = log
        self._limits: dict[int, _Limit] = {}
        self._leaving_since_s: dict[int, float] = {}
        self.name_of: abc.Callable[[int], str] = str

    def note_leaving(self, entry: model.TargetEntry, now_s: float) -> None:
        """Notes that a target has said that it leaves.

        Args:
            entry: Entry of the target.
            now_s: Loop time in seconds.
        """
        self._record_leaving(target_key(entry), now_s, 'answer')

    def is_leaving(self, key: int) -> bool:
        """Returns whether a target has said that it leaves."""
        return key in self._leaving_since_s

    def note_limit(
        self, entry: model.TargetEntry, limit_per_s: float | None, now_s: float
    ) -> None:
        """Notes the limit in an answer of a target, or that it names none.

        Args:
            entry: Entry of the target.
            limit_per_s: Requests per second that it takes from all hosts; None
                if the answer names no limit.
            now_s: Loop time in seconds.
        """
        key = target_key(entry)
        if limit_per_s is None and key not in self._limits:
            return
        self._record_limit(key, _Limit(limit_per_s, now_s), now_s, 'answer')

    def limit_per_s(self, key: int, now_s: float) -> float | None:
        """Returns the limit of a target per second, None if it has none.

        Args:
            key: Key of the target.
            now_s: Loop time in seconds.
        """
        limit = self._limits.get(key)
        if limit is None or now_s - limit.stated_s > MAX_AGE_S:
            return None
        return limit.per_s

    def encode(self, now_s: float) -> bytes:
        """Encodes the newest statements for other hosts."""
        if not (self._limits or self._leaving_since_s):
            return b''
        recent = [
            (stated_s, key, _LEAVING)
            for key, stated_s in self._leaving_since_s.items()
        ]
        recent += [
            (limit.stated_s, key, _encode_limit(limit.per_s))
            for key, limit in self._limits.items()
        ]
        recent = [
            item for item in recent if now_s - item[0] <= _MAX_PASSED_ON_AGE_S
        ]
        recent.sort(reverse=True)
        return b''.join(
            # Rounded up, so that a statement never seems newer than it is.
            _FORMAT.pack(
                key, number, math.ceil((now_s - stated_s) / _AGE_RESOLUTION_S)
            )
            for stated_s, key, number in recent[:MAX_PASSED_ON]
        )

    def handle(self, data: bytes, now_s: float) -> None:
        """Notes the statements that another host has passed on.

        Args:
            data: Statements as encoded by `encode`; an incomplete one at the
                end is ignored.
            now_s: Loop time in seconds.
        """
        complete_bytes = len(data) - len(data) % _FORMAT.size
        for key, number, age in _FORMAT.iter_unpack(data[:complete_bytes]):
            stated_s = now_s - age * _AGE_RESOLUTION_S
            if number == _LEAVING:
                self._record_leaving(key, stated_s, 'host')
            elif number == _NO_LIMIT:
                self._handle_limit(key, _Limit(None, stated_s), now_s)
            elif math.isfinite(number) and number >= 0:
                self._handle_limit(key, _Limit(number, stated_s), now_s)

    def forget_old(self, now_s: float) -> None:
        """Forgets statements that no longer count."""
        for key, limit in list(self._limits.items()):
            if now_s - limit.stated_s > MAX_AGE_S:
                del self._limits[key]
        for key, stated_s in list(self._leaving_since_s.items()):
            if now_s - stated_s > LEAVING_RETENTION_S:
                del self._leaving_since_s[key]

    def _handle_limit(self, key: int, limit: _Limit, now_s: float) -> None:
        known = self._limits.get(key)
        if known is None or known.stated_s < limit.stated_s:
            self._record_limit(key, limit, now_s, 'host')

    def _record_limit(
        self, key: int, limit: _Limit, now_s: float, told_by: str
    ) -> None:
        known_per_s = self.limit_per_s(key, now_s)
        self._limits[key] = limit
        if limit.per_s != known_per_s:
            self._log.event(
                'target-limit',
                target=self.name_of(key),
                limit_per_s=limit.per_s,
                told_by=told_by,
            )

    def _record_leaving(self, key: int, stated_s: float, told_by: str) -> None:
        if key in self._leaving_since_s:
            return
        self._leaving_since_s[key] = stated_s
        self._log.event(
            'target-leaving', target=self.name_of(key), told_by=told_by
        )


def _encode_limit(per_s: float | None) -> float:
    return _NO_LIMIT if per_s is None else per_s


def target_key(entry: model.TargetEntry) -> int:
    """Returns a hash of the name and incarnation of a target."""
    return zlib.crc32(f'{entry.name}/{entry.born_ms}'.encode())
