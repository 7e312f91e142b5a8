"""Decides when a request goes to a target, waits, or is refused."""

import asyncio
from collections import abc
import random

from ragwortchute.gateway import attempts
from ragwortchute.gateway import candidates
from ragwortchute.gateway import host_state
from ragwortchute.gateway import targets as targets_
from ragwortchute.gateway.admission import levels
from ragwortchute.gateway.admission import room
from ragwortchute.gateway.admission import waiting


class Gate:
    """Admission of the requests of this host.

    Args:
        state: Configuration, for the priorities in use.
        selector: Selects targets.
        rng: Source of randomness.
    """

    __slots__ = ('_levels', '_lines', '_loop', '_rng', '_selector', '_state')

    def __init__(
        self,
        state: host_state.HostState,
        selector: candidates.TargetSelector,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._selector = selector
        self._rng = rng
        self._levels = levels.Levels()
        self._lines: dict[str, waiting.Line] = {}
        self._loop = asyncio.get_running_loop()

    async def place(
        self,
        call: attempts.Call,
        require: abc.Callable[[attempts.Call], candidates.Requirements],
    ) -> candidates.Placement | candidates.NoPlacement:
        """Selects a target, waiting for room if the request may wait.

        Args:
            call: The request.
            require: Returns what it requires of a target now.
        """
        self._levels.update(self._state.cfg)
        rank = self._levels.rank(call.service, call.priority)
        if self._levels.count(call.service) == 1:
            return await self._selector.select(require(call))
        if not rank:
            return await self._select(call, require, 0)
        line = self._line(call.service)
        placed = None
        if not line.is_behind(rank):
            placed = await self._select(call, require, rank)
            if not _lacks_room(placed):
                return placed
        now_s = self._loop.time()
        until_s = call.req.arrived_s + (
            (call.deadline_s - call.req.arrived_s) * waiting.MAX_WAIT_SHARE
        )
        turn = waiting.Turn(rank, until_s, now_s)
        if until_s <= now_s or not line.join(turn):
            return placed or self._refusal(call, require, 0)
        try:
            return await self._wait(call, require, rank, line, turn)
        finally:
            line.leave(turn)

    async def _wait(
        self,
        call: attempts.Call,
        require: abc.Callable[[attempts.Call], candidates.Requirements],
        rank: int,
        line: waiting.Line,
        turn: waiting.Turn,
    ) -> candidates.Placement | candidates.NoPlacement:
        """Waits for the turn of a request and for room."""
        futs = (turn.ready, call.req.disconnected)
        await asyncio.wait(
            futs,
            timeout=turn.deadline_s - self._loop.time(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not turn.ready.done() or call.req.disconnected.done():
            return self._refusal(call, require, 0)
        placed = None
        for left in range(waiting.MAX_SELECTIONS, 0, -1):
            left_s = turn.deadline_s - self._loop.time()
            freed = None
            if placed is not None or turn.enqueued_s == self._loop.time():
                freed = await line.wait_for_end(left_s / left)
                if freed is None and not self._selector.has_spare_probes():
                    continue
            placed = await self._select(call, require, rank, freed)
            if not _lacks_room(placed) or self._loop.time() >= turn.deadline_s:
                break
        return placed or self._refusal(call, require, 0)

    async def _select(
        self,
        call: attempts.Call,
        require: abc.Callable[[attempts.Call], candidates.Requirements],
        rank: int,
        only: targets_.Target | None = None,
    ) -> candidates.Placement | candidates.NoPlacement:
        required = require(call)
        required.limit = room.Limit(rank)
        required.only = only
        return await self._selector.select(required)

    def _refusal(
        self,
        call: attempts.Call,
        require: abc.Callable[[attempts.Call], candidates.Requirements],
        probed: int,
    ) -> candidates.NoPlacement:
        return candidates.NoPlacement(
            candidates.NO_ROOM, call.route.objective_s / 4, probed
        )

    def _line(self, service: str) -> waiting.Line:
        line = self._lines.get(service)
        if line is None:
            line = self._lines[service] = waiting.Line()
        return line

    def note_end(self, call: attempts.Call, target: targets_.Target) -> None:
        """Notes that a request of this host has ended at a target."""
        line = self._lines.get(call.service)
        if line is not None:
            line.note_end(target)


def _lacks_room(placed: object) -> bool:
    return (
        isinstance(placed, candidates.NoPlacement)
        and placed.reason == candidates.NO_ROOM
    )
