"""Byte budget for the loan messages of one host, over all its services."""

from collections import abc
import dataclasses
from typing import Protocol

from ragwortchute import budgets
from ragwortchute import clock as clock_
from ragwortchute import codecs
from ragwortchute import wire
from ragwortchute.peers import frames
from ragwortchute.slots import loans

# A host may send 4,000 bytes/s of control traffic, of which heartbeats and
# documents take about 1,600.
LOAN_BYTES_PER_S = 2000.0
# Part of the budget that requests, empty grants and status messages must leave
# for grants and returns. Without those, slots would stay idle until the end of
# a term.
RESERVE_BYTES = 500.0
RETURN_INTERVAL_S = 0.1
# No message is smaller than this. A budget that does not cover it is exhausted,
# which is known without encoding the message.
_MIN_MESSAGE_BYTES = frames.OVERHEAD_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class LoanRequest:
    """A request for slots, and the host to send it to.

    Attributes:
        host: The prospective lender.
        message: The request.
    """

    host: str
    message: wire.SlotRequest


@dataclasses.dataclass(frozen=True, slots=True)
class LoanReturn:
    """A return of slots, and the host to send it to.

    Attributes:
        host: The lender.
        message: The return.
    """

    host: str
    message: wire.SlotReturn


class Borrower(Protocol):
    """The part of `ServiceSlots` that `SlotTraffic` uses."""

    @property
    def waiting(self) -> int:
        """Number of calls that wait for a slot."""
        ...

    def waiting_since_s(self) -> float:
        """Returns when the call that waits longest was enqueued."""
        ...

    def loan_request(self) -> LoanRequest | None:
        """Returns the next request for a loan, or None if none is due."""
        ...

    def idle_loans(self) -> list[loans.IdleSlots]:
        """Returns the borrowed slots that can be returned."""
        ...

    def mark_returned(self, idle: loans.IdleSlots) -> None:
        """Removes borrowed slots that are being returned to their lender."""
        ...


class SlotTraffic:
    """Limits the bytes of loan messages and decides which are sent first.

    Args:
        clock: Source of time.
        codec: Codec of the messages, used to determine their size.
    """

    def __init__(self, clock: clock_.Clock, codec: codecs.Codec) -> None:
        self._budget = budgets.LinkBudget(clock, LOAN_BYTES_PER_S)
        self._codec = codec
        self._last_return_s: dict[str, float] = {}

    def try_spend(
        self,
        message: wire.Message,
        copies: int = 1,
        *,
        reserve_bytes: float = 0.0,
    ) -> bool:
        """Takes the size of a message from the budget if it covers it.

        Args:
            message: The message.
            copies: Number of hosts that the message is sent to.
            reserve_bytes: Bytes that must be left in the budget afterwards.

        Returns:
            Whether the message may be sent.
        """
        balance = self._budget.balance()
        if balance >= reserve_bytes + copies * _MIN_MESSAGE_BYTES:
            size = len(self._codec.encode(message)) + frames.OVERHEAD_BYTES
            if balance >= reserve_bytes + copies * size:
                return self._budget.try_spend(copies * size)
        return False

    def empty_grant(self) -> wire.SlotGrant | None:
        """Returns a grant without slots, or None if the budget is used up.

        A host that gets no answer waits for its timeout and therefore sends
        fewer requests.
        """
        empty = wire.SlotGrant(0, 0, ())
        permitted = self.try_spend(empty, reserve_bytes=RESERVE_BYTES)
        return empty if permitted else None

    def requests(
        self, services: abc.Iterable[Borrower]
    ) -> abc.Iterator[LoanRequest]:
        """Yields the requests to send now, longest waiting service first.

        Args:
            services: All services of this host.
        """
        # Checked before the services are sorted, because this method runs
        # whenever a call starts to wait.
        if self._budget.balance() < RESERVE_BYTES + _MIN_MESSAGE_BYTES:
            return
        waiting = [service for service in services if service.waiting]
        if len(waiting) > 1:
            waiting.sort(key=lambda service: service.waiting_since_s())
        for service in waiting:
            loan = service.loan_request()
            if loan is not None:
                yield loan

    def returns(
        self, me: str, services: abc.Iterable[Borrower], now_s: float
    ) -> list[LoanReturn]:
        """Creates the returns to send now, at most one per lender.

        Slots whose return exceeds the budget stay borrowed: they are used if
        calls wait again, and expire at the end of their term.

        Args:
            me: Name of this host.
            services: All services of this host.
            now_s: Present time on the monotonic clock, in seconds.

        Returns:
            The returns with their lenders.
        """
        by_lender: dict[str, list[tuple[Borrower, loans.IdleSlots]]] = {}
        for service in services:
            for idle in service.idle_loans():
                items = by_lender.setdefault(idle.loan.peer, [])
                items.append((service, idle))
        sent = []
        for host, items in by_lender.items():
            last_s = self._last_return_s.get(host, float('-inf'))
            if now_s - last_s < RETURN_INTERVAL_S:
                continue
            message = self._return_within_budget(me, items)
            if message is None:
                continue
            self._last_return_s[host] = now_s
            for service, idle in items[: 1 + len(message.more)]:
                service.mark_returned(idle)
            sent.append(LoanReturn(host, message))
        return sent

    def _return_within_budget(
        self, me: str, items: list[tuple[Borrower, loans.IdleSlots]]
    ) -> wire.SlotReturn | None:
        """Creates a return of as many of the slots as the budget permits.

        Slots are left out from the end of the list.

        Args:
            me: Name of this host.
            items: The slots to return to one lender.

        Returns:
            The message, or None if the budget does not cover a single item.
        """
        count = len(items)
        while count:
            first, *more = [
                wire.ReturnedSlots(
                    idle.loan.loan_id, idle.loan.target, idle.count
                )
                for _, idle in items[:count]
            ]
            message = wire.SlotReturn(
                me, first.loan_id, first.target, first.count, tuple(more)
            )
            if self.try_spend(message):
                return message
            count //= 2
        return None
