"""Admission policies, which decide if calls wait for a slot or are refused."""

import abc

import msgspec

from ragwortchute import registry

REGISTRY: registry.Registry[type['AdmissionPolicy']] = registry.Registry(
    'admission policy'
)


class Waiter(msgspec.Struct, eq=False):
    """A call that waits for a slot.

    Attributes:
        priority: Priority; lower values are served first, 0 is the highest.
        deadline_s: Deadline on the monotonic clock, in seconds.
        enqueued_s: When the call was enqueued, on the monotonic clock in
            seconds.
        payload: Value attached by the user of the queue.
    """

    priority: int
    deadline_s: float
    enqueued_s: float
    payload: object = None


class AdmissionPolicy(abc.ABC):
    """A bounded queue of waiting calls."""

    @abc.abstractmethod
    def offer(self, waiter: Waiter, service_s: float) -> str:
        """Adds a call to the queue, or refuses it.

        Args:
            waiter: The call.
            service_s: Estimated time from a free slot to the answer, in
                seconds.

        Returns:
            An empty string if the call was added; otherwise the reason of the
            refusal, `deadline` or `queue-full`.
        """

    @abc.abstractmethod
    def take(self, now_s: float) -> Waiter | None:
        """Removes and returns the call to serve next.

        Args:
            now_s: Present time on the monotonic clock, in seconds.

        Returns:
            The call, or None if no call waits.
        """

    @abc.abstractmethod
    def expire(self, now_s: float, service_s: float) -> list[Waiter]:
        """Removes and returns the calls that can no longer meet their deadline.

        Args:
            now_s: Present time on the monotonic clock, in seconds.
            service_s: Estimated time from a free slot to the answer, in
                seconds.
        """

    @abc.abstractmethod
    def oldest_s(self) -> float:
        """Returns when the call that waits longest was enqueued.

        The time is on the monotonic clock, in seconds; infinite if no call
        waits.
        """

    @abc.abstractmethod
    def remove(self, waiter: Waiter) -> None:
        """Removes a call, for example because it was cancelled."""

    @abc.abstractmethod
    def __len__(self) -> int: ...
