"""Queue of the calls that wait for a slot."""

import asyncio
from collections import abc
import dataclasses

from returns import result

from ragwortchute import admission
from ragwortchute import calls
from ragwortchute import slots
from ragwortchute.admission import deadline_queue as _deadline_queue

# Imported to register the admission policy.
PLUG_INS = (_deadline_queue,)

ADMISSION_POLICY = 'deadline_queue'

Outcome = result.Result[slots.SlotLease, calls.Refusal]


@dataclasses.dataclass(slots=True, eq=False)
class Pending:
    """A call that waits for a slot.

    Attributes:
        call: The call.
        exclude: Names of targets that must not be used.
        on_outcome: Called exactly once, with a lease or a refusal.
    """

    call: calls.Call
    exclude: frozenset[str]
    on_outcome: abc.Callable[[Outcome], None]


class WaitingCalls:
    """The calls of a service that wait for a slot.

    Args:
        limit: Maximum number of waiting calls.
    """

    def __init__(self, limit: int) -> None:
        self._queue = _make_queue(limit)

    def __len__(self) -> int:
        return len(self._queue)

    def oldest_s(self) -> float:
        """Returns when the call that waits longest was enqueued.

        The time is on the monotonic clock, in seconds; infinite if no call
        waits.
        """
        return self._queue.oldest_s()

    def offer(
        self, pending: Pending, now_s: float, service_s: float
    ) -> admission.Waiter | None:
        """Adds a call to the queue, or refuses it.

        Args:
            pending: The call.
            now_s: Present time on the monotonic clock, in seconds.
            service_s: Estimated time from a free slot to the answer, in
                seconds.

        Returns:
            The waiter, or None if the call was refused.
        """
        call = pending.call
        waiter = admission.Waiter(
            call.priority, call.deadline_s, now_s, pending
        )
        reason = self._queue.offer(waiter, service_s)
        if reason:
            pending.on_outcome(refuse(reason, 'call cannot be served in time'))
            return None
        return waiter

    def take(self, now_s: float) -> admission.Waiter | None:
        """Removes and returns the call to serve next."""
        return self._queue.take(now_s)

    def put_back(self, waiter: admission.Waiter) -> None:
        """Returns a call to the queue for which no slot was found."""
        self._put(waiter, 'queue is full')

    def remove(self, waiter: admission.Waiter) -> None:
        """Removes a call that was cancelled."""
        self._queue.remove(waiter)

    def expire(self, now_s: float, service_s: float) -> None:
        """Refuses the calls that can no longer meet their deadline."""
        for waiter in self._queue.expire(now_s, service_s):
            waiter.payload.on_outcome(refuse('deadline', 'no slot in time'))

    def resize(self, limit: int) -> None:
        """Changes the maximum number of waiting calls.

        Calls that exceed it are refused.
        """
        old, self._queue = self._queue, _make_queue(limit)
        while (waiter := old.take(0.0)) is not None:
            self._put(waiter, 'queue became shorter')

    def close(self) -> None:
        """Refuses all waiting calls."""
        while (waiter := self._queue.take(0.0)) is not None:
            waiter.payload.on_outcome(refuse('stopping', 'service was removed'))

    def _put(self, waiter: admission.Waiter, detail: str) -> None:
        reason = self._queue.offer(waiter, 0.0)
        if reason:
            waiter.payload.on_outcome(refuse(reason, detail))


def _make_queue(limit: int) -> admission.AdmissionPolicy:
    return admission.REGISTRY.get(ADMISSION_POLICY)(limit)


def resolve_future(fut: asyncio.Future[Outcome], outcome: Outcome) -> None:
    """Resolves the future of a task that may have been cancelled.

    If so, the lease in the outcome is released.
    """
    if fut.done():
        outcome.map(lambda lease: lease.release(unsent_report()))
    else:
        fut.set_result(outcome)


def unsent_report() -> slots.AttemptReport:
    """Returns the report for a slot on which no request was sent."""
    return slots.AttemptReport(slots.AttemptKind.CANCELLED, 0.0)


def refuse(reason: str, detail: str) -> Outcome:
    """Returns a refusal of a call that got no slot."""
    refusal = calls.Refusal(
        outcome=calls.Outcome.NOT_RUN,
        reason=reason,
        step='slot',
        status=503,
        detail=detail,
        retry_after_ms=100,
    )
    return result.Failure(refusal)
