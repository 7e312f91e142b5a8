"""Request rates that targets have named as their limits."""

from collections import abc

import msgspec

from ragwortchute.gateway import eventlog
from ragwortchute.gateway import model

# A limit is forgotten if no host has heard of it for this long.
MAX_AGE_S = 30.0


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
    """

    __slots__ = ('_log', '_statements')

    def __init__(self, log: eventlog.EventLog) -> None:
        self._log = log
        self._statements: dict[str, _Statement] = {}

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
        known = self.get(entry.name, now_s)
        if limit_per_s is None and known is None:
            return
        self._statements[entry.name] = _Statement(limit_per_s, now_s)
        if limit_per_s != known:
            self._log.event(
                'target-limit', target=entry.name, limit_per_s=limit_per_s
            )

    def get(self, target: str, now_s: float) -> float | None:
        """Returns the limit of a target per second, None if it has none.

        Args:
            target: Name of the target.
            now_s: Loop time in seconds.
        """
        statement = self._statements.get(target)
        if statement is None or now_s - statement.stated_s > MAX_AGE_S:
            return None
        return statement.limit_per_s

    def all(self, now_s: float) -> abc.Mapping[str, float]:
        """Returns the limits by the name of the target."""
        limits = {name: self.get(name, now_s) for name in self._statements}
        return {
            name: limit_per_s
            for name, limit_per_s in limits.items()
            if limit_per_s is not None
        }
