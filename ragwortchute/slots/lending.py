"""Loans and spare slots of a service."""

from collections import abc
import dataclasses
from typing import Protocol

from ragwortchute import balancers
from ragwortchute import wire
from ragwortchute.slots import context
from ragwortchute.slots import entry as entry_
from ragwortchute.slots import loans
from ragwortchute.slots import traffic
from ragwortchute.targets import state as state_

Phase = state_.Phase

REQUEST_INTERVAL_S = 0.05
STATUS_INTERVAL_S = 0.1
# A host that had nothing spare is asked again after this time.
STATUS_LIFE_S = 0.1
LOAN_REQUEST_MAX = 10


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerSpare:
    """Spare slots of another host, and when it told of them."""

    spare: int
    at_s: float


class Slots(Protocol):
    """The slots of a service, as far as loans are concerned.

    Attributes:
        service: Name of the service.
        hosts: Its serving set.
        entries: Its targets.
        free: Candidates with a free slot by target.
    """

    service: str
    hosts: tuple[str, ...]
    entries: dict[str, entry_.Entry]
    free: abc.Mapping[str, balancers.Candidate]

    @property
    def waiting(self) -> int:
        """How many calls wait for a slot."""
        ...

    @property
    def bounded(self) -> bool:
        """Whether this host keeps within its shares."""
        ...

    def refresh(self, entry: entry_.Entry) -> None:
        """Recomputes the share of a target and whether it has a free slot."""
        ...

    def pump(self, now_s: float) -> None:
        """Hands free slots to waiting calls."""
        ...


class Lending:
    """What a service lends to other hosts and borrows from them.

    Args:
        ctx: Surroundings of the slots of this host.
        slots: The slots of the service.
    """

    def __init__(self, ctx: context.Context, slots: Slots) -> None:
        self._ctx = ctx
        self._clock = ctx.clock
        self._me = ctx.membership.me.host
        self._slots = slots
        self._lent = loans.LentBook(ctx.rng)
        self._borrowed = loans.BorrowedBook()
        # Granted slots that can't be used here; they are only returned.
        self._unusable: list[loans.Loan] = []
        # An earlier process of this host may have lent its slots.
        self._own_from_s = (
            ctx.clock.monotonic() + ctx.loan_s * loans.LENDER_MARGIN
        )
        self._peer_spare: dict[str, _PeerSpare] = {}
        self._last_request_s = -1.0
        self._requesting = False
        self._last_status_s = -1.0
        self._last_spare = 0

    @property
    def active(self) -> bool:
        """Whether slots are lent, borrowed or to be returned."""
        return bool(self._unusable) or self.borrowed() > 0 or self.lent() > 0

    @property
    def borrows(self) -> bool:
        """Whether slots are borrowed."""
        return bool(self._borrowed)

    def borrowed_of(self, target: str) -> int:
        """Returns the borrowed slots of a target."""
        return self._borrowed.total(target)

    def end_s(self, target: str) -> float:
        """Returns when the first loan of a target ends; inf if none."""
        ends = [
            loan.until_s
            for loan in self._borrowed.loans()
            if loan.target == target
        ]
        return min(ends, default=float('inf'))

    def hosts_changed(self) -> None:
        """Drops what rests on another serving set."""
        hosts = self._slots.hosts
        self._borrowed.clear()
        self._peer_spare = {
            h: n for h, n in self._peer_spare.items() if h in hosts
        }
        self._last_spare = 0

    def start_own(self, now_s: float) -> None:
        """Uses own slots once loans of an earlier process have ended."""
        if self._own_from_s and now_s >= self._own_from_s:
            self._own_from_s = 0.0
            for entry in self._slots.entries.values():
                self._slots.refresh(entry)

    def own(self, entry: entry_.Entry, now_s: float) -> int:
        """Returns the slots of this host's share that are not lent."""
        if now_s < self._own_from_s and not entry.ramped:
            return 0
        return max(0, entry.own - self._lent.total(entry.candidate.name))

    def expire(self, now_s: float) -> None:
        """Ends the loans that are past their term."""
        if self._unusable:
            self._unusable = [
                loan for loan in self._unusable if now_s < loan.until_s
            ]
        for name in self._lent.expire(now_s) + self._borrowed.expire(now_s):
            if name in self._slots.entries:
                self._slots.refresh(self._slots.entries[name])

    def spare(self, now_s: float) -> int:
        """Returns the free slots of this host's own shares."""
        if self._slots.waiting or not self._slots.bounded:
            return 0
        return len(self._lendable(now_s))

    def _lendable(self, now_s: float) -> list[str]:
        """Returns a target name per free slot of this host's own shares."""
        names = []
        for name in self._slots.free:
            entry = self._slots.entries[name]
            if entry.state.phase is Phase.WARM:
                free = self.own(entry, now_s) - entry.candidate.in_flight
                names.extend([name] * free)
        return names

    def loan_request(self) -> traffic.LoanRequest | None:
        """Returns whom to ask for slots, and the request, if it is time."""
        now_s = self._clock.monotonic()
        waiting = self._slots.waiting
        if (
            not waiting
            or self._requesting
            or not self._slots.bounded
            or now_s < self._last_request_s + REQUEST_INTERVAL_S
        ):
            return None
        # Equal hosts are asked in random order, not always the same one.
        spare, _, host = max(
            (
                (self._spare_of(host, now_s), self._ctx.rng.random(), host)
                for host in self._slots.hosts
                if host != self._me
            ),
            default=(0, 0.0, ''),
        )
        if spare <= 0:
            return None
        count = int(min(waiting, max(spare, 1), LOAN_REQUEST_MAX))
        message = wire.SlotRequest(self._me, self._slots.service, count)
        if not self._ctx.traffic.try_spend(
            message, reserve_bytes=traffic.RESERVE_BYTES
        ):
            return None
        self._last_request_s = now_s
        self._requesting = True
        return traffic.LoanRequest(host, message)

    def _spare_of(self, host: str, now_s: float) -> int:
        """Returns what a host is thought to have spare.

        Messages get lost, so a host of which nothing recent is known may be
        asked for one slot.
        """
        known = self._peer_spare.get(host)
        if known is None or (
            known.spare == 0 and now_s - known.at_s > STATUS_LIFE_S
        ):
            return 1
        return known.spare

    def grant(self, request: wire.SlotRequest) -> wire.SlotGrant | None:
        """Lends free slots to another host of the serving set.

        Returns:
            The loan, or None if the budget does not permit an answer; nothing
            is lent then.
        """
        now_s = self._clock.monotonic()
        names = self._lendable(now_s) if not self._slots.waiting else []
        if request.host not in self._slots.hosts or not names:
            self._last_spare = 0
            return self._ctx.traffic.refusal()
        self._ctx.rng.shuffle(names)
        count = max(0, min(request.count, (len(names) + 1) // 2))
        lent = names[:count]
        grant = wire.SlotGrant(
            loan_id=self._lent.next_id(self._slots.hosts),
            term_ms=int(self._ctx.loan_s * 1000),
            slots=tuple(
                wire.LentSlots(
                    name, self._slots.entries[name].state.incarnation, 1
                )
                for name in lent
            ),
            spare=len(names) - len(lent),
        )
        if not self._ctx.traffic.try_spend(grant):
            return None
        until_s = now_s + self._ctx.loan_s * loans.LENDER_MARGIN
        self._lent.lend(grant.loan_id, request.host, lent, until_s)
        for name in lent:
            self._slots.refresh(self._slots.entries[name])
        if len(lent) == len(names):
            # The borrower now knows of none, so it must hear of new ones.
            self._last_spare = 0
        return grant

    def granted(
        self, host: str, grant: wire.SlotGrant | None, sent_s: float
    ) -> None:
        """Takes over a loan.

        Args:
            host: The lender.
            grant: Its answer, or None if there was none.
            sent_s: When the request was sent; the term begins there.
        """
        self._requesting = False
        now_s = self._clock.monotonic()
        spare = grant.spare if grant else 0
        self._peer_spare[host] = _PeerSpare(spare, now_s)
        if grant is None or host not in self._slots.hosts:
            return
        until_s = sent_s + grant.term_ms / 1000
        digest = loans.set_digest(self._slots.hosts)
        for lent in grant.slots:
            loan = loans.Loan(
                grant.loan_id, host, lent.target, lent.count, until_s
            )
            entry = self._slots.entries.get(lent.target)
            if (
                until_s <= now_s
                or loans.digest_of(grant.loan_id) != digest
                or entry is None
                or not entry.open
                or not entry.state.proved_warm()
                or entry.state.incarnation != lent.incarnation
            ):
                self._unusable.append(loan)
                continue
            self._borrowed.add(loan)
            self._slots.refresh(entry)
        if self._slots.waiting:
            self._slots.pump(now_s)

    def returned(self, message: wire.SlotReturn) -> None:
        """Takes lent slots back; those of other services are ignored."""
        for slots_ in message.all():
            if not self._lent.returned(message.host, slots_):
                continue
            entry = self._slots.entries.get(slots_.target)
            if entry is not None:
                self._slots.refresh(entry)
        if self._slots.waiting:
            self._slots.pump(self._clock.monotonic())

    def peer_status(self, message: wire.SlotStatus) -> None:
        """Notes the spare slots of another host."""
        if message.host in self._slots.hosts and message.host != self._me:
            now_s = self._clock.monotonic()
            self._peer_spare[message.host] = _PeerSpare(message.spare, now_s)
            if self._slots.waiting and message.spare:
                self._ctx.wake(self._slots.service)

    def idle_loans(self) -> list[loans.IdleSlots]:
        """Returns the borrowed slots that are not in use and not needed."""
        idle = [loans.IdleSlots(loan, loan.count) for loan in self._unusable]
        if self._slots.waiting or not self._borrowed or not self._slots.bounded:
            return idle
        counted: dict[str, int] = {}
        for loan in self._borrowed.loans():
            entry = self._slots.entries.get(loan.target)
            count = loan.count
            if entry is not None:
                free = entry.candidate.share - entry.candidate.in_flight
                count = min(count, free - counted.get(loan.target, 0))
            if count > 0:
                counted[loan.target] = counted.get(loan.target, 0) + count
                idle.append(loans.IdleSlots(loan, count))
        return idle

    def give_back(self, idle: loans.IdleSlots) -> None:
        """Stops using borrowed slots whose return is sent."""
        if idle.loan in self._unusable:
            self._unusable.remove(idle.loan)
            return
        self._borrowed.reduce(idle.loan, idle.count)
        entry = self._slots.entries.get(idle.loan.target)
        if entry is not None:
            self._slots.refresh(entry)

    def send_status(self, now_s: float) -> None:
        """Tells the other hosts if spare slots came or went."""
        if now_s - self._last_status_s < STATUS_INTERVAL_S:
            return
        spare = self.spare(now_s)
        if (spare > 0) == (self._last_spare > 0):
            return
        message = wire.SlotStatus(
            self._me, self._slots.service, spare, self._slots.waiting
        )
        others = [host for host in self._slots.hosts if host != self._me]
        self._last_status_s = now_s
        if not self._ctx.traffic.try_spend(
            message, len(others), reserve_bytes=traffic.RESERVE_BYTES
        ):
            return
        self._last_spare = spare
        for host in others:
            self._ctx.post(host, message)

    def lent(self) -> int:
        """Returns the slots that are lent to other hosts."""
        return sum(loan.count for loan in self._lent.loans())

    def borrowed(self) -> int:
        """Returns the slots that are borrowed from other hosts."""
        return sum(loan.count for loan in self._borrowed.loans())
