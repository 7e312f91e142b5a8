"""Policies that decide which calls wait, and which are refused early."""

import abc

import msgspec

from ragwortchute import registry

REGISTRY: registry.Registry[type['AdmissionPolicy']] = registry.Registry(
    'admission policy'
)


class Waiter(msgspec.Struct, eq=False):
    """A call that waits for a slot.

    Attributes:
        priority: 0 is served first.
        deadline_s: Deadline on the monotonic clock, in seconds.
        enqueued_s: When it began to wait, in seconds.
        token: Value that the caller of the queue gave it.
    """

    priority: int
    deadline_s: float
    enqueued_s: float
    token: object = None


class AdmissionPolicy(abc.ABC):
    """A bounded queue of waiting calls."""

    @abc.abstractmethod
    def offer(self, waiter: Waiter, service_s: float) -> str:
        """Adds a call, or returns the reason of its refusal.

        Args:
            waiter: The call.
            service_s: Estimated seconds from a free slot to the answer.

        Returns:
            An empty string if the call waits, else `deadline` or
            `queue-full`.
        """

    @abc.abstractmethod
    def take(self, now_s: float) -> Waiter | None:
        """Removes and returns the call to serve next."""

    @abc.abstractmethod
    def expire(self, now_s: float, service_s: float) -> list[Waiter]:
        """Removes and returns the calls that can't meet their deadline."""

    @abc.abstractmethod
    def oldest_s(self) -> float:
        """Returns when the call that waits longest began; inf if none."""

    @abc.abstractmethod
    def remove(self, waiter: Waiter) -> None:
        """Removes a call that no longer waits."""

    @abc.abstractmethod
    def __len__(self) -> int: ...
