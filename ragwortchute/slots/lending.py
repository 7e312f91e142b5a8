"""Lending and borrowing of slots between the hosts of a service.

A host whose calls wait asks a host with spare slots for a loan. A loan is valid
for a fixed term and may be returned earlier.
"""

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
# A host that reported no spare slots is asked again after this time.
PEER_STATUS_TTL_S = 0.1
MAX_SLOTS_PER_REQUEST = 10


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerSpare:
    """Spare slots that another host last reported.

    Attributes:
        spare: The number of slots.
        at_s: Time of the report on the monotonic clock, in seconds.
    """

    spare: int
    at_s: float


class SlotPool(Protocol):
    """The part of `ServiceSlots` that `Lending` uses.

    Attributes:
        service: Name of the service.
        hosts: Hosts of its serving set.
        entries: Entries of its targets by name.
        free: Candidates with a free slot by target name.
    """

    service: str
    hosts: tuple[str, ...]
    entries: dict[str, entry_.Entry]
    free: abc.Mapping[str, balancers.Candidate]

    @property
    def waiting(self) -> int:
        """Number of calls that wait for a slot."""
        ...

    @property
    def bounded(self) -> bool:
        """Whether the balancer limits this host to its shares."""
        ...

    def refresh(self, entry: entry_.Entry) -> None:
        """Recomputes the share and the free slots of a target."""
        ...

    def serve_waiting(self, now_s: float) -> None:
        """Assigns free slots to waiting calls."""
        ...


class Lending:
    """Loans of one service, granted to and received from other hosts.

    Args:
        ctx: Dependencies and settings of the slots of this host.
        slots: The slots of the service.
    """

    def __init__(self, ctx: context.Context, slots: SlotPool) -> None:
        self._ctx = ctx
        self._clock = ctx.clock
        self._me = ctx.membership.me.host
        self._slots = slots
        self._lent = loans.LentLoans(ctx.rng)
        self._borrowed = loans.BorrowedLoans()
        # Granted slots that this host cannot use and will only return.
        self._unusable: list[loans.Loan] = []
        # An earlier process of this host may have lent its slots, so they are
        # not used until such a loan has ended.
        self._own_usable_from_s = (
            ctx.clock.monotonic() + ctx.loan_s * loans.LENDER_MARGIN
        )
        self._peer_spare: dict[str, _PeerSpare] = {}
        self._last_request_s = -1.0
        self._request_pending = False
        self._last_status_s = -1.0
        self._last_sent_spare = 0

    @property
    def active(self) -> bool:
        """Whether any slots are lent, borrowed or waiting to be returned."""
        return bool(self._unusable) or self.borrowed() > 0 or self.lent() > 0

    @property
    def has_borrowed(self) -> bool:
        """Whether any slots are borrowed."""
        return bool(self._borrowed)

    def borrowed_slots_of(self, target: str) -> int:
        """Returns the number of borrowed slots of a target."""
        return self._borrowed.total(target)

    def first_loan_end_s(self, target: str) -> float:
        """Returns when the first borrowed slot of a target expires.

        The time is on the monotonic clock, in seconds; infinite if no slot of
        the target is borrowed.
        """
        ends = [
            loan.until_s
            for loan in self._borrowed.loans()
            if loan.target == target
        ]
        return min(ends, default=float('inf'))

    def hosts_changed(self) -> None:
        """Discards what depends on the previous serving set.

        These are the borrowed slots and the reports of hosts that left.
        """
        hosts = self._slots.hosts
        self._borrowed.clear()
        self._peer_spare = {
            h: n for h, n in self._peer_spare.items() if h in hosts
        }
        self._last_sent_spare = 0

    def start_using_own_slots(self, now_s: float) -> None:
        """Starts to use own slots once loans of an earlier process ended."""
        if self._own_usable_from_s and now_s >= self._own_usable_from_s:
            self._own_usable_from_s = 0.0
            for entry in self._slots.entries.values():
                self._slots.refresh(entry)

    def unlent_slots(self, entry: entry_.Entry, now_s: float) -> int:
        """Returns how many slots of this host's own share are not lent.

        This is 0 while an earlier process of this host may have lent them,
        unless this process warmed the target up.
        """
        if now_s < self._own_usable_from_s and not entry.ramped:
            return 0
        return max(0, entry.own_slots - self._lent.total(entry.candidate.name))

    def expire(self, now_s: float) -> None:
        """Removes the loans whose term has ended."""
        if self._unusable:
            self._unusable = [
                loan for loan in self._unusable if now_s < loan.until_s
            ]
        for name in self._lent.expire(now_s) + self._borrowed.expire(now_s):
            if name in self._slots.entries:
                self._slots.refresh(self._slots.entries[name])

    def spare(self, now_s: float) -> int:
        """Returns how many free slots of its own this host can lend.

        This is 0 while calls wait.
        """
        if self._slots.waiting or not self._slots.bounded:
            return 0
        return len(self._lendable(now_s))

    def _lendable(self, now_s: float) -> list[str]:
        """Returns the target name of each free slot of this host's shares.

        A target with several free slots occurs several times.
        """
        names = []
        for name in self._slots.free:
            entry = self._slots.entries[name]
            if entry.state.phase is Phase.WARM:
                free = (
                    self.unlent_slots(entry, now_s) - entry.candidate.in_flight
                )
                names.extend([name] * free)
        return names

    def loan_request(self) -> traffic.LoanRequest | None:
        """Returns the next request for a loan, or None if none is due.

        The size of a returned request is taken from the traffic budget.
        """
        now_s = self._clock.monotonic()
        waiting = self._slots.waiting
        if (
            not waiting
            or self._request_pending
            or not self._slots.bounded
            or now_s < self._last_request_s + REQUEST_INTERVAL_S
        ):
            return None
        # Ties are broken at random, so that requests spread over equal hosts.
        spare, _, host = max(
            (
                (
                    self._expected_spare(host, now_s),
                    self._ctx.rng.random(),
                    host,
                )
                for host in self._slots.hosts
                if host != self._me
            ),
            default=(0, 0.0, ''),
        )
        if spare <= 0:
            return None
        count = int(min(waiting, max(spare, 1), MAX_SLOTS_PER_REQUEST))
        message = wire.SlotRequest(self._me, self._slots.service, count)
        if not self._ctx.traffic.try_spend(
            message, reserve_bytes=traffic.RESERVE_BYTES
        ):
            return None
        self._last_request_s = now_s
        self._request_pending = True
        return traffic.LoanRequest(host, message)

    def _expected_spare(self, host: str, now_s: float) -> int:
        """Returns how many spare slots a host is expected to have.

        Reports can be lost, so a host is expected to have one spare slot if it
        sent no report, or if its last report of no spare slots is too old.
        """
        known = self._peer_spare.get(host)
        if known is None or (
            known.spare == 0 and now_s - known.at_s > PEER_STATUS_TTL_S
        ):
            return 1
        return known.spare

    def grant(self, request: wire.SlotRequest) -> wire.SlotGrant | None:
        """Lends free slots to another host of the serving set.

        Args:
            request: The request of the host.

        Returns:
            The loan, which is empty if there is nothing to lend. None if the
            traffic budget does not permit an answer; then nothing is lent.
        """
        now_s = self._clock.monotonic()
        names = self._lendable(now_s) if not self._slots.waiting else []
        if request.host not in self._slots.hosts or not names:
            self._last_sent_spare = 0
            return self._ctx.traffic.empty_grant()
        self._ctx.rng.shuffle(names)
        count = max(0, min(request.count, (len(names) + 1) // 2))
        lent = names[:count]
        grant = wire.SlotGrant(
            loan_id=self._lent.next_loan_id(self._slots.hosts),
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
            # The grant reports no spare slots to the borrower, so the next
            # status must be sent as soon as there are any.
            self._last_sent_spare = 0
        return grant

    def granted(
        self, host: str, grant: wire.SlotGrant | None, sent_s: float
    ) -> None:
        """Processes the answer to a loan request.

        Granted slots that this host cannot use are kept to be returned.

        Args:
            host: The lender.
            grant: Its answer, or None if there was none.
            sent_s: When the request was sent, on the monotonic clock in
                seconds. The term of the loan is idle_counts from then, so that
                it ends for the borrower before it ends for the lender.
        """
        self._request_pending = False
        now_s = self._clock.monotonic()
        spare = grant.spare if grant else 0
        self._peer_spare[host] = _PeerSpare(spare, now_s)
        if grant is None or host not in self._slots.hosts:
            return
        until_s = sent_s + grant.term_ms / 1000
        digest = loans.serving_set_digest(self._slots.hosts)
        for lent in grant.slots:
            loan = loans.Loan(
                grant.loan_id, host, lent.target, lent.count, until_s
            )
            entry = self._slots.entries.get(lent.target)
            if (
                until_s <= now_s
                or loans.loan_digest(grant.loan_id) != digest
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
            self._slots.serve_waiting(now_s)

    def returned(self, message: wire.SlotReturn) -> None:
        """Takes lent slots back; slots of other services are ignored."""
        for slots_ in message.all():
            if not self._lent.returned(message.host, slots_):
                continue
            entry = self._slots.entries.get(slots_.target)
            if entry is not None:
                self._slots.refresh(entry)
        if self._slots.waiting:
            self._slots.serve_waiting(self._clock.monotonic())

    def peer_status(self, message: wire.SlotStatus) -> None:
        """Records the spare slots reported by another host."""
        if message.host in self._slots.hosts and message.host != self._me:
            now_s = self._clock.monotonic()
            self._peer_spare[message.host] = _PeerSpare(message.spare, now_s)
            if self._slots.waiting and message.spare:
                self._ctx.wake(self._slots.service)

    def idle_loans(self) -> list[loans.IdleSlots]:
        """Returns the borrowed slots that can be returned."""
        idle = [loans.IdleSlots(loan, loan.count) for loan in self._unusable]
        if self._slots.waiting or not self._borrowed or not self._slots.bounded:
            return idle
        idle_counts: dict[str, int] = {}
        for loan in self._borrowed.loans():
            entry = self._slots.entries.get(loan.target)
            count = loan.count
            if entry is not None:
                free = entry.candidate.share - entry.candidate.in_flight
                count = min(count, free - idle_counts.get(loan.target, 0))
            if count > 0:
                idle_counts[loan.target] = (
                    idle_counts.get(loan.target, 0) + count
                )
                idle.append(loans.IdleSlots(loan, count))
        return idle

    def mark_returned(self, idle: loans.IdleSlots) -> None:
        """Removes borrowed slots that are being returned to their lender."""
        if idle.loan in self._unusable:
            self._unusable.remove(idle.loan)
            return
        self._borrowed.reduce(idle.loan, idle.count)
        entry = self._slots.entries.get(idle.loan.target)
        if entry is not None:
            self._slots.refresh(entry)

    def send_status(self, now_s: float) -> None:
        """Tells the other hosts when spare slots appear or run out."""
        if now_s - self._last_status_s < STATUS_INTERVAL_S:
            return
        spare = self.spare(now_s)
        if (spare > 0) == (self._last_sent_spare > 0):
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
        self._last_sent_spare = spare
        for host in others:
            self._ctx.post(host, message)

    def lent(self) -> int:
        """Returns the number of slots lent to other hosts."""
        return sum(loan.count for loan in self._lent.loans())

    def borrowed(self) -> int:
        """Returns the number of slots borrowed from other hosts."""
        return sum(loan.count for loan in self._borrowed.loans())
