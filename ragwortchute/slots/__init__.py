"""Slots of targets: who may send how much to which target."""

import abc
import enum

import msgspec
from returns import result

from ragwortchute import calls
from ragwortchute import documents


class AttemptKind(enum.StrEnum):
    """How an attempt on a target ended."""

    ANSWERED = 'answered'
    SHED = 'shed'
    CONNECT_FAILED = 'connect-failed'
    LOST = 'lost'
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'


class HedgeDenial(enum.StrEnum):
    """Why there is no slot for a hedged attempt."""

    NO_SLOT = 'no-slot'
    BUDGET = 'budget'


class AttemptReport(msgspec.Struct, frozen=True):
    """What an attempt showed of its target.

    Attributes:
        kind: How the attempt ended.
        latency_s: Seconds from dispatch to the end.
        incarnation: Header `Target-Incarnation`, or an empty string.
        running: Running requests by header `Target-Load`; -1 if absent.
        draining: Whether the target said that it is draining.
        status: HTTP status of the answer; 0 if there is none.
    """

    kind: AttemptKind
    latency_s: float
    incarnation: str = ''
    running: int = -1
    draining: bool = False
    status: int = 0


class SlotLease(abc.ABC):
    """The right to have one request in flight on a target.

    Attributes:
        target: The target to send to.
    """

    target: documents.Target

    @abc.abstractmethod
    def usable(self) -> bool:
        """Tells whether the request may still be sent at this instant.

        Checked right before each dispatch, because the process may have
        been paused since the lease was taken.
        """

    @abc.abstractmethod
    def release(self, report: AttemptReport) -> None:
        """Gives the slot back; called exactly once."""


class SlotSource(abc.ABC):
    """Slots of all targets of one service, as far as this host may use them."""

    @abc.abstractmethod
    async def acquire(
        self, call: calls.Call, *, exclude: frozenset[str] = frozenset()
    ) -> result.Result[SlotLease, calls.Refusal]:
        """Waits for a slot until the deadline of the call.

        Args:
            call: The call that needs the slot.
            exclude: Names of targets that must not be used.

        Returns:
            The slot, or a refusal with outcome `not-run`.
        """

    @abc.abstractmethod
    def try_acquire(
        self,
        call: calls.Call,
        *,
        exclude: frozenset[str] = frozenset(),
        avoid_domain: str = '',
    ) -> result.Result[SlotLease, HedgeDenial]:
        """Takes a slot that is free now, and a hedge from the budget.

        Args:
            call: The call that needs the slot.
            exclude: Names of targets that must not be used.
            avoid_domain: Failure domain that is used only if no other has a
                free slot.

        Returns:
            The slot, or why there is none; nothing is taken from the budget
            then.
        """

    @abc.abstractmethod
    def hedge_delay_s(self) -> float:
        """Returns the 95th percentile of recent answers, in seconds."""
