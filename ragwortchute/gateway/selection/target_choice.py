"""Choice of a target for a request among those that may get it."""

import asyncio
import functools

from ragwortchute.gateway import attempts
from ragwortchute.gateway import host_state
from ragwortchute.gateway import rollouts
from ragwortchute.gateway.admission import gate as gate_
from ragwortchute.gateway.locality import locality_part
from ragwortchute.gateway.selection import candidates
from ragwortchute.gateway.selection import requirements
from ragwortchute.gateway.selection import targets as targets_
from ragwortchute.gateway.selection import work_times as work_times_

Placed = candidates.Placement | candidates.NoPlacement


class TargetChoice:
    """Chooses targets by rollouts, admission and the state of the targets.

    Args:
        state: Configuration and targets.
        gate: Admission of requests.
        work_times: Processing times by route.

    Attributes:
        locality: Which requests leave the failure domain; None if it is off.
        versions: Which targets may get a request, by their versions.
    """

    __slots__ = (
        '_gate',
        '_loop',
        '_state',
        '_work_times',
        'locality',
        'versions',
    )

    def __init__(
        self,
        state: host_state.HostState,
        gate: gate_.Gate,
        work_times: work_times_.WorkTimes,
    ) -> None:
        self._state = state
        self._gate = gate
        self._work_times = work_times
        self._loop = asyncio.get_running_loop()
        self.locality: locality_part.Locality | None = None
        self.versions = rollouts.VersionChoice()

    async def select(self, call: attempts.Call) -> Placed:
        """Selects a target for a request."""
        return await self._select(call, self._gate.place)

    async def select_hedge(self, call: attempts.Call) -> Placed:
        """Selects a target for a hedge of a request."""
        return await self._select(call, self._gate.place_hedge)

    def admits(self, call: attempts.Call, target: targets_.Target) -> bool:
        """Returns whether a request may still be sent to a chosen target.

        The state of the target, the homes of the request and the versions may
        have changed during the probes.
        """
        return self._state.is_eligible(
            target, call.homes
        ) and self.versions.admits(call, target)

    async def _select(self, call: attempts.Call, place: gate_.Place) -> Placed:
        if not self.versions.restricts:
            return await place(call, self._requirements)
        targets = self._untried_targets(call)
        first, second = self.versions.choose(call, targets)
        chosen = None if first is targets else frozenset(first)
        require = functools.partial(self._requirements, chosen=chosen)
        if not second:
            return await place(call, require)
        # A request must not wait for few targets while others have room.
        placed = await self._gate.place_at_once(call, require)
        if isinstance(placed, candidates.Placement):
            return placed
        chosen = frozenset(second)
        require = functools.partial(self._requirements, chosen=chosen)
        return await place(call, require)

    def _untried_targets(self, call: attempts.Call) -> list[targets_.Target]:
        return [
            target
            for target in self._state.eligible(call.service, call.homes)
            if target.entry.name not in call.tried_targets
        ]

    def _requirements(
        self,
        call: attempts.Call,
        chosen: frozenset[targets_.Target] | None = None,
    ) -> requirements.Requirements:
        """Returns what a request requires of a target now.

        Args:
            call: The request.
            chosen: Targets that it may be sent to, None for all.
        """
        route = call.route
        targets = self._untried_targets(call)
        if chosen is not None:
            targets = [target for target in targets if target in chosen]
        return requirements.Requirements(
            targets,
            self._work_times.expected_s(route),
            route.objective_s,
            call.deadline_s - self._loop.time(),
            self._work_times.long_s(route),
            body_bytes=0 if self.locality is None else call.req.body_bytes,
        )
