"""Runs the requests of callers on targets.

One task carries a request from its arrival to its final answer: route, choice
of a target, sending, repeats and hedges, and the answer. A refusal with 503
says that the request has not run; where that is not certain the answer is 502
or 504.
"""

import asyncio
import random

import msgspec

from ragwortchute import errors
from ragwortchute.gateway import attempts
from ragwortchute.gateway import candidates
from ragwortchute.gateway import crash_checks
from ragwortchute.gateway import crash_guard as crash_guard_
from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import http_client
from ragwortchute.gateway import http_server
from ragwortchute.gateway import knowledge as knowledge_
from ragwortchute.gateway import model
from ragwortchute.gateway import pools
from ragwortchute.gateway import relays as relays_
from ragwortchute.gateway import repeats
from ragwortchute.gateway import request_log
from ragwortchute.gateway import stats as stats_
from ragwortchute.gateway import work_times

# The final answer leaves this long before the caller stops waiting.
ANSWER_MARGIN_S = 0.004
# A second target is asked once an answer takes longer than this part of the
# latency objective, and longer than this many times the expected time.
HEDGE_OBJECTIVES = 0.4
HEDGE_EXPECTED = 1.4
# A host that has just started holds requests this long for its first reading
# of the store. After a loss of power callers find hosts in the same state
# wherever they turn, and most of them turn only once.
START_HOLD_S = 0.6
MIN_RETRY_AFTER_S = 0.05
# Load that is expected to last longer may change within this time.
MAX_RETRY_AFTER_S = 1.0


class Limits(msgspec.Struct, frozen=True):
    """Bounds of repeats and cold starts over all hosts.

    Attributes:
        retry_ratio: Repeats per request.
        retry_slack: Repeats in a window without any request.
        retry_window_s: Length of the window.
        warmup_overage: Factor on the rate that a cold target bears.
        warmup_slack: Requests per second beyond that.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    warmup_overage: float = 1.5
    warmup_slack: float = 5.0


class Dispatcher:
    """Answers requests of callers.

    Args:
        knowledge: Configuration and targets.
        dialect: Protocol of callers and targets.
        chooser: Chooses targets.
        relays: Chooses hosts of other regions.
        host_pools: Connections to other hosts.
        crash_guard: Knows the requests that crash targets.
        limits: Bounds of repeats over all hosts.
        log: Takes log lines.
        stats: Counters.
        rng: Source of randomness.

    Attributes:
        work_times: Durations of the work by route.
    """

    def __init__(
        self,
        *,
        knowledge: knowledge_.Knowledge,
        dialect: dialects.Dialect,
        chooser: candidates.Chooser,
        relays: relays_.Relays,
        host_pools: pools.HostPools,
        crash_guard: crash_guard_.CrashGuard,
        limits: Limits,
        log: eventlog.EventLog,
        stats: stats_.Stats,
        rng: random.Random,
    ) -> None:
        self._knowledge = knowledge
        self._dialect = dialect
        self._chooser = chooser
        self._relays = relays
        self._host_pools = host_pools
        self._crash_guard = crash_guard
        self._crash_checks = crash_checks.CrashChecks(crash_guard)
        self._repeats = repeats.Repeats(
            limits.retry_ratio,
            limits.retry_slack,
            limits.retry_window_s,
            chooser,
            stats,
        )
        self._notes = request_log.RequestLog(log, knowledge, stats)
        self._stats = stats
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()
        self.work_times = work_times.WorkTimes()

    async def close(self) -> None:
        """Ends what runs beside the requests."""
        await self._crash_checks.close()

    async def serve(
        self, req: http_server.Request, *, relayed: bool = False
    ) -> http_server.Response:
        """Answers a request of a caller.

        Args:
            req: The request.
            relayed: Whether another host passed it on.
        """
        knowledge = self._knowledge
        request_id = self._dialect.request_id(req)
        if not knowledge.complete and not await self._first_reading(req):
            return self._refuse(request_id, 'no-configuration', 0.2)
        route = knowledge.table.match(req.host, req.path)
        if route is None:
            self._notes.ended(request_id, 404, 'no-route', 0, req.arrived_s)
            return http_server.Response(404)
        blocked_s = self._crash_guard.blocked_s(req, self._loop.time())
        if blocked_s > 0:
            return self._refuse(request_id, 'crashes-targets', blocked_s)
        outside_homes = route.homes and knowledge.region not in route.homes
        if relayed and outside_homes:
            # The host that passed it on has another configuration.
            return self._refuse(request_id, 'relay-mismatch', 0.2)
        remaining_s = self._dialect.remaining_s(req)
        if remaining_s is None or remaining_s > route.timeout_s:
            remaining_s = route.timeout_s
        call = attempts.Call(
            req,
            request_id,
            route,
            self._part(route),
            req.arrived_s + remaining_s - ANSWER_MARGIN_S,
        )
        if outside_homes:
            resp = await self._relay(call)
            if resp is not None:
                return resp
        self._repeats.note_request(call.service, self._loop.time())
        outstanding: list[attempts.Attempt] = []
        try:
            return await self._run(call, outstanding)
        finally:
            for attempt in outstanding:
                attempt.conn.abort()

    async def _first_reading(self, req: http_server.Request) -> bool:
        """Waits for the first reading of the store; tells whether it came."""
        left_s = self._started_s + START_HOLD_S - self._loop.time()
        remaining_s = self._dialect.remaining_s(req)
        if remaining_s is not None:
            left_s = min(left_s, remaining_s / 2)
        return await self._knowledge.wait_known(left_s)

    async def _relay(self, call: attempts.Call) -> http_server.Response | None:
        """Passes a request on to a home region.

        Returns:
            The final answer, or None if the request has not run there and
            this host should send it to a target itself.
        """
        now_s = self._loop.time()
        host = self._relays.choose(call.route.homes, now_s)
        if host is None:
            return None
        pool = self._host_pools.get(host)
        try:
            conn = await pool.take()
        except errors.ConnectFailed as exc:
            self._notes.relayed(call, host, str(exc), now_s)
            return None
        left_s = call.deadline_s - self._loop.time()
        if left_s <= 0:
            pool.release(conn)
            return self._give_up(call, 'deadline')
        data = self._dialect.encode(call.req, left_s, None)
        fut = conn.send(data, self._dialect.accept(call.req))
        futs: set[asyncio.Future] = {fut}
        if call.route.idempotent:
            futs.add(call.req.gone)
        self._stats.relays += 1
        call.sends = 1
        call.maybe_run = True
        try:
            await asyncio.wait(
                futs, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not fut.done():
                gone = call.req.gone.done()
                return self._give_up(
                    call, 'caller-gone' if gone else 'deadline'
                )
            reply = fut.result()
        except errors.TargetError as exc:
            self._notes.relayed(call, host, str(exc), now_s)
            return self._give_up(call, 'relay-lost')
        finally:
            pool.release(conn)
        self._notes.relayed(call, host, str(reply.status), now_s)
        if self._dialect.authentic(reply):
            return self._answer(call, reply, self._loop.time())
        if reply.status == 404:
            call.sends = 0
            call.maybe_run = False
            return None
        self._stats.refused('relay')
        return http_server.Response(
            reply.status, self._dialect.answer_headers(reply), reply.body
        )

    async def _run(
        self, call: attempts.Call, outstanding: list[attempts.Attempt]
    ) -> http_server.Response:
        while True:
            left_s = call.deadline_s - self._loop.time()
            if left_s <= 0:
                return self._give_up(call, 'deadline')
            if call.req.gone.done() and (
                call.route.idempotent or not outstanding
            ):
                return self._give_up(call, 'caller-gone')
            if not outstanding:
                refusal = await self._start(call, outstanding)
                if refusal is not None:
                    return refusal
                continue
            hedge_s = self._hedge_in_s(call, outstanding)
            await self._wait(call, outstanding, min(left_s, hedge_s))
            for attempt in [one for one in outstanding if one.fut.done()]:
                outstanding.remove(attempt)
                resp = self._ended(call, attempt)
                if resp is not None:
                    return resp
            if outstanding and self._hedge_in_s(call, outstanding) <= 0:
                await self._hedge(call, outstanding)

    async def _wait(
        self,
        call: attempts.Call,
        outstanding: list[attempts.Attempt],
        wait_s: float,
    ) -> None:
        futs: set[asyncio.Future] = {one.fut for one in outstanding}
        if call.route.idempotent:
            futs.add(call.req.gone)
        await asyncio.wait(
            futs,
            timeout=max(0.0, wait_s),
            return_when=asyncio.FIRST_COMPLETED,
        )

    # Starting.

    async def _start(
        self, call: attempts.Call, outstanding: list[attempts.Attempt]
    ) -> http_server.Response | None:
        """Sends the request to a target; returns an answer if it can't."""
        if call.sends and not self._may_repeat(call):
            return self._give_up(call, 'no-more-attempts')
        blocked_s = self._crash_guard.blocked_s(call.req, self._loop.time())
        if blocked_s > 0:
            return self._give_up(call, 'crashes-targets', blocked_s)
        placed = await self._chooser.choose(self._needs(call))
        if isinstance(placed, candidates.NoPlacement):
            wait_s = min(MAX_RETRY_AFTER_S, placed.wait_s)
            return self._give_up(call, placed.reason, wait_s)
        if call.sends and not self._spend(call):
            placed.target.pool.release(placed.conn)
            return self._give_up(call, 'retry-budget')
        self._send(call, placed, outstanding)
        return None

    def _send(
        self,
        call: attempts.Call,
        placed: candidates.Placement,
        outstanding: list[attempts.Attempt],
    ) -> None:
        now_s = self._loop.time()
        target = placed.target
        data = self._dialect.encode(
            call.req, max(0.001, call.deadline_s - now_s), target.entry
        )
        call.sends += 1
        call.tried.add(target.entry.name)
        target.note_sent(now_s)
        fut = placed.conn.send(data, self._dialect.accept(call.req))
        outstanding.append(attempts.Attempt(placed, fut, now_s))
        self._stats.sends += 1
        self._notes.sent(call, outstanding[-1])

    def _needs(self, call: attempts.Call) -> candidates.Needs:
        route = call.route
        targets = [
            target
            for target in self._knowledge.eligible(call.service, route.homes)
            if target.entry.name not in call.tried
        ]
        return candidates.Needs(
            targets,
            self.work_times.expected_s(route),
            route.objective_s,
            call.deadline_s - self._loop.time(),
        )

    def _part(self, route: model.Route) -> str:
        if len(route.parts) == 1:
            return route.parts[0].service
        weights = [part.weight for part in route.parts]
        return self._rng.choices(route.parts, weights)[0].service

    # Hedging.

    def _hedge_in_s(
        self, call: attempts.Call, outstanding: list[attempts.Attempt]
    ) -> float:
        """Returns after how long a hedge is due; infinite if never."""
        if (
            call.hedged
            or not call.route.idempotent
            or len(outstanding) != 1
            or call.sends >= call.route.attempts
        ):
            return float('inf')
        attempt = outstanding[0]
        delay_s = max(
            call.route.objective_s * HEDGE_OBJECTIVES,
            attempt.placement.expected_s * HEDGE_EXPECTED,
        )
        return attempt.sent_s + delay_s - self._loop.time()

    async def _hedge(
        self, call: attempts.Call, outstanding: list[attempts.Attempt]
    ) -> None:
        """Sends the request to a second target if one is likely faster."""
        route = call.route
        call.hedged = True
        if self._may_repeat(call):
            placed = await self._chooser.choose(self._needs(call))
            if isinstance(placed, candidates.Placement):
                first = outstanding[0]
                late_s = call.deadline_s - self._loop.time()
                if (
                    not first.fut.done()
                    and not call.req.gone.done()
                    and placed.expected_s < min(late_s, route.objective_s)
                    and self._spend(call)
                ):
                    self._stats.hedges += 1
                    self._send(call, placed, outstanding)
                    return
                placed.target.pool.release(placed.conn)

    def _may_repeat(self, call: attempts.Call) -> bool:
        return self._repeats.allowed(call, self._loop.time())

    def _spend(self, call: attempts.Call) -> bool:
        return self._repeats.spend(call, self._loop.time())

    # Ending.

    def _ended(
        self, call: attempts.Call, attempt: attempts.Attempt
    ) -> http_server.Response | None:
        """Takes over the end of an attempt; returns a final answer."""
        target = attempt.target
        now_s = self._loop.time()
        try:
            reply = attempt.fut.result()
        except errors.TargetError as exc:
            call.maybe_run = True
            target.note_failure(now_s)
            self._notes.attempted(call, attempt, type(exc).__name__)
            self._crash_checks.broke(call, attempt)
            return None
        if reply.reusable:
            target.pool.release(attempt.conn)
        load = self._dialect.load(reply, target.entry, now_s)
        if load is not None:
            target.note_reading(load)
        if self._dialect.misdirected(reply):
            target.misdirected = True
            self._notes.attempted(call, attempt, 'misdirected')
            return None
        if self._dialect.not_run(reply):
            target.note_failure(now_s, 0.5)
            self._notes.attempted(call, attempt, 'shed')
            return None
        call.maybe_run = True
        self._crash_guard.answered(call.req)
        if not self._dialect.authentic(reply):
            target.note_failure(now_s)
            self._notes.attempted(call, attempt, 'spoiled')
            return None
        if reply.status >= 500:
            target.note_failure(now_s)
            call.failure = reply
            self._notes.attempted(call, attempt, f'status-{reply.status}')
            if call.route.idempotent and self._may_repeat(call):
                return None
            return self._answer(call, reply, now_s)
        target.note_success()
        self._learn(call.route, attempt, now_s)
        return self._answer(call, reply, now_s)

    def _answer(
        self, call: attempts.Call, reply: http_client.Reply, now_s: float
    ) -> http_server.Response:
        elapsed_s = now_s - call.req.arrived_s
        self._stats.answered(call.route.name, elapsed_s)
        self._notes.ended(
            call.request_id,
            reply.status,
            'answer',
            call.sends,
            call.req.arrived_s,
        )
        return http_server.Response(
            reply.status, self._dialect.answer_headers(reply), reply.body
        )

    def _give_up(
        self, call: attempts.Call, reason: str, wait_s: float = 0.0
    ) -> http_server.Response:
        """Returns the final answer to a request that can't be served."""
        if call.failure is not None:
            return self._answer(call, call.failure, self._loop.time())
        if reason == 'deadline' and call.sends:
            status = 504
        elif call.maybe_run or (call.sends and reason == 'caller-gone'):
            status = 502
        else:
            return self._refuse(call.request_id, reason, wait_s, call)
        self._notes.ended(
            call.request_id, status, reason, call.sends, call.req.arrived_s
        )
        self._stats.refused(reason)
        return http_server.Response(status)

    def _refuse(
        self,
        request_id: bytes,
        reason: str,
        wait_s: float,
        call: attempts.Call | None = None,
    ) -> http_server.Response:
        """Returns the answer that the request has not run."""
        wait_s = max(MIN_RETRY_AFTER_S, wait_s)
        wait_s *= 0.75 + 0.5 * self._rng.random()
        now_s = self._loop.time()
        self._notes.ended(
            request_id,
            503,
            reason,
            call.sends if call else 0,
            call.req.arrived_s if call else now_s,
        )
        self._stats.refused(reason)
        after = f'{wait_s:.3f}'.encode()
        return http_server.Response(503, [(b'retry-after', after)])

    # Learning.

    def _learn(
        self, route: model.Route, attempt: attempts.Attempt, now_s: float
    ) -> None:
        """Updates the duration of the work at usual speed."""
        reading = attempt.placement.reading
        slots = max(1, reading.slots)
        if reading.running + reading.waiting >= slots or reading.cold_s > 0:
            return
        usual = self._chooser.usual(attempt.target.entry.service)
        elapsed_s = now_s - attempt.sent_s - attempt.target.path_s
        factor = (reading.slowness + usual) / 2
        self.work_times.learn(route, elapsed_s / max(1.0, factor))
