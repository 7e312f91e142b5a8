"""Bounds the traffic of loans of one host over all its services."""

from collections import abc
import dataclasses
from typing import Protocol

from ragwortchute import budgets
from ragwortchute import clock as clock_
from ragwortchute import codecs
from ragwortchute import wire
from ragwortchute.peers import frames
from ragwortchute.slots import loans

# A host may send 4,000 bytes/s of control traffic; heartbeats and documents
# take about 1,600 of them.
BYTES_PER_S = 2000.0
# Requests, refusals and status leave this much for grants and returns, which
# make slots usable that would otherwise stay idle until a term ends.
RESERVE_BYTES = 500.0
RETURN_INTERVAL_S = 0.1
# No message is smaller, so that nothing is encoded for an empty budget.
_LEAST_BYTES = frames.OVERHEAD_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class LoanRequest:
    """A request for slots, and the host to send it to."""

    host: str
    message: wire.SlotRequest


@dataclasses.dataclass(frozen=True, slots=True)
class LoanReturn:
    """A return of slots, and the host to send it to."""

    host: str
    message: wire.SlotReturn


class Borrower(Protocol):
    """The slots of a service, as far as loans are concerned."""

    @property
    def waiting(self) -> int:
        """How many calls wait for a slot."""
        ...

    def waiting_since_s(self) -> float:
        """Returns when the call that waits longest began to wait."""
        ...

    def loan_request(self) -> LoanRequest | None:
        """Returns whom to ask for slots, and the request, if it is time."""
        ...

    def idle_loans(self) -> list[loans.IdleSlots]:
        """Returns the borrowed slots that are not needed."""
        ...

    def give_back(self, idle: loans.IdleSlots) -> None:
        """Stops using borrowed slots whose return is sent."""
        ...


class SlotTraffic:
    """The budget of the loans of a host, and who uses it first.

    Args:
        clock: Source of time.
        codec: Codec of the messages, which determines their size.
    """

    def __init__(self, clock: clock_.Clock, codec: codecs.Codec) -> None:
        self._budget = budgets.LinkBudget(clock, BYTES_PER_S)
        self._codec = codec
        self._returned_s: dict[str, float] = {}

    def try_spend(
        self,
        message: wire.Message,
        copies: int = 1,
        *,
        reserve_bytes: float = 0.0,
    ) -> bool:
        """Takes the size of a message if the budget covers it.

        Args:
            message: The message.
            copies: How many hosts it goes to.
            reserve_bytes: What has to be left afterwards.
        """
        balance = self._budget.balance()
        if balance >= reserve_bytes + copies * _LEAST_BYTES:
            size = len(self._codec.encode(message)) + frames.OVERHEAD_BYTES
            if balance >= reserve_bytes + copies * size:
                return self._budget.try_spend(copies * size)
        return False

    def refusal(self) -> wire.SlotGrant | None:
        """Returns an empty loan, or None if the budget does not permit it.

        Without an answer the other host waits until it gives up, and so asks
        less often.
        """
        empty = wire.SlotGrant(0, 0, ())
        permitted = self.try_spend(empty, reserve_bytes=RESERVE_BYTES)
        return empty if permitted else None

    def requests(
        self, services: abc.Iterable[Borrower]
    ) -> abc.Iterator[LoanRequest]:
        """Yields the requests to send now, for the longest waits first."""
        # Checked here too, because this runs for every call that waits.
        if self._budget.balance() < RESERVE_BYTES + _LEAST_BYTES:
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
        """Returns the returns to send now, at most one per lender.

        Slots whose return the budget does not permit stay borrowed; they are
        used if a call waits again, and lapse at the end of their term.

        Args:
            me: This host.
            services: All services of this host.
            now_s: The current time.
        """
        by_lender: dict[str, list[tuple[Borrower, loans.IdleSlots]]] = {}
        for service in services:
            for idle in service.idle_loans():
                items = by_lender.setdefault(idle.loan.peer, [])
                items.append((service, idle))
        sent = []
        for host, items in by_lender.items():
            last_s = self._returned_s.get(host, float('-inf'))
            if now_s - last_s < RETURN_INTERVAL_S:
                continue
            message = self._affordable(me, items)
            if message is None:
                continue
            self._returned_s[host] = now_s
            for service, idle in items[: 1 + len(message.more)]:
                service.give_back(idle)
            sent.append(LoanReturn(host, message))
        return sent

    def _affordable(
        self, me: str, items: list[tuple[Borrower, loans.IdleSlots]]
    ) -> wire.SlotReturn | None:
        """Returns a message for as many of the first slots as possible."""
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
