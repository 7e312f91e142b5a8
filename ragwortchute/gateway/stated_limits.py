"""Request rates that targets have named as their limits.

Hosts learn of a limit by the answers of a target and pass it on with their
heartbeats: those that may not send to the target get no answers, and have to
learn from others that it names another limit or none any more.
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
# Statements that are passed on with a heartbeat, the newest first.
MAX_PASSED_ON = 24
# Key of the target, limit per second, age of the statement.
_FORMAT = struct.Struct('<IfB')
# Sent in place of a limit if the target names none any more.
_NO_LIMIT = -1.0
_AGE_RESOLUTION_S = 0.25
_MAX_PASSED_ON_AGE_S = 10.0


class _Statement(msgspec.Struct, frozen=True):
    """What a target has last said about its limit.

    Attributes:
        limit_per_s: Requests per second that it takes from all hosts; None if
            it names no limit any more.
        stated_s: Loop time of the answer in seconds.
    """

    limit_per_s: float | None
    stated_s: float


class StatedLimits:
    """Limits that targets name in their answers.

    Args:
        log: Event log.

    Attributes:
        name_of: Returns the name of a target by its key, for the log.
    """

    __slots__ = ('_log', '_statements', 'name_of')

    def __init__(self, log: eventlog.EventLog) -> None:
        self._log = log
        self._statements: dict[int, _Statement] = {}
        self.name_of: abc.Callable[[int], str] = str

    def note_answer(
        self, entry: model.TargetEntry, limit_per_s: float | None, now_s: float
    ) -> None:
        """Notes the limit in an answer of a target.

        Args:
            entry: Entry of the target.
            limit_per_s: Requests per second that it takes from all hosts; None
                if the answer names no limit.
            now_s: Loop time in seconds.
        """
        key = target_key(entry)
        if limit_per_s is None and key not in self._statements:
            return
        self._record(key, _Statement(limit_per_s, now_s), now_s, 'answer')

    def get(self, key: int, now_s: float) -> float | None:
        """Returns the limit of a target per second, None if it has none.

        Args:
            key: Key of the target.
            now_s: Loop time in seconds.
        """
        statement = self._statements.get(key)
        if statement is None or now_s - statement.stated_s > MAX_AGE_S:
            return None
        return statement.limit_per_s

    def encode(self, now_s: float) -> bytes:
        """Encodes the newest statements for other hosts."""
        if not self._statements:
            return b''
        self._forget(now_s)
        recent = [
            (statement.stated_s, key)
            for key, statement in self._statements.items()
            if now_s - statement.stated_s <= _MAX_PASSED_ON_AGE_S
        ]
        recent.sort(reverse=True)
        return b''.join(
            self._pack(key, now_s) for _, key in recent[:MAX_PASSED_ON]
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
            known = self._statements.get(key)
            if known is not None and known.stated_s >= stated_s:
                continue
            if number != _NO_LIMIT and not (
                math.isfinite(number) and number >= 0
            ):
                continue
            limit_per_s = None if number == _NO_LIMIT else number
            self._record(key, _Statement(limit_per_s, stated_s), now_s, 'host')

    def _record(
        self, key: int, statement: _Statement, now_s: float, told_by: str
    ) -> None:
        known = self.get(key, now_s)
        self._statements[key] = statement
        if statement.limit_per_s != known:
            self._log.event(
                'target-limit',
                target=self.name_of(key),
                limit_per_s=statement.limit_per_s,
                told_by=told_by,
            )

    def _pack(self, key: int, now_s: float) -> bytes:
        statement = self._statements[key]
        limit_per_s = statement.limit_per_s
        # Rounded up, so that a statement never seems newer than it is.
        age = math.ceil((now_s - statement.stated_s) / _AGE_RESOLUTION_S)
        return _FORMAT.pack(
            key, _NO_LIMIT if limit_per_s is None else limit_per_s, age
        )

    def _forget(self, now_s: float) -> None:
        for key, statement in list(self._statements.items()):
            if now_s - statement.stated_s > MAX_AGE_S:
                del self._statements[key]


def target_key(entry: model.TargetEntry) -> int:
    """Returns a hash of the name and incarnation of a target."""
    return zlib.crc32(f'{entry.name}/{entry.born_ms}'.encode())
