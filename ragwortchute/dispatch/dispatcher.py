"""Dispatch of calls to targets, with retries and hedges."""

import asyncio
from collections import abc
import dataclasses
from typing import Protocol

from returns import result

from ragwortchute import calls
from ragwortchute import clock as clocks
from ragwortchute import errors
from ragwortchute import records
from ragwortchute import slots
from ragwortchute import upstream

# A lease becomes unusable if the process is paused. This many unusable leases
# for one call mean that the host may not send at all.
_MAX_UNUSABLE_LEASES = 3
_RETRY_AFTER_MS = 100


class Budget(Protocol):
    """Limits the number of retries."""

    def try_spend(self) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class _FailureMapping:
    """How a failed attempt is reported.

    Attributes:
        kind: Result of the attempt, for the release of the slot.
        reason: Reason of the refusal that the caller gets.
        status: HTTP status of that refusal.
    """

    kind: slots.AttemptKind
    reason: str
    status: int


_FAILURE_MAPPINGS: dict[type[errors.TargetError], _FailureMapping] = {
    errors.TargetShed: _FailureMapping(slots.AttemptKind.SHED, 'shed', 503),
    errors.ConnectFailed: _FailureMapping(
        slots.AttemptKind.CONNECT_FAILED, 'connect-failed', 503
    ),
    errors.ConnectionLost: _FailureMapping(
        slots.AttemptKind.LOST, 'connection-lost', 502
    ),
    errors.TruncatedAnswer: _FailureMapping(
        slots.AttemptKind.LOST, 'answer-truncated', 502
    ),
    errors.AnswerTooLarge: _FailureMapping(
        slots.AttemptKind.ANSWERED, 'answer-too-large', 502
    ),
    errors.AttemptTimeout: _FailureMapping(
        slots.AttemptKind.TIMEOUT, 'deadline', 504
    ),
    errors.TargetError: _FailureMapping(
        slots.AttemptKind.LOST, 'answer-invalid', 502
    ),
}


@dataclasses.dataclass(slots=True)
class DispatchCounts:
    """Counters since the start of the process.

    Attributes:
        attempts: Requests sent to targets, retries and hedges included.
        retries: Further attempts after a failed one.
        hedges: Second attempts started while the first was running.
        hedges_won: Hedges whose answer was used.
        retries_denied: Retries that the budget did not permit.
        hedges_denied: Hedges that the budget did not permit.
    """

    attempts: int = 0
    retries: int = 0
    hedges: int = 0
    hedges_won: int = 0
    retries_denied: int = 0
    hedges_denied: int = 0


@dataclasses.dataclass(slots=True)
class _CallProgress:
    """State of one call across its attempts.

    Attributes:
        tried: Names of the targets to which an attempt was made.
        maybe_ran: Whether a target may have run the request.
        error: The error of the last failed attempt, or None.
    """

    tried: frozenset[str] = frozenset()
    maybe_ran: bool = False
    error: errors.TargetError | None = None


class LeaseUnusable(Exception):
    """The lease of the slot is no longer usable; nothing was sent."""


class Dispatcher:
    """Sends calls to targets, with retries and hedges.

    Args:
        slot_source: Returns the slots of a service by name, or None if the
            service is unknown.
        sender: Sends single requests to targets.
        guard: Detects requests that crash targets.
        retry_budget: Returns the retry budget of a service by name.
        clock: Clock on which the deadlines of calls are given.

    Attributes:
        counts: Counters since the start of the process.
    """

    def __init__(
        self,
        *,
        slot_source: abc.Callable[[str], slots.SlotSource | None],
        sender: upstream.Upstream,
        guard: records.CrashGuard,
        retry_budget: abc.Callable[[str], Budget],
        clock: clocks.Clock,
    ) -> None:
        self._slot_source = slot_source
        self._sender = sender
        self._guard = guard
        self._retry_budget = retry_budget
        self._clock = clock
        self.counts = DispatchCounts()

    async def run(self, call: calls.Call) -> records.Outcome:
        """Runs a call and returns the first complete answer, or a refusal.

        A refusal has outcome `not-run` only if it is proved that no attempt
        ran on a target.
        """
        source = self._slot_source(call.service)
        if source is None:
            return result.Failure(
                _refusal('no-service', 'look-up', 404, 'service is unknown')
            )
        progress = _CallProgress()
        unusable_leases = 0
        while True:
            refusal = self._refuse_before_attempt(call)
            if refusal is not None:
                return _failed_call(refusal, progress)
            acquired = await source.acquire(call, exclude=progress.tried)
            if not isinstance(acquired, result.Success):
                return _failed_call(acquired.failure(), progress)
            lease = acquired.unwrap()
            try:
                answer = await self._attempt_hedged(
                    call, source, lease, progress
                )
            except LeaseUnusable:
                unusable_leases += 1
                if unusable_leases >= _MAX_UNUSABLE_LEASES:
                    return _failed_call(
                        _refusal('lease', 'dispatch', 503, 'no usable slot'),
                        progress,
                    )
                continue
            if answer is not None:
                return result.Success(answer)
            if not self._may_retry(call, progress):
                return _failed_call(
                    _refusal_after_failure(progress.error), progress
                )

    def _refuse_before_attempt(self, call: calls.Call) -> calls.Refusal | None:
        if call.deadline_s <= self._clock.monotonic():
            return _refusal('deadline', 'dispatch', 504, 'deadline passed')
        return self._guard.check(call)

    def _may_retry(self, call: calls.Call, progress: _CallProgress) -> bool:
        """Decides whether to retry, and takes the retry from the budget."""
        if isinstance(progress.error, errors.AnswerTooLarge):
            return False
        if progress.maybe_ran and not call.idempotent:
            return False
        if len(progress.tried) > call.retries:
            return False
        if call.deadline_s <= self._clock.monotonic():
            return False
        if not self._retry_budget(call.service).try_spend():
            self.counts.retries_denied += 1
            return False
        self.counts.retries += 1
        return True

    async def _attempt_hedged(
        self,
        call: calls.Call,
        source: slots.SlotSource,
        lease: slots.SlotLease,
        progress: _CallProgress,
    ) -> calls.Answer | None:
        """Makes an attempt, and a hedge if the first attempt is slow.

        Returns:
            The first complete answer, or None if every attempt failed.

        Raises:
            LeaseUnusable: The lease was unusable and nothing was sent.
        """
        slot = _HeldSlot(lease)
        try:
            if not (call.idempotent and call.hedge):
                return await self.attempt(call, slot, progress)
            hedged = _HedgedAttempt(self, call, source, slot, progress)
            return await hedged.run(source.hedge_delay_s())
        finally:
            slot.release(_unsent_report())

    async def attempt(
        self,
        call: calls.Call,
        slot: '_HeldSlot',
        progress: _CallProgress,
    ) -> calls.Answer | None:
        """Sends the request of a call once and releases the slot.

        Args:
            call: The call.
            slot: The slot to use.
            progress: State of the call; updated after a failure.

        Returns:
            The answer, or None if the attempt failed.

        Raises:
            LeaseUnusable: The lease was unusable or the deadline had passed;
                nothing was sent.
        """
        lease = slot.lease
        started_s = self._clock.monotonic()
        report = slots.AttemptReport(slots.AttemptKind.CANCELLED, 0.0)
        try:
            slot.check()
            if started_s >= call.deadline_s:
                raise LeaseUnusable
            self.counts.attempts += 1
            progress.tried |= {lease.target.name}
            target_answer = await self._sender.send(
                call.service, lease.target, call, before_send=slot.check
            )
            report = slots.AttemptReport(
                slots.AttemptKind.ANSWERED,
                self._clock.monotonic() - started_s,
                target_answer.incarnation,
                target_answer.running,
                target_answer.draining,
                target_answer.answer.status,
            )
            self._guard.report_answer(call)
            return target_answer.answer
        except errors.TargetError as exc:
            report = _failure_report(exc, self._clock.monotonic() - started_s)
            self._note_failure(
                call, lease.target.name, exc, progress, started_s
            )
            return None
        except LeaseUnusable:
            progress.tried -= {lease.target.name}
            raise
        except asyncio.CancelledError:
            report = slots.AttemptReport(
                slots.AttemptKind.CANCELLED,
                self._clock.monotonic() - started_s,
            )
            raise
        finally:
            slot.release(report)

    def _note_failure(
        self,
        call: calls.Call,
        target: str,
        exc: errors.TargetError,
        progress: _CallProgress,
        started_s: float,
    ) -> None:
        progress.error = exc
        if not exc.not_run:
            progress.maybe_ran = True
        if isinstance(exc, errors.ConnectionLost | errors.TruncatedAnswer):
            self._guard.report_crash(call, target, started_s)


class _HeldSlot:
    """A slot whose lease is released only once.

    Several code paths may release it; only the first one takes effect.
    """

    __slots__ = ('lease', 'released')

    def __init__(self, lease: slots.SlotLease) -> None:
        self.lease = lease
        self.released = False

    def check(self) -> None:
        """Raises `LeaseUnusable` if the lease is no longer usable."""
        if not self.lease.usable():
            raise LeaseUnusable

    def release(self, report: slots.AttemptReport) -> None:
        """Releases the slot unless it was released before."""
        if not self.released:
            self.released = True
            self.lease.release(report)


class _HedgedAttempt:
    """An attempt and at most one hedge; the first complete answer is used.

    The first attempt runs in the task of the call, because a separate task
    would cost CPU on every call although few calls are hedged. A hedge that
    succeeds first cancels this task; the cancellation is then withdrawn with
    `Task.uncancel`, as `asyncio.timeout` does.
    """

    __slots__ = (
        '_call',
        '_outer_cancellations',
        '_dispatcher',
        '_first',
        '_hedge',
        '_hedge_slot',
        '_interrupted',
        '_progress',
        '_first_pending',
        '_source',
        '_task',
    )

    def __init__(
        self,
        dispatcher: Dispatcher,
        call: calls.Call,
        source: slots.SlotSource,
        first: _HeldSlot,
        progress: _CallProgress,
    ) -> None:
        self._dispatcher = dispatcher
        self._call = call
        self._source = source
        self._first = first
        self._progress = progress
        self._hedge: asyncio.Task[calls.Answer | None] | None = None
        self._hedge_slot: _HeldSlot | None = None
        self._first_pending = True
        self._interrupted = False
        self._task = asyncio.current_task()
        self._outer_cancellations = self._task.cancelling()

    async def run(self, delay_s: float) -> calls.Answer | None:
        """Returns the first complete answer, or None if both attempts failed.

        Args:
            delay_s: Time after which the hedge is started, in seconds.

        Raises:
            LeaseUnusable: The lease was unusable and nothing was sent.
        """
        timer = asyncio.get_running_loop().call_later(
            delay_s, self._start_hedge
        )
        try:
            answer = await self._run_first()
            timer.cancel()
            if answer is None and self._hedge is not None:
                answer = await self._hedge_answer()
            return answer
        finally:
            timer.cancel()
            if self._hedge is not None:
                await self._stop_hedge()

    async def _run_first(self) -> calls.Answer | None:
        try:
            return await self._dispatcher.attempt(
                self._call, self._first, self._progress
            )
        except asyncio.CancelledError:
            if not self._interrupted:
                raise
            if self._task.uncancel() > self._outer_cancellations:
                raise
            return None
        except LeaseUnusable:
            if self._hedge is None:
                raise
            return None
        finally:
            self._first_pending = False

    async def _hedge_answer(self) -> calls.Answer | None:
        try:
            answer = await self._hedge
        except LeaseUnusable:
            return None
        if answer is not None:
            self._dispatcher.counts.hedges_won += 1
        return answer

    def _start_hedge(self) -> None:
        """Starts the hedge if a free slot and the budget permit it."""
        counts = self._dispatcher.counts
        acquired = self._source.try_acquire(
            self._call,
            exclude=self._progress.tried,
            avoid_domain=self._first.lease.target.failure_domain,
        )
        if not isinstance(acquired, result.Success):
            if acquired.failure() is slots.HedgeDenial.BUDGET:
                counts.hedges_denied += 1
            return
        counts.hedges += 1
        slot = _HeldSlot(acquired.unwrap())
        self._hedge_slot = slot
        self._hedge = asyncio.get_running_loop().create_task(
            self._dispatcher.attempt(self._call, slot, self._progress)
        )
        self._hedge.add_done_callback(self._interrupt_first)

    def _interrupt_first(
        self, hedge: asyncio.Task[calls.Answer | None]
    ) -> None:
        if not self._first_pending or hedge.cancelled() or hedge.exception():
            return
        if hedge.result() is not None:
            self._interrupted = True
            self._task.cancel()

    async def _stop_hedge(self) -> None:
        """Cancels the hedge and waits until its slot is released."""
        try:
            if not self._hedge.done():
                self._hedge.cancel()
                await asyncio.wait({self._hedge})
        finally:
            # A task that is cancelled before its first step never runs, so it
            # does not release the slot itself.
            self._hedge_slot.release(_unsent_report())


def _unsent_report() -> slots.AttemptReport:
    return slots.AttemptReport(slots.AttemptKind.CANCELLED, 0.0)


def _mapping_for(exc: errors.TargetError) -> _FailureMapping:
    for kind in type(exc).__mro__:
        if kind in _FAILURE_MAPPINGS:
            return _FAILURE_MAPPINGS[kind]
    raise TypeError(f'{type(exc).__name__} is not a TargetError')


def _failure_report(
    exc: errors.TargetError, latency_s: float
) -> slots.AttemptReport:
    kind = _mapping_for(exc).kind
    if isinstance(exc, errors.TargetShed):
        return slots.AttemptReport(
            kind, latency_s, exc.incarnation, exc.running, exc.draining
        )
    return slots.AttemptReport(kind, latency_s)


def _refusal(reason: str, step: str, status: int, detail: str) -> calls.Refusal:
    return calls.Refusal(
        outcome=calls.Outcome.NOT_RUN,
        reason=reason,
        step=step,
        status=status,
        detail=detail,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _refusal_after_failure(exc: errors.TargetError | None) -> calls.Refusal:
    """Returns the refusal of a call whose last attempt failed.

    Its outcome is `not-run`, except after an answer that was too large;
    `_failed_call` corrects it if an attempt may have run.
    """
    if exc is None:
        return _refusal('no-target', 'dispatch', 503, 'no attempt was made')
    mapping = _mapping_for(exc)
    refusal = _refusal(
        mapping.reason, exc.step or 'attempt', mapping.status, str(exc)
    )
    if isinstance(exc, errors.AnswerTooLarge):
        return calls.Refusal(
            calls.Outcome.RAN, refusal.reason, refusal.step, refusal.status,
            refusal.detail,
        )  # fmt: skip
    return refusal


def _failed_call(
    refusal: calls.Refusal, progress: _CallProgress
) -> result.Failure[calls.Refusal]:
    """Returns a refusal with its outcome adjusted to the attempts made.

    Outcome `not-run` becomes `unknown` if an attempt may have run.
    """
    if refusal.outcome is calls.Outcome.NOT_RUN and progress.maybe_ran:
        return result.Failure(
            calls.Refusal(
                calls.Outcome.UNKNOWN,
                refusal.reason,
                refusal.step,
                refusal.status,
                refusal.detail,
                retry_after_ms=-1,
                addresses=refusal.addresses,
            )
        )
    return result.Failure(refusal)
