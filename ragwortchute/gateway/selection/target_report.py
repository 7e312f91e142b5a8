"""What targets have said, by their names, for metrics."""

import asyncio

from ragwortchute.gateway import host_state
from ragwortchute.gateway.selection import pauses as pauses_
from ragwortchute.gateway.selection import target_statements


class TargetReport:
    """Reads the statements and pauses of the targets that are known.

    Args:
        state: Targets by name.
        statements: What targets have said to all hosts.
        pauses: Pauses that targets have asked this host for.
    """

    __slots__ = ('_loop', '_pauses', '_state', '_statements')

    def __init__(
        self,
        state: host_state.HostState,
        statements: target_statements.TargetStatements,
        pauses: pauses_.Pauses,
    ) -> None:
        self._state = state
        self._statements = statements
        self._pauses = pauses
        self._loop = asyncio.get_running_loop()

    def limits_per_s(self) -> dict[str, float]:
        """Returns the limits per second that targets name, by target."""
        now_s = self._loop.time()
        limits = {
            name: self._statements.limit_per_s(target.key, now_s)
            for name, target in self._state.targets.items()
        }
        return {
            name: limit_per_s
            for name, limit_per_s in limits.items()
            if limit_per_s is not None
        }

    def pauses_s(self) -> dict[str, float]:
        """Returns for how long targets want no request, by target."""
        now_s = self._loop.time()
        pauses_s = {
            name: self._pauses.left_s(target.key, now_s)
            for name, target in self._state.targets.items()
        }
        return {name: left_s for name, left_s in pauses_s.items() if left_s}

    def leaving(self) -> dict[str, float]:
        """Returns the targets that have said that they leave, each with 1."""
        return {
            name: 1.0
            for name, target in self._state.targets.items()
            if self._statements.is_leaving(target.key)
        }
