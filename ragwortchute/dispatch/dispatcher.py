"""Runs one call: target selection, attempts, retries and hedges."""

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

# A lease is unusable after a pause of the process; more than a few in a row
# mean that this host may not send at all.
_MAX_UNUSABLE_LEASES = 3
_RETRY_AFTER_MS = 100


class Budget(Protocol):
    """Limits how often something happens."""

    def try_spend(self) -> bool:
        """Takes one spending if the budget allows it."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class _Mapping:
    """What a failed attempt means for the slot and for the caller."""

    kind: slots.AttemptKind
    reason: str
    status: int


_MAPPINGS: dict[type[errors.TargetError], _Mapping] = {
    errors.TargetShed: _Mapping(slots.AttemptKind.SHED, 'shed', 503),
    errors.ConnectFailed: _Mapping(
        slots.AttemptKind.CONNECT_FAILED, 'connect-failed', 503
    ),
    errors.ConnectionLost: _Mapping(
        slots.AttemptKind.LOST, 'connection-lost', 502
    ),
    errors.TruncatedAnswer: _Mapping(
        slots.AttemptKind.LOST, 'answer-truncated', 502
    ),
    errors.AnswerTooLarge: _Mapping(
        slots.AttemptKind.ANSWERED, 'answer-too-large', 502
    ),
    errors.AttemptTimeout: _Mapping(slots.AttemptKind.TIMEOUT, 'deadline', 504),
    errors.TargetError: _Mapping(slots.AttemptKind.LOST, 'answer-invalid', 502),
}


@dataclasses.dataclass(slots=True)
class DispatchCounts:
    """Totals since the start of the process."""

    attempts: int = 0
    retries: int = 0
    hedges: int = 0
    hedges_won: int = 0
    retries_denied: int = 0
    hedges_denied: int = 0


@dataclasses.dataclass(slots=True)
class _Progress:
    """What is known of one call so far.

    Attributes:
        tried: Targets that had an attempt.
        maybe_ran: A target may have run the request.
        error: The last failure, or None.
    """

    tried: frozenset[str] = frozenset()
    maybe_ran: bool = False
    error: errors.TargetError | None = None


class LeaseUnusable(Exception):
    """The slot may no longer be used; nothing was sent."""


class Dispatcher:
    """Sends calls to targets.

    Args:
        slot_source: Returns the slots of a service, or None.
        sender: Sends single requests.
        guard: Recognises requests that crash targets.
        retry_budget: Returns the retry budget of a service.
        clock: Clock of the deadlines.
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
        """Returns the first whole answer of a target, or a refusal.

        A refusal has the outcome `not-run` only if every attempt is proved
        not to have run.
        """
        source = self._slot_source(call.service)
        if source is None:
            return result.Failure(
                _refusal('no-service', 'look-up', 404, 'service is unknown')
            )
        progress = _Progress()
        unusable = 0
        while True:
            refusal = self._check(call)
            if refusal is not None:
                return _failure(refusal, progress)
            acquired = await source.acquire(call, exclude=progress.tried)
            if not isinstance(acquired, result.Success):
                return _failure(acquired.failure(), progress)
            lease = acquired.unwrap()
            try:
                answer = await self._attempt_hedged(
                    call, source, lease, progress
                )
            except LeaseUnusable:
                unusable += 1
                if unusable >= _MAX_UNUSABLE_LEASES:
                    return _failure(
                        _refusal('lease', 'dispatch', 503, 'no usable slot'),
                        progress,
                    )
                continue
            if answer is not None:
                return result.Success(answer)
            if not self._may_retry(call, progress):
                return _failure(_refusal_of(progress.error), progress)

    def _check(self, call: calls.Call) -> calls.Refusal | None:
        if call.deadline_s <= self._clock.monotonic():
            return _refusal('deadline', 'dispatch', 504, 'deadline passed')
        return self._guard.check(call)

    def _may_retry(self, call: calls.Call, progress: _Progress) -> bool:
        """Decides on a further attempt and takes it from the budget."""
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
        progress: _Progress,
    ) -> calls.Answer | None:
        """Runs an attempt, and a second one if the first is slow.

        Returns:
            The first whole answer, or None if every attempt failed.

        Raises:
            LeaseUnusable: Nothing was sent.
        """
        slot = _HeldSlot(lease)
        try:
            if not (call.idempotent and call.hedge):
                return await self.attempt(call, slot, progress)
            race = _Race(self, call, source, slot, progress)
            return await race.run(source.hedge_delay_s())
        finally:
            slot.release(_unused())

    async def attempt(
        self,
        call: calls.Call,
        slot: '_HeldSlot',
        progress: _Progress,
    ) -> calls.Answer | None:
        """Sends once and releases the slot.

        Returns:
            The answer, or None after a failure noted in `progress`.

        Raises:
            LeaseUnusable: Nothing was sent.
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
            got = await self._sender.send(
                call.service, lease.target, call, before_send=slot.check
            )
            report = slots.AttemptReport(
                slots.AttemptKind.ANSWERED,
                self._clock.monotonic() - started_s,
                got.incarnation,
                got.running,
                got.draining,
                got.answer.status,
            )
            self._guard.answered(call)
            return got.answer
        except errors.TargetError as exc:
            report = _report_of(exc, self._clock.monotonic() - started_s)
            self._note(call, lease.target.name, exc, progress, started_s)
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

    def _note(
        self,
        call: calls.Call,
        target: str,
        exc: errors.TargetError,
        progress: _Progress,
        started_s: float,
    ) -> None:
        progress.error = exc
        if not exc.not_run:
            progress.maybe_ran = True
        if isinstance(exc, errors.ConnectionLost | errors.TruncatedAnswer):
            self._guard.broke(call, target, started_s)


class _HeldSlot:
    """A slot that is released once, whoever comes first."""

    __slots__ = ('lease', 'released')

    def __init__(self, lease: slots.SlotLease) -> None:
        self.lease = lease
        self.released = False

    def check(self) -> None:
        """Raises `LeaseUnusable` if the request may no longer be sent."""
        if not self.lease.usable():
            raise LeaseUnusable

    def release(self, report: slots.AttemptReport) -> None:
        """Gives the slot back unless that was done."""
        if not self.released:
            self.released = True
            self.lease.release(report)


class _Race:
    """An attempt and at most one hedge; the first whole answer wins.

    The first attempt runs in the task of the call, because a task of its own
    costs CPU on every call while few calls are hedged. A hedge that answers
    first interrupts it by cancellation, as `asyncio.timeout` does.
    """

    __slots__ = (
        '_call',
        '_cancelling',
        '_dispatcher',
        '_first',
        '_hedge',
        '_hedge_slot',
        '_interrupted',
        '_progress',
        '_racing',
        '_source',
        '_task',
    )

    def __init__(
        self,
        dispatcher: Dispatcher,
        call: calls.Call,
        source: slots.SlotSource,
        first: _HeldSlot,
        progress: _Progress,
    ) -> None:
        self._dispatcher = dispatcher
        self._call = call
        self._source = source
        self._first = first
        self._progress = progress
        self._hedge: asyncio.Task[calls.Answer | None] | None = None
        self._hedge_slot: _HeldSlot | None = None
        self._racing = True
        self._interrupted = False
        self._task = asyncio.current_task()
        self._cancelling = self._task.cancelling()

    async def run(self, delay_s: float) -> calls.Answer | None:
        """Returns the first whole answer, or None if there is none.

        Raises:
            LeaseUnusable: Nothing was sent.
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
            if self._task.uncancel() > self._cancelling:
                raise
            return None
        except LeaseUnusable:
            if self._hedge is None:
                raise
            return None
        finally:
            self._racing = False

    async def _hedge_answer(self) -> calls.Answer | None:
        try:
            answer = await self._hedge
        except LeaseUnusable:
            return None
        if answer is not None:
            self._dispatcher.counts.hedges_won += 1
        return answer

    def _start_hedge(self) -> None:
        """Sends to a second target if a slot and the budget permit."""
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
        if not self._racing or hedge.cancelled() or hedge.exception():
            return
        if hedge.result() is not None:
            self._interrupted = True
            self._task.cancel()

    async def _stop_hedge(self) -> None:
        """Ends the hedge and waits until its slot is released."""
        try:
            if not self._hedge.done():
                self._hedge.cancel()
                await asyncio.wait({self._hedge})
        finally:
            # A task that is cancelled before its first step never releases.
            self._hedge_slot.release(_unused())


def _unused() -> slots.AttemptReport:
    return slots.AttemptReport(slots.AttemptKind.CANCELLED, 0.0)


def _mapping(exc: errors.TargetError) -> _Mapping:
    for kind in type(exc).__mro__:
        if kind in _MAPPINGS:
            return _MAPPINGS[kind]
    raise TypeError(f'{type(exc).__name__} is not a TargetError')


def _report_of(
    exc: errors.TargetError, latency_s: float
) -> slots.AttemptReport:
    kind = _mapping(exc).kind
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


def _refusal_of(exc: errors.TargetError | None) -> calls.Refusal:
    """Returns the refusal after the last attempt, as if it had not run."""
    if exc is None:
        return _refusal('no-target', 'dispatch', 503, 'no attempt was made')
    mapping = _mapping(exc)
    refusal = _refusal(
        mapping.reason, exc.step or 'attempt', mapping.status, str(exc)
    )
    if isinstance(exc, errors.AnswerTooLarge):
        return calls.Refusal(
            calls.Outcome.RAN, refusal.reason, refusal.step, refusal.status,
            refusal.detail,
        )  # fmt: skip
    return refusal


def _failure(
    refusal: calls.Refusal, progress: _Progress
) -> result.Failure[calls.Refusal]:
    """Weakens `not-run` to `unknown` if an attempt may have run."""
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
