"""Calls that wait for a slot, and how they end."""

import asyncio
from collections import abc
import dataclasses

from returns import result

from ragwortchute import admission
from ragwortchute import calls
from ragwortchute import slots
from ragwortchute.admission import deadline_queue as _deadline_queue

# Imported for its registration.
PLUG_INS = (_deadline_queue,)

ADMISSION_POLICY = 'deadline_queue'

Outcome = result.Result[slots.SlotLease, calls.Refusal]


@dataclasses.dataclass(slots=True, eq=False)
class Pending:
    """A call that waits, as the token of its waiter.

    Attributes:
        call: The call.
        exclude: Names of targets that must not be used.
        done: Takes the outcome, exactly once.
    """

    call: calls.Call
    exclude: frozenset[str]
    done: abc.Callable[[Outcome], None]


class WaitingCalls:
    """The calls of a service that wait for a slot.

    Args:
        limit: Largest number of waiting calls.
    """

    def __init__(self, limit: int) -> None:
        self._queue = _make_queue(limit)

    def __len__(self) -> int:
        return len(self._queue)

    def oldest_s(self) -> float:
        """Returns when the call that waits longest began; inf if none."""
        return self._queue.oldest_s()

    def offer(
        self, pending: Pending, now_s: float, service_s: float
    ) -> admission.Waiter | None:
        """Lets a call wait; returns None if it was refused.

        Args:
            pending: The call.
            now_s: The current time.
            service_s: Estimated seconds from a free slot to the answer.
        """
        call = pending.call
        waiter = admission.Waiter(
            call.priority, call.deadline_s, now_s, pending
        )
        reason = self._queue.offer(waiter, service_s)
        if reason:
            pending.done(refuse(reason, 'call cannot be served in time'))
            return None
        return waiter

    def take(self, now_s: float) -> admission.Waiter | None:
        """Removes and returns the call to serve next."""
        return self._queue.take(now_s)

    def put_back(self, waiter: admission.Waiter) -> None:
        """Lets a call wait again for which there was no slot."""
        self._put(waiter, 'queue is full')

    def remove(self, waiter: admission.Waiter) -> None:
        """Removes a call that no longer waits."""
        self._queue.remove(waiter)

    def expire(self, now_s: float, service_s: float) -> None:
        """Refuses the calls that can't meet their deadline."""
        for waiter in self._queue.expire(now_s, service_s):
            waiter.token.done(refuse('deadline', 'no slot in time'))

    def resize(self, limit: int) -> None:
        """Moves the calls to a queue of another size."""
        old, self._queue = self._queue, _make_queue(limit)
        while (waiter := old.take(0.0)) is not None:
            self._put(waiter, 'queue became shorter')

    def close(self) -> None:
        """Refuses all calls."""
        while (waiter := self._queue.take(0.0)) is not None:
            waiter.token.done(refuse('stopping', 'service was removed'))

    def _put(self, waiter: admission.Waiter, detail: str) -> None:
        reason = self._queue.offer(waiter, 0.0)
        if reason:
            waiter.token.done(refuse(reason, detail))


def _make_queue(limit: int) -> admission.AdmissionPolicy:
    return admission.REGISTRY.get(ADMISSION_POLICY)(limit)


def resolve(fut: asyncio.Future[Outcome], outcome: Outcome) -> None:
    """Hands an outcome to a waiting task that may have been cancelled."""
    if fut.done():
        outcome.map(lambda lease: lease.release(unsent()))
    else:
        fut.set_result(outcome)


def unsent() -> slots.AttemptReport:
    """Returns the report of a slot on which nothing was sent."""
    return slots.AttemptReport(slots.AttemptKind.CANCELLED, 0.0)


def refuse(reason: str, detail: str) -> Outcome:
    """Returns the refusal of a call that got no slot."""
    refusal = calls.Refusal(
        outcome=calls.Outcome.NOT_RUN,
        reason=reason,
        step='slot',
        status=503,
        detail=detail,
        retry_after_ms=100,
    )
    return result.Failure(refusal)
