"""Interface of slot selection.

A slot is the right to have one request in flight on a target.
"""

import abc
import enum

import msgspec
from returns import result

from ragwortchute import calls
from ragwortchute import documents


class AttemptKind(enum.StrEnum):
    """Result of one attempt to send a request to a target."""

    ANSWERED = 'answered'
    SHED = 'shed'
    CONNECT_FAILED = 'connect-failed'
    LOST = 'lost'
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'


class HedgeDenial(enum.StrEnum):
    """Reason why a hedged attempt gets no slot."""

    NO_SLOT = 'no-slot'
    BUDGET = 'budget'


class AttemptReport(msgspec.Struct, frozen=True):
    """Result of an attempt, with what the target reported about itself.

    Attributes:
        kind: How the attempt ended.
        latency_s: Time from sending the request to its end, in seconds.
        incarnation: Header `Target-Incarnation`, or an empty string.
        running: Requests that the target runs, from header `Target-Load`; -1
            if the header is absent.
        draining: Whether the target reported that it is draining.
        status: HTTP status of the answer; 0 if there is none.
    """

    kind: AttemptKind
    latency_s: float
    incarnation: str = ''
    running: int = -1
    draining: bool = False
    status: int = 0


class SlotLease(abc.ABC):
    """A slot of a target that is held by one request.

    Attributes:
        target: The target to send to.
    """

    target: documents.Target

    @abc.abstractmethod
    def usable(self) -> bool:
        """Returns whether the request may still be sent.

        Must be checked immediately before sending, because the process may
        have been paused since it acquired the lease.
        """

    @abc.abstractmethod
    def release(self, report: AttemptReport) -> None:
        """Releases the slot; must be called exactly once.

        Args:
            report: Result of the attempt that held the slot.
        """


class SlotSource(abc.ABC):
    """Slots of the targets of one service that this host may use."""

    @abc.abstractmethod
    async def acquire(
        self, call: calls.Call, *, exclude: frozenset[str] = frozenset()
    ) -> result.Result[SlotLease, calls.Refusal]:
        """Acquires a slot, waiting until the deadline of the call if needed.

        Args:
            call: The call that needs the slot.
            exclude: Names of targets that must not be used.

        Returns:
            A lease on the slot, or a refusal with outcome `not-run`.
        """

    @abc.abstractmethod
    def try_acquire(
        self,
        call: calls.Call,
        *,
        exclude: frozenset[str] = frozenset(),
        avoid_domain: str = '',
    ) -> result.Result[SlotLease, HedgeDenial]:
        """Acquires a slot for a hedged attempt without waiting.

        A successful call takes one hedge from the hedge budget; a denied one
        leaves the budget unchanged.

        Args:
            call: The call that needs the slot.
            exclude: Names of targets that must not be used.
            avoid_domain: Failure domain whose targets are used only if no
                other failure domain has a free slot.

        Returns:
            A lease on the slot, or the reason for the denial.
        """

    @abc.abstractmethod
    def hedge_delay_s(self) -> float:
        """Returns the delay after which a call is hedged, in seconds.

        It is the 95th percentile of recent latencies.
        """
