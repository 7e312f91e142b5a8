"""Dispatches the requests of callers to targets.

One task handles a request from its arrival to its final answer: it matches the
route, selects a target, sends the request, and retries or hedges it.
"""

import asyncio
from collections import abc
import random

from ragwortchute import errors
from ragwortchute.gateway import answers
from ragwortchute.gateway import attempts
from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import grace
from ragwortchute.gateway import hedging
from ragwortchute.gateway import host_settings
from ragwortchute.gateway import host_state
from ragwortchute.gateway import organisations
from ragwortchute.gateway import relays as relays_
from ragwortchute.gateway import request_log as request_log_
from ragwortchute.gateway import retries
from ragwortchute.gateway import stats as stats_
from ragwortchute.gateway.admission import gate
from ragwortchute.gateway.http import answer_memory
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.http import intake
from ragwortchute.gateway.http import streamed_answers
from ragwortchute.gateway.organisations import identity
from ragwortchute.gateway.peers import failure_reports
from ragwortchute.gateway.selection import candidates
from ragwortchute.gateway.selection import crash_checks
from ragwortchute.gateway.selection import crash_guard as crash_guard_
from ragwortchute.gateway.selection import measurements
from ragwortchute.gateway.selection import statement_reader
from ragwortchute.gateway.selection import target_choice
from ragwortchute.gateway.selection import targets as targets_
from ragwortchute.gateway.selection import work_times

# An attempt without an answer at the deadline is a failure of its target if it
# took this many times the expected time. Less may be due to long work.
OVERDUE_EXPECTED = 3.0
# Share of a failure that the rejection of a request counts as.
SHED_WEIGHT = 0.5


class Dispatcher:
    """Answers requests of callers.

    Args:
        state: Configuration and targets.
        dialect: Protocol of callers and targets.
        selector: Selects targets.
        relays: Relays requests to other regions.
        crash_guard: Blocks requests that crash targets.
        failures: Reports failures of targets to other hosts.
        statements: Reads what targets say in their answers.
        grace_period: Tells which requests can end before a stop ends.
        is_outdated: Returns whether a newer configuration must be in force.
        is_confirmed: Returns whether the configuration was confirmed recently
            enough to refuse a request for what it lacks.
        limits: Limits on retries over all hosts.
        request_log: Log of requests.
        stats: Counters.
        rng: Source of randomness.
        memory: Memory for long answers.
        quotas: Quotas of organisations, None if there are none.

    Attributes:
        refuse_early: Returns the refusal of a request whose body has not been
            read, None if its head gives no reason for one.
        retries: Retry budgets.
        dialect: Protocol of callers and targets.
        work_times: Processing times by route.
        gate: Admission of requests.
        choice: Chooses targets.
    """

    def __init__(
        self,
        *,
        state: host_state.HostState,
        dialect: dialects.Dialect,
        selector: candidates.TargetSelector,
        relays: relays_.Relays,
        crash_guard: crash_guard_.CrashGuard,
        failures: failure_reports.FailureReports,
        statements: statement_reader.StatementReader,
        grace_period: grace.GracePeriod,
        is_outdated: abc.Callable[[], bool],
        is_confirmed: abc.Callable[[], bool],
        limits: host_settings.FleetLimits,
        request_log: request_log_.RequestLog,
        stats: stats_.Stats,
        rng: random.Random,
        memory: answer_memory.AnswerMemory,
        quotas: organisations.Quotas | None = None,
    ) -> None:
        self._state = state
        self.dialect = dialect
        self._selector = selector
        self._relays = relays
        self._crash_guard = crash_guard
        self._failures = failures
        self._statements = statements
        self._grace_period = grace_period
        self._memory = memory
        self._crash_checks = crash_checks.CrashChecks(crash_guard)
        self.retries = retries.Retries(
            limits.retry_ratio,
            limits.retry_slack,
            limits.retry_window_s,
            selector.limits,
            stats,
            rng,
        )
        self._request_log = request_log
        self._answers = answers.Answers(
            dialect, self._request_log, stats, rng, memory
        )
        self._stats = stats
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._intake = self._create_intake(is_outdated, is_confirmed, quotas)
        self.refuse_early = self._intake.refuse_early
        relays.recheck = self._intake.recheck
        self.gate = gate.Gate(state, selector)
        self.work_times = work_times.WorkTimes()
        self.choice = target_choice.TargetChoice(
            state, self.gate, selector.limits, self.work_times
        )
        self._measurements = measurements.Measurements(
            selector, self.work_times, grace_period
        )
        self._streamed = streamed_answers.StreamedAnswers(
            request_log,
            self._crash_checks,
            self._note_failure,
            self._measurements,
        )

    def _create_intake(
        self,
        is_outdated: abc.Callable[[], bool],
        is_confirmed: abc.Callable[[], bool],
        quotas: organisations.Quotas | None,
    ) -> intake.Intake:
        """Returns what turns requests of callers into calls or refusals."""
        return intake.Intake(
            self._state,
            self.dialect,
            self._crash_guard,
            is_outdated,
            identity.Identity(self._state, self.dialect, is_confirmed),
            quotas,
            self._answers,
            self._request_log,
            self._stats,
            self._rng,
        )

    async def close(self) -> None:
        """Cancels background checks."""
        await self._crash_checks.close()

    async def serve(
        self, req: http_messages.Request, *, relayed: bool = False
    ) -> http_messages.Response:
        """Answers a request of a caller.

        Args:
            req: The request.
            relayed: Whether another host relayed it.
        """
        accepted = await self._intake.accept(req, relayed=relayed)
        if isinstance(accepted, http_messages.Response):
            return accepted
        try:
            return await self._serve(accepted, relayed=relayed)
        finally:
            # The memory of its body is no longer reserved. Tasks that refer to
            # the request must not keep the body.
            req.body_parts = []
            self._answers.forget_failure(accepted)

    async def _serve(
        self, call: attempts.Call, *, relayed: bool
    ) -> http_messages.Response:
        """Relays a request or sends it to targets until it has an answer."""
        if self._intake.is_outside_homes(call):
            resp = await self._relay(call)
            if resp is not None:
                return resp
        self.retries.note_request(call.service, self._loop.time())
        outstanding: list[attempts.Attempt] = []
        try:
            resp = await self._run(call, outstanding)
        finally:
            for attempt in outstanding:
                attempt.conn.abort()
                self._note_abort(call, attempt)
                self.choice.versions.note_abort(call, attempt)
        if relayed and call.answered_by:
            name = call.answered_by.encode('latin-1')
            resp.headers = [*resp.headers, (dialects.TARGET_NAME, name)]
        return resp

    async def _relay(
        self, call: attempts.Call
    ) -> http_messages.Response | None:
        """Relays a request to a host in one of its home regions.

        Returns:
            The final answer, or None if the request has not been executed
            there and this host must send it to a target itself.
        """
        sent_s = self._loop.time()
        if not self._grace_period.can_end(call, sent_s):
            return self._answers.give_up(call, 'stopping')
        result = await self._relays.send(call)
        now_s = self._loop.time()
        if call.sends:
            self._grace_period.note_duration(call.route, now_s - sent_s)
        if result.reason:
            return self._answers.give_up(call, result.reason)
        if result.reply is None:
            return None
        if self.dialect.is_authentic(result.reply):
            self._statements.note_relayed(result.reply, now_s)
            return self._answers.deliver(call, result.reply, now_s)
        return self._answers.pass_on_refusal(call, result.reply)

    async def _run(
        self, call: attempts.Call, outstanding: list[attempts.Attempt]
    ) -> http_messages.Response:
        """Sends, retries and hedges a request until it has a final answer.

        Args:
            call: The request.
            outstanding: Attempts without an answer; updated in place.
        """
        while True:
            left_s = call.deadline_s - self._loop.time()
            if left_s <= 0:
                return self._answers.give_up(call, 'deadline')
            if call.req.disconnected.done() and (
                call.route.idempotent or not outstanding
            ):
                return self._answers.give_up(call, 'caller-gone')
            if not outstanding:
                refusal = await self._send_next(call, outstanding)
                if refusal is not None:
                    return refusal
                continue
            hedge_s = hedging.delay_s(call, outstanding, self._loop.time())
            await attempts.wait_any(call, outstanding, min(left_s, hedge_s))
            for attempt in [item for item in outstanding if item.fut.done()]:
                outstanding.remove(attempt)
                self.choice.versions.note_end(call, attempt)
                resp = self._finish_attempt(call, attempt)
                if resp is not None:
                    return resp
                if not attempt.conn.usable:
                    # The rest of its answer may still be arriving.
                    attempt.conn.abort()
            if (
                outstanding
                and hedging.delay_s(call, outstanding, self._loop.time()) <= 0
            ):
                await self._try_hedge(call, outstanding)

    # Sending.

    async def _send_next(
        self, call: attempts.Call, outstanding: list[attempts.Attempt]
    ) -> http_messages.Response | None:
        """Sends a request to a target.

        Returns:
            The final answer if it can't be sent, else None.
        """
        refusal = self._refuse_if_blocked(call)
        if refusal is not None:
            return refusal
        placed = await self.retries.refusal(call) if call.sends else None
        if placed is None:
            placed = await self.choice.select(call)
        if isinstance(placed, candidates.NoPlacement):
            placed = self.choice.refusal(call, placed)
            return self._answers.give_up(
                call, placed.reason, answers.retry_after_s(placed)
            )
        # It may have waited.
        refusal = self._refuse_if_blocked(call)
        if refusal is not None:
            placed.target.pool.release(placed.conn)
            return refusal
        reason = self._intake.recheck(call)
        if not reason and not self.choice.admits(call, placed.target):
            placed.target.pool.release(placed.conn)
            return None
        if not reason and call.sends and not self._spend_retry(call):
            reason = 'retry-budget'
        if reason:
            placed.target.pool.release(placed.conn)
            return self._answers.give_up(call, reason)
        self._send(call, placed, outstanding)
        return None

    def _refuse_if_blocked(
        self, call: attempts.Call
    ) -> http_messages.Response | None:
        """Returns the refusal of a request that must not be sent now."""
        if not self._grace_period.can_end(call, self._loop.time()):
            return self._answers.give_up(call, 'stopping')
        blocked_s = self._blocked_s(call.req)
        if blocked_s > 0:
            return self._answers.give_up(call, 'crashes-targets', blocked_s)
        return None

    def _send(
        self,
        call: attempts.Call,
        placed: candidates.Placement,
        outstanding: list[attempts.Attempt],
    ) -> None:
        now_s = self._loop.time()
        target = placed.target
        head = self.dialect.encode_head(
            call.req,
            max(0.001, call.deadline_s - now_s),
            target.entry,
            call.added_headers,
        )
        call.sends += 1
        call.tried_targets.add(target.entry.name)
        target.note_sent(now_s)
        fut = placed.conn.send(
            head,
            self._request_log.accept(call, target, self.dialect),
            body_parts=call.req.body_parts,
            memory=self._memory,
        )
        outstanding.append(attempts.Attempt(placed, fut, now_s))
        self._stats.sends += 1
        self.choice.versions.note_send(call, outstanding[-1])
        if self.choice.locality is not None:
            self.choice.locality.note_send(
                target, placed.crossing_reason, call.req.body_bytes
            )
        self._request_log.log_send(call, outstanding[-1])

    # Hedging.

    async def _try_hedge(
        self, call: attempts.Call, outstanding: list[attempts.Attempt]
    ) -> None:
        """Sends a request to a second target if it may answer in time.

        This is decided once for each request and not reconsidered.
        """
        call.hedge_decided = True
        if not self._may_retry(call) or self._blocked_s(call.req) > 0:
            return
        if not self._grace_period.can_end(call, self._loop.time()):
            return
        placed = await self.choice.select_hedge(call)
        if not isinstance(placed, candidates.Placement):
            return
        if self._hedge_is_useful(
            call, outstanding[0], placed
        ) and self._spend_retry(call):
            self._stats.hedges += 1
            self._send(call, placed, outstanding)
        else:
            placed.target.pool.release(placed.conn)

    def _hedge_is_useful(
        self,
        call: attempts.Call,
        first: attempts.Attempt,
        placed: candidates.Placement,
    ) -> bool:
        """Tells whether a hedge may answer in time and does no harm."""
        return (
            hedging.may_help(call, first, placed, self._loop.time())
            and self.choice.admits(call, placed.target)
            and not self._blocked_s(call.req)
            and not self._intake.recheck(call)
        )

    def _blocked_s(self, req: http_messages.Request) -> float:
        """Returns how long a request is refused as it crashes targets."""
        return self._crash_guard.blocked_s(req, self._loop.time())

    def _may_retry(self, call: attempts.Call) -> bool:
        return self.retries.allowed(call, self._loop.time())

    def _spend_retry(self, call: attempts.Call) -> bool:
        return self.retries.spend(call, self._loop.time())

    # Answers.

    def _finish_attempt(
        self, call: attempts.Call, attempt: attempts.Attempt
    ) -> http_messages.Response | None:
        """Processes the end of an attempt.

        Returns:
            The final answer, or None if there is none yet.
        """
        target = attempt.target
        now_s = self._loop.time()
        reply = self._take_reply(call, attempt, now_s)
        if reply is None:
            return None
        call.maybe_executed = True
        if reply.rest is None:
            self._measurements.note_end(call, attempt, now_s)
        self._crash_guard.note_answer(call.req, now_s)
        if not self.dialect.is_authentic(reply):
            self._note_failure(target, 1.0)
            self._request_log.log_failed_attempt(call, attempt, 'spoiled')
            return None
        call.answered_by = target.entry.name
        if reply.status >= 500 or self.dialect.states_not_run(reply.status):
            self._note_failure(target, 1.0)
            self._request_log.log_failed_attempt(
                call, attempt, f'status-{reply.status}'
            )
            if (
                call.route.idempotent
                and self._may_retry(call)
                and self._answers.keep_failure(call, reply)
            ):
                return None
        else:
            target.note_success()
            self._measurements.note_success(call, attempt, now_s)
        self._streamed.follow(call, attempt, reply)
        return self._answers.deliver(call, reply, now_s)

    def _take_reply(
        self, call: attempts.Call, attempt: attempts.Attempt, now_s: float
    ) -> http_client.Reply | None:
        """Returns the reply of a target, None if it has not run the request.

        It is also None if the attempt failed, after which that is not known.
        """
        target = attempt.target
        try:
            reply = attempt.fut.result()
        except errors.TargetError as exc:
            call.maybe_executed = True
            self._note_failure(target, 1.0)
            self._request_log.log_failed_attempt(
                call, attempt, type(exc).__name__, str(exc)
            )
            # Computed now, as the body may be dropped before the check ends.
            crash_guard_.digest(call.req)
            self._crash_checks.check(call, attempt)
            return None
        if reply.reusable:
            target.pool.release(attempt.conn)
        load = self.dialect.decode_load(reply, target.entry, now_s)
        if load is not None:
            target.note_reading(load)
        self.gate.note_end(call, target)
        if self.choice.locality is not None:
            self.choice.locality.note_answer(target, reply)
        if self.dialect.is_misdirected(reply):
            target.misdirected = True
            self._request_log.log_failed_attempt(call, attempt, 'misdirected')
            return None
        self._statements.note(target, reply, now_s)
        if self.dialect.is_not_run(reply):
            self._note_failure(target, SHED_WEIGHT)
            self._request_log.log_failed_attempt(call, attempt, 'shed')
            return None
        return reply

    def _note_abort(
        self, call: attempts.Call, attempt: attempts.Attempt
    ) -> None:
        """Evaluates an attempt without an answer that was given up.

        A target that answers health requests and nothing else looks free again
        whenever its requests have been given up.
        """
        now_s = self._loop.time()
        self._measurements.note_abort(call, attempt, now_s)
        overdue_s = OVERDUE_EXPECTED * attempt.placement.expected_s
        if now_s >= max(call.deadline_s, attempt.sent_s + overdue_s):
            self._note_failure(attempt.target, 1.0)

    def _note_failure(self, target: targets_.Target, weight: float) -> None:
        target.note_failure(self._loop.time(), weight)
        self._failures.note_failure(target.entry.name, weight)
