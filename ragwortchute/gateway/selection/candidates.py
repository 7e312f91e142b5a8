"""Selection of a target by probing a few when a request arrives.

The speed and queue length of targets change faster than load reports spread
between hosts. Each selection therefore sends health requests to a few targets
at once over kept connections. The request goes to the target with the best
result, on the connection of its health request.
"""

import asyncio
import functools
import random

import msgspec

from ragwortchute import errors
from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway.admission import room
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.locality import locality_part
from ragwortchute.gateway.locality import selection
from ragwortchute.gateway.selection import estimates
from ragwortchute.gateway.selection import probe_budget
from ragwortchute.gateway.selection import probe_order
from ragwortchute.gateway.selection import probe_rounds
from ragwortchute.gateway.selection import probe_wait
from ragwortchute.gateway.selection import requirements
from ragwortchute.gateway.selection import send_limits
from ragwortchute.gateway.selection import service_load
from ragwortchute.gateway.selection import statement_reader
from ragwortchute.gateway.selection import targets as targets_

# Another round follows only if the lowest cost found exceeds this share of the
# latency objective.
ACCEPTABLE_OBJECTIVES = 0.7
# A round ends without waiting for its other probes once a target costs no more
# than this many times the work, plus a round trip within the region.
EARLY_ACCEPT_FACTOR = 1.25
# Probes that take longer than this are not waited for.
LOCAL_PROBE_TIMEOUT_S = 0.02
REMOTE_PROBE_TIMEOUT_S = 0.06
# Refusal reason: no probed target answered and can take the request.
NO_ANSWER = 'no-answer'
# Refusal reason: the targets have no room for a request of this urgency.
NO_ROOM = 'no-room'
# Refusal reason: the answer of each probed target would be too late.
OVERLOAD = 'overload'
# A target without room is selected last, only to learn that none has any.
NO_ROOM_COST_S = 1000.0


class Placement(msgspec.Struct, eq=False):
    """A selected target and the connection on which it was probed.

    Attributes:
        target: The target.
        conn: Connection to send the request on.
        reading: State that the probe returned.
        expected_s: Expected time until the answer, in seconds.
        probed: Number of targets that were probed.
        crossing_reason: Why the request leaves its failure domain, empty if it
            does not or locality is off.
    """

    target: targets_.Target
    conn: http_client.ClientConnection
    reading: dialects.Reading
    expected_s: float
    probed: int
    crossing_reason: str = ''


class NoPlacement(msgspec.Struct, frozen=True):
    """Why no target can take a request now.

    Attributes:
        reason: Refusal reason.
        wait_s: Time in seconds until a target is likely to be free.
        probed: Number of targets that were probed.
        stated: Whether the time is what a target has asked for.
    """

    reason: str
    wait_s: float
    probed: int
    stated: bool = False


class _ProbeResult(msgspec.Struct, eq=False):
    target: targets_.Target
    conn: http_client.ClientConnection
    reading: dialects.Reading


class TargetSelector:
    """Probes targets and selects one.

    Args:
        rng: Source of randomness.
        limits: Limits on the requests that this host sends to each target.
        statements: Reads what targets say in their answers.
        probes_per_s: Health requests per target and second allowed from all
            hosts.

    Attributes:
        limits: Limits on the requests that this host sends to each target.
        locality: Which requests leave the failure domain; None if it is off.
        targets: Number of targets of all services.
        probes_sent: Number of health requests sent.
    """

    def __init__(
        self,
        rng: random.Random,
        limits: send_limits.SendLimits,
        statements: statement_reader.StatementReader,
        probes_per_s: float,
    ) -> None:
        self._rng = rng
        self._loads: dict[str, service_load.ServiceLoad] = {}
        self._loop = asyncio.get_running_loop()
        self._probe_budget = probe_budget.ProbeBudget(
            probes_per_s, self._loop.time()
        )
        self.limits = limits
        self.locality: locality_part.Locality | None = None
        self._statements = statements
        self.targets = 0
        self.probes_sent = 0

    async def select(
        self, required: requirements.Requirements
    ) -> Placement | NoPlacement:
        """Selects a target that can take a request now.

        Args:
            required: What the request requires.

        Returns:
            A target with an open connection, or why there is none.
        """
        placed = await self._select_once(required)
        if isinstance(placed, NoPlacement) and (
            required.may_leave() or placed.reason == NO_ANSWER
        ):
            # The connection of the best target may break after its probe.
            placed = await self._select_once(required)
        return placed

    async def _select_once(
        self, required: requirements.Requirements
    ) -> Placement | NoPlacement:
        order = self._probe_order(required)
        if not order:
            return self._no_target(required)
        best: _ProbeResult | None = None
        best_cost_s = float('inf')
        early_accept_s = self._early_accept_s(required)
        acceptable_s = max(
            early_accept_s, required.objective_s * ACCEPTABLE_OBJECTIVES
        )
        self._update_probe_budget()
        limit = required.limit
        urgent = limit is None or limit.urgent
        rounds = probe_rounds.ProbeRounds(
            order,
            self._probe_budget,
            urgent=urgent,
            small=0
            if self._probe_budget.has_spare()
            else required.small_round(),
            single=limit is None,
        )
        probed = 0
        while group := rounds.pop(
            may_be_remote=self._needs_remote(best, required)
        ):
            probed += len(group)
            try:
                results = await self._probe(group, required, early_accept_s)
            except asyncio.CancelledError:
                if best is not None:
                    best.target.pool.release(best.conn)
                raise
            for result in results:
                cost_s = self._cost_s(result, required)
                if cost_s < best_cost_s:
                    if best is not None:
                        best.target.pool.release(best.conn)
                    best, best_cost_s = result, cost_s
                else:
                    result.target.pool.release(result.conn)
            if best is not None and (
                not best.conn.usable
                or (
                    best_cost_s <= acceptable_s
                    and self._has_room(best, required)
                    and not required.looks_further(
                        best_cost_s, early_accept_s, self._loop.time()
                    )
                )
            ):
                break
        return self._place(best, required, probed)

    def _needs_remote(
        self, best: _ProbeResult | None, required: requirements.Requirements
    ) -> bool:
        """Returns whether targets of other regions may be probed.

        They are if the targets of the own region are slow or none has
        answered, not if those only reject or fail more requests than usual:
        others of the region may be better, and the links between regions are
        slow and billed.

        Args:
            best: Best result so far, None before the first round.
            required: What the request requires.
        """
        if best is None:
            return True
        expected_s = self._expected_s(best, required)
        slow_s = required.objective_s * ACCEPTABLE_OBJECTIVES
        return expected_s > slow_s and required.has_asked_region()

    def _expected_s(
        self, result: _ProbeResult, required: requirements.Requirements
    ) -> float:
        return estimates.expected_latency_s(
            self._candidate(result),
            required.work_s,
            self.load(result.target.entry.service).mean_slowness,
        )

    def _no_target(self, required: requirements.Requirements) -> NoPlacement:
        """Returns why no target may be probed, and for how long."""
        wait = self.limits.shortest_wait(required.targets, self._loop.time())
        if wait is None:
            return NoPlacement('no-target', required.remaining_s, 0)
        return NoPlacement(wait.reason, wait.wait_s, 0, stated=True)

    def _update_probe_budget(self) -> None:
        self._probe_budget.update(
            self._loop.time(), self.targets, len(self.limits.fleet.names)
        )

    def has_spare_probes(self) -> bool:
        """Returns whether probes are left beyond those of urgent requests."""
        self._update_probe_budget()
        return self._probe_budget.has_spare()

    def has_room(
        self,
        target: targets_.Target,
        reading: dialects.Reading,
        limit: room.Limit,
    ) -> bool:
        """Returns whether a target has room for a request.

        Args:
            target: The target.
            reading: Its state.
            limit: Limit of the request.
        """
        return limit.allows(
            target.occupied(reading),
            reading.slots or target.entry.slots,
            self.full_share(target.entry.service),
            target.draw,
        )

    def full_share(self, service: str) -> float:
        """Returns the share of targets without a slot below the knee."""
        return self.load(service).fullness.share()

    def full_shares(self) -> dict[str, float]:
        """Returns the same shares by service."""
        return {
            service: load.fullness.share()
            for service, load in self._loads.items()
        }

    def load(self, service: str) -> service_load.ServiceLoad:
        """Returns what is known of the targets of a service."""
        load = self._loads.get(service)
        if load is None:
            load = self._loads[service] = service_load.ServiceLoad()
        return load

    def _place(
        self,
        best: _ProbeResult | None,
        required: requirements.Requirements,
        probed: int,
    ) -> Placement | NoPlacement:
        """Turns the best probe result, if any, into a decision."""
        if best is None or not best.conn.usable:
            return NoPlacement(NO_ANSWER, required.objective_s / 4, probed)
        target = best.target
        if not (self._has_room(best, required) or not required.limit.strict):
            target.pool.release(best.conn)
            return NoPlacement(NO_ROOM, required.objective_s / 4, probed)
        expected_s = self._expected_s(best, required)
        late_s = expected_s - required.remaining_s
        if self._must_queue(best):
            # It would wait for others and then run beyond its time.
            late_s += max(0.0, required.long_work_s - required.work_s)
        if late_s > 0:
            target.pool.release(best.conn)
            return NoPlacement(OVERLOAD, late_s, probed)
        now_s = self._loop.time()
        if not self.limits.is_accepting(target, now_s):
            # It has said so, or used up its limit, since the probe began.
            target.pool.release(best.conn)
            return NoPlacement(NO_ANSWER, required.objective_s / 4, probed)
        self.limits.record_send(target, now_s, is_cold=best.reading.cold_s > 0)
        locality = required.locality
        return Placement(
            target,
            best.conn,
            best.reading,
            expected_s,
            probed,
            locality.reason(target) if locality else '',
        )

    def _must_queue(self, result: _ProbeResult) -> bool:
        """Returns whether all slots of a target are taken."""
        reading, target = result.reading, result.target
        slots = max(1, reading.slots or target.entry.slots)
        return target.occupied(reading) >= slots

    def _early_accept_s(self, required: requirements.Requirements) -> float:
        """Returns the cost up to which a target is accepted at once."""
        return required.work_s * EARLY_ACCEPT_FACTOR + targets_.SAME_REGION_S

    def _probe_order(
        self, required: requirements.Requirements
    ) -> list[targets_.Target]:
        """Returns targets in the order in which they are probed.

        Args:
            required: What the request requires.
        """
        now_s = self._loop.time()
        domain_key = probe_order.other_domain_key
        if self.locality is not None and required.targets:
            load = self.load(required.targets[0].entry.service)
            self.locality.begin(required, load.mean_slowness, now_s)
            domain_key = required.locality.key
        keyed = probe_order.keyed(
            required.targets, self.limits, self._rng, now_s, domain_key
        )
        if required.locality is not None:
            return required.locality.arrange(keyed)
        return [target for _, target in keyed]

    async def _probe(
        self,
        group: list[targets_.Target],
        required: requirements.Requirements,
        early_accept_s: float,
    ) -> list[_ProbeResult]:
        """Probes targets concurrently.

        Returns once a target costs at most `early_accept_s`, all probes have
        ended, or the timeout has passed. Time in which this process was held up
        does not count towards it, see `probe_wait`.
        """
        tasks = {
            self._loop.create_task(target.probe()): target for target in group
        }
        self.probes_sent += len(tasks)
        remote = any(not target.same_region for target in group)
        timeout_s = min(
            required.remaining_s,
            REMOTE_PROBE_TIMEOUT_S if remote else LOCAL_PROBE_TIMEOUT_S,
        )
        if required.locality is not None:
            timeout_s = required.locality.begin_round(group, timeout_s)
        wait = probe_wait.ProbeWait(timeout_s, required.remaining_s)
        results: list[_ProbeResult] = []
        pending = set(tasks)
        try:
            while pending and not wait.ended:
                done, pending = await wait.wait(pending, may_extend=not results)
                # In the order of probing: that of a set is not repeatable.
                ended = [task for task in tasks if task in done]
                accepted = False
                for task in ended:
                    result = self._probe_result(task, tasks[task])
                    if result is not None:
                        results.append(result)
                        cost_s = self._cost_s(result, required)
                        accepted = accepted or cost_s <= early_accept_s
                if accepted:
                    break
        except asyncio.CancelledError:
            for result in results:
                result.target.pool.release(result.conn)
            raise
        finally:
            for task in pending:
                task.add_done_callback(
                    functools.partial(
                        self._finish_late_probe, target=tasks[task]
                    )
                )
        if required.locality is not None:
            self._note_locality(results, required.locality)
        return results

    def _note_locality(
        self, results: list[_ProbeResult], locality: selection.Selection
    ) -> None:
        """Tells the locality of a request which targets have answered."""
        for result in results:
            locality.note_answer(
                result.target, is_full=self._must_queue(result)
            )
        if not results:
            locality.note_no_answer(self._loop.time())

    def _probe_result(
        self, task: asyncio.Task, target: targets_.Target
    ) -> _ProbeResult | None:
        """Returns the result of a probe; None if the target is no candidate.

        A target is no candidate if its probe failed, it is unhealthy, it is
        cold and this host may not send to it now, or it has said in the answer
        that it takes no request of this host.
        """
        now_s = self._loop.time()
        try:
            conn, reading = task.result()
        except errors.NoDescriptor:
            # The shortage is this host's; it says nothing of the target.
            return None
        except errors.TargetError:
            target.note_failure(now_s)
            return None
        except asyncio.CancelledError:
            return None
        self.load(target.entry.service).note(reading)
        if self.locality is not None:
            self.locality.note_reading(target, reading)
        over_limit = reading.cold_s > 0 and not self.limits.may_send_cold(
            target, now_s
        )
        self._statements.note_constraints(target, reading.constraints, now_s)
        accepting = self.limits.is_accepting(target, now_s)
        if over_limit or not (reading.healthy and accepting):
            target.pool.release(conn)
            return None
        return _ProbeResult(target, conn, reading)

    def _finish_late_probe(
        self, task: asyncio.Task, target: targets_.Target
    ) -> None:
        """Evaluates a probe that nobody waited for; frees its connection."""
        result = self._probe_result(task, target)
        if result is not None:
            target.pool.release(result.conn)

    def _candidate(self, result: _ProbeResult) -> estimates.Candidate:
        target = result.target
        return estimates.Candidate(
            result.reading,
            target.sent_since(result.reading),
            target.entry.slots,
            target.rtt_s,
            target.failure_rate(self._loop.time()),
            self.load(target.entry.service).persistence,
        )

    def _has_room(
        self, result: _ProbeResult, required: requirements.Requirements
    ) -> bool:
        return required.limit is None or self.has_room(
            result.target, result.reading, required.limit
        )

    def _cost_s(
        self, result: _ProbeResult, required: requirements.Requirements
    ) -> float:
        cost_s = estimates.cost_s(
            self._candidate(result),
            required.work_s,
            self.load(result.target.entry.service).mean_slowness,
            required.objective_s,
        )
        if required.locality is not None:
            cost_s += required.locality.crossing_s(result.target)
        if not self._has_room(result, required):
            if not required.limit.strict:
                return cost_s
            cost_s += NO_ROOM_COST_S
        return cost_s
