"""Decides whether a request goes to a target, waits, or is refused.

Load: a service that is nearly full, so that what one request takes another one
lacks. While requests are expected to end within their objectives, targets are
selected as they would be without this module.
"""

import asyncio
from collections import abc

from ragwortchute.gateway import attempts
from ragwortchute.gateway import host_state
from ragwortchute.gateway.admission import levels
from ragwortchute.gateway.admission import room
from ragwortchute.gateway.admission import scarcity
from ragwortchute.gateway.admission import shares
from ragwortchute.gateway.admission import waiting
from ragwortchute.gateway.selection import candidates
from ragwortchute.gateway.selection import requirements
from ragwortchute.gateway.selection import targets as targets_

Require = abc.Callable[[attempts.Call], requirements.Requirements]
Placed = candidates.Placement | candidates.NoPlacement
# Selects a target for a request.
Place = abc.Callable[[attempts.Call, Require], abc.Awaitable[Placed]]
CALLER_GONE = 'caller-gone'


class _Service:
    """What this host knows of the requests to a service.

    Attributes:
        queue: Requests that wait.
        scarcity: Whether requests end beyond their objectives.
        shares: What was admitted lately.
    """

    __slots__ = ('queue', 'scarcity', 'shares')

    def __init__(self) -> None:
        self.queue = waiting.WaitQueue()
        self.scarcity = scarcity.Scarcity()
        self.shares = shares.Shares()


class _Entrant:
    """A request that asks for room.

    Attributes:
        call: The request.
        require: Returns what it requires of a target now.
        service: What this host knows of its service.
        rank: How many priorities are more urgent.
        limit: Which targets have room for it; None if all have.
        work_s: Its expected work in seconds, known once it was selected for.
    """

    __slots__ = ('call', 'limit', 'rank', 'require', 'service', 'work_s')

    def __init__(
        self,
        call: attempts.Call,
        require: Require,
        service: _Service,
        rank: int,
        limit: room.Limit | None,
    ) -> None:
        self.call = call
        self.require = require
        self.service = service
        self.rank = rank
        self.limit = limit
        self.work_s = 0.0

    @property
    def organisation(self) -> str:
        """Name of its organisation, empty if it has none."""
        return self.call.organisation.name if self.call.organisation else ''


class Gate:
    """Admission of the requests of this host.

    Args:
        state: Configuration, for the priorities in use.
        selector: Selects targets.

    Attributes:
        enabled: Whether requests are admitted by urgency; otherwise each is
            sent where it is expected to end first.
    """

    __slots__ = (
        '_levels',
        '_loop',
        '_selector',
        '_services',
        '_state',
        'enabled',
    )

    def __init__(
        self,
        state: host_state.HostState,
        selector: candidates.TargetSelector,
    ) -> None:
        self._state = state
        self._selector = selector
        self._levels = levels.Levels()
        self.enabled = True
        self._services: dict[str, _Service] = {}
        self._loop = asyncio.get_running_loop()

    @property
    def waiting_requests(self) -> int:
        """Number of requests that wait for room."""
        return sum(len(item.queue) for item in self._services.values())

    async def place(self, call: attempts.Call, require: Require) -> Placed:
        """Selects a target, waiting for room if the request may wait.

        Args:
            call: The request.
            require: Returns what it requires of a target now.
        """
        entrant = self._enter(call, require)
        if entrant is None:
            return await self._selector.select(require(call))
        placed = await self._admit(entrant)
        if not call.sends and isinstance(placed, candidates.Placement):
            entrant.service.shares.note_admitted(
                entrant.rank, entrant.organisation, entrant.work_s
            )
        return placed

    async def place_at_once(
        self, call: attempts.Call, require: Require
    ) -> Placed:
        """Selects a target without waiting; other targets may follow.

        The request is counted only where it is placed otherwise.
        """
        return await self._selector.select(require(call))

    async def place_hedge(
        self, call: attempts.Call, require: Require
    ) -> Placed:
        """Selects a target for a hedge, which only takes room that is free."""
        entrant = self._enter(call, require, is_hedge=True)
        if entrant is None or entrant.limit is None:
            return await self._selector.select(require(call))
        full_share = self._full_share(entrant)
        if room.forbids_hedge(entrant.rank, full_share):
            return candidates.NoPlacement(candidates.NO_ROOM, 0.0, 0)
        return await self._select(entrant)

    def note_end(self, call: attempts.Call, target: targets_.Target) -> None:
        """Notes that a request of this host has ended at a target."""
        service = self._services.get(call.service)
        if service is not None:
            service.queue.note_end(target)

    def _service(self, name: str) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service()
        return service

    def _enter(
        self, call: attempts.Call, require: Require, *, is_hedge: bool = False
    ) -> _Entrant | None:
        """Returns a request that asks for room; None if all are equal."""
        if not self.enabled:
            return None
        self._levels.update(self._state.cfg)
        if self._levels.count(call.service) == 1 and call.organisation is None:
            return None
        service = self._service(call.service)
        rank = self._levels.rank(
            call.service, call.priority, call.route.objective_s
        )
        limit = None
        if service.scarcity.present:
            limit = room.Limit(rank, is_hedge=is_hedge)
        entrant = _Entrant(call, require, service, rank, limit)
        if is_hedge:
            return entrant
        if call.sends:
            if limit is not None:
                # It has been admitted, and its retry has a budget of its own.
                limit.strict = False
            return entrant
        service.shares.note_offered(
            rank, entrant.organisation, self._loop.time()
        )
        if limit is not None:
            self._adjust(entrant, limit)
        return entrant

    def _adjust(self, entrant: _Entrant, limit: room.Limit) -> None:
        """Adjusts the limit of a request to the shares of its kind so far."""
        limit.short_of_probes = not self._selector.has_spare_probes()
        admitted = entrant.service.shares
        full_share = self._full_share(entrant)
        if room.is_scarce(entrant.rank, full_share) and admitted.is_over_share(
            entrant.organisation
        ):
            limit.recede()
        elif entrant.rank and admitted.is_lagging(entrant.rank):
            limit.precede()
        elif limit.kept(full_share) == 0 and limit.short_of_probes:
            # It probes one target only, which says little about the others.
            limit.strict = False

    async def _admit(self, entrant: _Entrant) -> Placed:
        limit = entrant.limit
        if limit is None or not limit.strict:
            placed = await self._select(entrant)
            self._note_time(entrant, placed)
            return placed
        queue = entrant.service.queue
        placed = None
        if not queue.is_behind(limit.steps) and self._may_probe(entrant):
            placed = await self._select(entrant)
            if not _lacks_room(placed):
                self._note_time(entrant, placed)
                return placed
        entrant.service.scarcity.note(late=True, now_s=self._loop.time())
        return await self._join(entrant)

    def _note_time(self, entrant: _Entrant, placed: Placed) -> None:
        """Notes whether a request is expected to end after its objective."""
        objective_s = entrant.call.route.objective_s
        if entrant.call.sends or entrant.work_s >= objective_s:
            # It would be late on an idle target too.
            return
        now_s = self._loop.time()
        if isinstance(placed, candidates.Placement):
            spent_s = now_s - entrant.call.req.arrived_s
            late = spent_s + placed.expected_s > objective_s
        elif placed.reason == candidates.OVERLOAD:
            late = True
        else:
            return
        entrant.service.scarcity.note(late=late, now_s=now_s)

    async def _join(self, entrant: _Entrant) -> Placed:
        """Lets a request wait for room."""
        call, queue = entrant.call, entrant.service.queue
        now_s = self._loop.time()
        until_s = call.req.arrived_s + waiting.longest_wait_s(
            call.deadline_s - call.req.arrived_s
        )
        waiter = waiting.WaitingRequest(entrant.limit.steps, until_s, now_s)
        if until_s <= now_s or not queue.join(waiter):
            return await self._end_wait(entrant)
        try:
            return await self._wait(entrant, waiter)
        finally:
            queue.leave(waiter)
            call.waited_s += self._loop.time() - now_s

    async def _wait(
        self, entrant: _Entrant, waiter: waiting.WaitingRequest
    ) -> Placed:
        """Waits for the turn of a request and for room."""
        gone = entrant.call.req.disconnected
        is_first = waiter.ready.done()
        await asyncio.wait(
            (waiter.ready, gone),
            timeout=waiter.deadline_s - self._loop.time(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if gone.done() or not waiter.ready.done():
            return await self._end_wait(entrant)
        if not is_first and self._may_probe(entrant):
            placed = await self._select(entrant)
            if not _lacks_room(placed):
                return placed
        for left in range(waiting.MAX_SELECTIONS, 0, -1):
            freed = await self._wait_for_room(entrant, waiter, left)
            if gone.done():
                break
            if freed is None and not self._may_probe(entrant):
                continue
            placed = await self._select(entrant, freed)
            if not _lacks_room(placed):
                return placed
            if self._loop.time() >= waiter.deadline_s:
                break
        return await self._end_wait(entrant)

    async def _end_wait(self, entrant: _Entrant) -> Placed:
        """Refuses a request unless this is a short peak."""
        gone = entrant.call.req.disconnected.done()
        if gone or not entrant.service.shares.spend_exception():
            return self._refusal(entrant)
        entrant.limit.strict = False
        return await self._select(entrant)

    async def _wait_for_room(
        self, entrant: _Entrant, waiter: waiting.WaitingRequest, selections: int
    ) -> targets_.Target | None:
        """Waits until a target is expected to have room.

        Args:
            entrant: The request.
            waiter: Its entry in the queue.
            selections: Over how many selections the rest of its wait is spread.

        Returns:
            A target that has just got room, None if none is known to.
        """
        gone = entrant.call.req.disconnected
        left_s = waiter.deadline_s - self._loop.time()
        end_s = self._loop.time() + left_s / selections
        while not gone.done():
            left_s = end_s - self._loop.time()
            if left_s <= 0:
                break
            freed = await entrant.service.queue.wait_for_end(left_s, gone)
            if (
                freed is not None
                and freed.reading is not None
                and self._selector.has_room(freed, freed.reading, entrant.limit)
            ):
                return freed
        return None

    def _full_share(self, entrant: _Entrant) -> float:
        return self._selector.full_share(entrant.call.service)

    def _may_probe(self, entrant: _Entrant) -> bool:
        """Returns whether probes are not better left to urgent requests.

        While there is room, each request may probe at least one target.
        """
        return (
            entrant.limit.kept(self._full_share(entrant)) == 0
            or self._selector.has_spare_probes()
        )

    async def _select(
        self, entrant: _Entrant, only: targets_.Target | None = None
    ) -> Placed:
        required = entrant.require(entrant.call)
        if entrant.service.scarcity.present:
            required.limit = entrant.limit
        entrant.work_s = required.work_s
        if only in required.targets:
            required.targets = [only]
        return await self._selector.select(required)

    def _refusal(self, entrant: _Entrant) -> candidates.NoPlacement:
        """Returns that there is no room, and when some is expected."""
        if entrant.call.req.disconnected.done():
            return candidates.NoPlacement(CALLER_GONE, 0.0, 0)
        call = entrant.call
        longest_s = waiting.longest_wait_s(call.deadline_s - call.req.arrived_s)
        wait_s = entrant.service.shares.expected_room_s(entrant.rank, longest_s)
        return candidates.NoPlacement(candidates.NO_ROOM, wait_s, 0)


def _lacks_room(placed: Placed) -> bool:
    return (
        isinstance(placed, candidates.NoPlacement)
        and placed.reason == candidates.NO_ROOM
    )
