"""Slots of the targets of one service on this host."""

import asyncio
from collections import abc
import dataclasses
import functools
import itertools
import statistics

from returns import result

from ragwortchute import admission
from ragwortchute import balancers
from ragwortchute import budgets
from ragwortchute import calls
from ragwortchute import documents
from ragwortchute import slots
from ragwortchute import wire
from ragwortchute.admission import deadline_queue as _deadline_queue
from ragwortchute.balancers import least_inflight as _least_inflight
from ragwortchute.balancers import round_robin as _round_robin
from ragwortchute.balancers import slot_shares as _slot_shares
from ragwortchute.balancers import two_choices as _two_choices
from ragwortchute.balancers import uniform as _uniform
from ragwortchute.slots import context
from ragwortchute.slots import entry as entry_
from ragwortchute.slots import loans
from ragwortchute.slots import shares
from ragwortchute.slots import traffic
from ragwortchute.slots import warmth as warmth_
from ragwortchute.targets import failures
from ragwortchute.targets import state as state_

# Imported for their registration.
PLUG_INS = (
    _deadline_queue,
    _least_inflight,
    _uniform,
    _round_robin,
    _slot_shares,
    _two_choices,
)

Phase = state_.Phase
Kind = slots.AttemptKind
_Outcome = result.Result[slots.SlotLease, calls.Refusal]

ADMISSION_POLICY = 'deadline_queue'
SLOW_FACTOR = 2.5
# A slow target gets a call this often even when it should rest, because only
# an answer shows that it is quick again.
PROBE_INTERVAL_S = 0.1
# A slow slot is used once the wait reaches this part of the time that it costs.
SLOW_WAIT_PART = 0.1
CONNECT_BACKOFF_S = 0.1
REQUEST_INTERVAL_S = 0.05
STATUS_INTERVAL_S = 0.1
# A host that had nothing spare is asked again after this time.
STATUS_LIFE_S = 0.1
LOAN_REQUEST_MAX = 10
_SPEED_INTERVAL_S = 0.05
_LATENCY_WINDOW = 512
_HEDGE_REFRESH = 64
_HEDGE_QUANTILE = 0.95
_FIRST_LATENCY_S = 0.02
_FIRST_FAILURE_STATUS = 500
_NONE: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerSpare:
    """Spare slots of another host, and when it told of them."""

    spare: int
    at_s: float


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
    done: abc.Callable[[_Outcome], None]


class Lease(slots.SlotLease):
    """A slot of a target, taken by this host.

    Attributes:
        target: The target to send to.
        entry: Entry of the target.
        episode: Episode of the entry in which the slot was taken.
        overflow: Whether the slot is beyond the share of this host.
        until_s: End of the loan that the slot rests on; infinite if it is
            this host's own.
    """

    __slots__ = (
        '_service',
        'entry',
        'episode',
        'overflow',
        'released',
        'target',
        'until_s',
    )

    def __init__(
        self,
        service: 'ServiceSlots',
        entry: entry_.Entry,
        until_s: float,
        overflow: bool = False,
    ) -> None:
        self._service = service
        self.entry = entry
        self.target = entry.state.target
        self.episode = entry.episode
        self.overflow = overflow
        self.until_s = until_s
        self.released = False

    def usable(self) -> bool:
        """Tells whether the request may still be sent at this instant."""
        return not self.released and self._service.lease_usable(self)

    def release(self, report: slots.AttemptReport) -> None:
        """Gives the slot back."""
        if self.released:
            return
        self.released = True
        self._service.lease_released(self, report)


class ServiceSlots(slots.SlotSource):
    """Slots of one service: shares, loans, waiting calls, choice.

    Nothing here sends or waits by itself; `SlotManager` carries the messages
    and calls `tick`.

    Attributes:
        warmth: Decides which targets are warm.
        retry_budget: Budget of retries and overflow attempts. Overflow takes
            from it here; the dispatcher takes for each retry.
        hedge_budget: Budget of hedges; `try_acquire` takes from it. Calls
            are counted in both budgets by `acquire` without exclusions.
        hosts: Serving set of the service in this region.
    """

    def __init__(
        self, document: documents.ServiceDocument, ctx: context.Context
    ) -> None:
        self._ctx = ctx
        self._clock = ctx.clock
        self._me = ctx.membership.me.host
        self._region = ctx.membership.me.region
        self.service = document.service
        self.hosts: tuple[str, ...] = ()
        self._member = False
        self.warmth = warmth_.Warmth(document.service, ctx, self._refresh)
        self.retry_budget = budgets.retry_budget(ctx.clock, ctx.retry_percent)
        self.hedge_budget = budgets.CallBudget(ctx.clock, ctx.hedge_percent)
        self._document = document
        self._entries: dict[str, entry_.Entry] = {}
        self._free: dict[str, balancers.Candidate] = {}
        # Free slots of targets that are slow or failing.
        self._slow_free: dict[str, balancers.Candidate] = {}
        self._failing: dict[str, entry_.Entry] = {}
        self._queue = self._make_queue(document)
        self._balancer = self._make_balancer(document)
        self._lent = loans.LentBook(ctx.rng)
        self._borrowed = loans.BorrowedBook()
        # Granted slots that can't be used here; they are only returned.
        self._unusable: list[loans.Loan] = []
        now_s = ctx.clock.monotonic()
        # An earlier process of this host may have lent its slots.
        self._own_from_s = now_s + ctx.loan_s * loans.LENDER_MARGIN
        self._peer_spare: dict[str, _PeerSpare] = {}
        self._last_request_s = -1.0
        self._requesting = False
        self._last_status_s = -1.0
        self._last_spare = 0
        self._speed_at_s = now_s
        self._mean_s = _FIRST_LATENCY_S
        self._median_s = 0.0
        self._latencies: list[float] = []
        self._answers = itertools.count(1)
        self._hedge_s = _FIRST_LATENCY_S * 5
        self.apply(document)

    # The source of slots.

    async def acquire(
        self, call: calls.Call, *, exclude: frozenset[str] = _NONE
    ) -> _Outcome:
        """Waits for a slot until the deadline of the call."""
        now_s = self._clock.monotonic()
        if not exclude:
            self.retry_budget.note_call(now_s)
            self.hedge_budget.note_call(now_s)
        if not self._queue and self._member and now_s < call.deadline_s:
            lease = self.take_free(exclude, now_s)
            if lease is not None:
                return result.Success(lease)
        fut = asyncio.get_running_loop().create_future()
        done = functools.partial(_resolve, fut)
        pending = Pending(call, exclude, done)
        waiter = self.enqueue(pending, now_s)
        try:
            return await fut
        except asyncio.CancelledError:
            self._abandon(waiter, fut)
            raise

    def _abandon(
        self, waiter: admission.Waiter | None, fut: asyncio.Future
    ) -> None:
        if fut.done() and not fut.cancelled():
            fut.result().map(lambda lease: lease.release(_unsent()))
        elif waiter is not None:
            self._queue.remove(waiter)

    def try_acquire(
        self,
        call: calls.Call,
        *,
        exclude: frozenset[str] = _NONE,
        avoid_domain: str = '',
    ) -> slots.SlotLease | None:
        """Returns a slot that is free now and in budget, or None."""
        now_s = self._clock.monotonic()
        if self._borrowed:
            self._expire_loans(now_s)
        if self._queue or not self._free or now_s >= call.deadline_s:
            return None
        if self.hedge_budget.available() < 1:
            return None
        candidates = [c for n, c in self._free.items() if n not in exclude]
        elsewhere = [c for c in candidates if c.failure_domain != avoid_domain]
        lease = self._choose(elsewhere or candidates, now_s)
        if lease is not None:
            self.hedge_budget.try_spend()
        return lease

    def hedge_delay_s(self) -> float:
        """Returns the 95th percentile of recent answers, in seconds."""
        return self._hedge_s

    @property
    def waiting(self) -> int:
        """How many calls wait for a slot."""
        return len(self._queue)

    def waiting_since_s(self) -> float:
        """Returns when the call that waits longest began to wait."""
        return self._queue.oldest_s()

    # Taking slots.

    def take_free(self, exclude: frozenset[str], now_s: float) -> Lease | None:
        """Takes a slot that is free now, or returns None."""
        if self._borrowed:
            self._expire_loans(now_s)
        if self._failing:
            entry = self._due_probe(exclude, now_s)
            if entry is not None:
                return self._probe(entry, now_s)
        free = self._free
        while free:
            if exclude:
                candidates = [c for n, c in free.items() if n not in exclude]
            else:
                candidates = list(free.values())
            if not candidates:
                break
            before = len(free)
            lease = self._choose(candidates, now_s)
            if lease is not None:
                return lease
            if len(free) == before:
                break
        if self._slow_free:
            return self._take_slow(exclude, now_s)
        return None

    def _choose(
        self, candidates: list[balancers.Candidate], now_s: float
    ) -> Lease | None:
        chosen = self._balancer.choose(candidates)
        if chosen is None:
            return None
        entry = self._entries[chosen.name]
        if entry.state.phase is Phase.WARM:
            return self._take(entry, now_s)
        if self.warmth.cold_ready(entry, now_s):
            self.warmth.cold_started(entry, now_s)
            return self._take(entry, now_s)
        self._refresh(entry)
        return None

    def _take(self, entry: entry_.Entry, now_s: float) -> Lease:
        candidate = entry.candidate
        name = candidate.name
        until_s = float('inf')
        if self._borrowed and self._balancer.bounded:
            own = self._own(entry, now_s)
            if candidate.in_flight >= own:
                until_s = self._loan_end(name)
        candidate.in_flight += 1
        if (
            entry.state.phase is not Phase.WARM
            or candidate.in_flight >= candidate.share
        ):
            self._refresh(entry)
        return Lease(self, entry, until_s)

    def _loan_end(self, target: str) -> float:
        ends = [
            loan.until_s
            for loan in self._borrowed.loans()
            if loan.target == target
        ]
        return min(ends, default=float('inf'))

    def _take_slow(self, exclude: frozenset[str], now_s: float) -> Lease | None:
        """Takes a slot of a slow target if waiting would take longer."""
        entry = self._slow_choice(exclude, now_s)
        return None if entry is None else self._probe(entry, now_s)

    def _probe(self, entry: entry_.Entry, now_s: float) -> Lease:
        entry.probe_s = now_s + PROBE_INTERVAL_S
        return self._take(entry, now_s)

    def _due_probe(
        self, exclude: frozenset[str], now_s: float
    ) -> entry_.Entry | None:
        """Returns a failing target whose next probe is due.

        It is probed although others have free slots: at low load nothing else
        would show that it recovered.
        """
        for name, entry in self._failing.items():
            if (
                name in self._slow_free
                and name not in exclude
                and now_s >= entry.probe_s
            ):
                return entry
        return None

    def _only_probed(self, entry: entry_.Entry) -> bool:
        """Tells whether a target is failing while another one is not."""
        return entry.failing and any(
            other.open and not other.failing and other.state.proved_warm()
            for other in self._entries.values()
        )

    def _slow_choice(
        self, exclude: frozenset[str], now_s: float
    ) -> entry_.Entry | None:
        """Returns the slow target to use now, if any.

        A fast slot becomes free about every mean latency divided by the
        number of fast slots, so that this much time per waiting call is lost
        by waiting.
        """
        if self._failing:
            due = self._due_probe(exclude, now_s)
            if due is not None:
                return due
        best = None
        for name, candidate in self._slow_free.items():
            if name in exclude or self._only_probed(self._entries[name]):
                continue
            if best is None or candidate.latency_ms < best.latency_ms:
                best = candidate
        if best is None:
            return None
        entry = self._entries[best.name]
        if now_s >= entry.probe_s:
            return entry
        fast_slots = self._slots_held()
        wait_s = (len(self._queue) + 1) * self._mean_s / max(1, fast_slots)
        extra_s = best.latency_ms / 1000 - self._median_s
        return (
            entry
            if wait_s >= extra_s * SLOW_WAIT_PART or not fast_slots
            else None
        )

    def _slots_held(self) -> int:
        """Returns the slots of this host on targets to be preferred."""
        return sum(
            entry.candidate.share
            for entry in self._entries.values()
            if entry.preferred
        )

    def _take_overflow(
        self, exclude: frozenset[str], now_s: float
    ) -> Lease | None:
        """Takes one slot beyond the share, if the retry budget permits.

        Called when this host has no slot at all. A target with overflow also
        sheds requests within the shares of other hosts: with overflow for
        every call that found no free slot, a quarter of the requests was shed.
        """
        if not self._balancer.bounded or self.retry_budget.available() < 1:
            return None
        fitting = [
            entry
            for name, entry in self._entries.items()
            if name not in exclude
            and entry.open
            and entry.preferred
            and entry.overflow_free(now_s)
        ]
        if not fitting:
            return None
        self.retry_budget.try_spend()
        entry = fitting[int(self._ctx.rng.random() * len(fitting))]
        entry.state.overflow += 1
        return Lease(self, entry, float('inf'), overflow=True)

    # Waiting calls.

    def enqueue(
        self, pending: Pending, now_s: float
    ) -> admission.Waiter | None:
        """Lets a call wait; returns None if it was refused or served."""
        call = pending.call
        if not self._member:
            pending.done(_refuse('wrong-host', 'host is not in the set'))
            return None
        if now_s >= call.deadline_s:
            pending.done(_refuse('deadline', 'deadline passed'))
            return None
        if not self._slots_held():
            lease = self._take_overflow(pending.exclude, now_s)
            if lease is not None:
                pending.done(result.Success(lease))
                return None
        waiter = admission.Waiter(
            call.priority, call.deadline_s, now_s, pending
        )
        reason = self._queue.offer(waiter, self._mean_s)
        if reason:
            pending.done(_refuse(reason, 'call cannot be served in time'))
            return None
        self._pump(now_s)
        if self._queue:
            self._ctx.wake(self.service)
        return waiter

    def _pump(self, now_s: float) -> None:
        """Hands free slots to waiting calls."""
        queue = self._queue
        skipped = []
        while queue and (self._free or self._slow_choice(_NONE, now_s)):
            waiter = queue.take(now_s)
            pending = waiter.token
            lease = self.take_free(pending.exclude, now_s)
            if lease is not None:
                pending.done(result.Success(lease))
                continue
            skipped.append(waiter)
            if not pending.exclude:
                break
        for waiter in skipped:
            reason = queue.offer(waiter, 0.0)
            if reason:
                waiter.token.done(_refuse(reason, 'queue is full'))

    # Leases.

    def lease_usable(self, lease: Lease) -> bool:
        """Tells whether the request of a lease may be sent now."""
        entry = lease.entry
        if lease.episode != entry.episode or not entry.open:
            return False
        now_s = self._clock.monotonic()
        if entry.state.phase is Phase.WARM:
            return now_s < lease.until_s and entry.state.proved_warm()
        if entry.state.phase is Phase.DRAINING:
            return False
        return self.warmth.may_send_cold(entry, now_s)

    def lease_released(self, lease: Lease, report: slots.AttemptReport) -> None:
        """Gives a slot back and learns from the attempt."""
        entry = lease.entry
        state = entry.state
        now_s = self._clock.monotonic()
        if lease.overflow:
            state.overflow -= 1
        else:
            state.candidate.in_flight -= 1
        current = lease.episode == entry.episode
        state.note_report(report.running, now_s)
        kind = report.kind
        if kind is Kind.ANSWERED:
            failed = report.status >= _FIRST_FAILURE_STATUS
            # A target that fails fast must not pass for a quick one; after
            # its recovery, normal answers would look like a cold start.
            if not failed or 0 < state.fast_s <= report.latency_s:
                self._note_latency(entry, report.latency_s, current)
            if current and report.status:
                state.answers.note(failed)
                if failed or entry.failing:
                    self._judge_failures(entry, now_s)
            self.warmth.answered(entry, report, now_s, current=current)
        elif kind is Kind.SHED:
            if current and not lease.overflow:
                self.warmth.shed(entry, report, now_s)
        elif kind is Kind.CONNECT_FAILED:
            entry.backoff_s = now_s + CONNECT_BACKOFF_S
        elif kind is Kind.TIMEOUT:
            self._note_latency(entry, report.latency_s, current)
            if current:
                self.warmth.timed_out(entry, report.latency_s)
        elif kind is Kind.CANCELLED and report.latency_s > state.fast_s:
            # The answer would have taken even longer.
            self._note_latency(entry, report.latency_s, current)
        self._refresh(entry)
        if self._queue:
            self._pump(now_s)

    def _note_latency(
        self, entry: entry_.Entry, latency_s: float, current: bool
    ) -> None:
        if current:
            entry.state.note_latency(latency_s)
            self._judge_speed(entry)
        self._mean_s += 0.02 * (latency_s - self._mean_s)
        number = next(self._answers)
        if len(self._latencies) < _LATENCY_WINDOW:
            self._latencies.append(latency_s)
        else:
            self._latencies[number % _LATENCY_WINDOW] = latency_s
        if number % _HEDGE_REFRESH == 0:
            ordered = sorted(self._latencies)
            self._hedge_s = ordered[int(len(ordered) * _HEDGE_QUANTILE)]

    # Free slots.

    def _own(self, entry: entry_.Entry, now_s: float) -> int:
        """Returns the slots of this host's share that are not lent."""
        if now_s < self._own_from_s and not entry.ramped:
            return 0
        return max(0, entry.own - self._lent.total(entry.candidate.name))

    def _refresh(self, entry: entry_.Entry) -> None:
        """Recomputes the share of a target and whether it has a free slot."""
        now_s = self._clock.monotonic()
        state = entry.state
        candidate = entry.candidate
        name = candidate.name
        if self._entries.get(name) is not entry:
            return
        self._free.pop(name, None)
        self._slow_free.pop(name, None)
        if not entry.open or now_s < entry.backoff_s:
            candidate.share = 0
            return
        if state.phase is not Phase.WARM:
            ready = self.warmth.cold_ready(entry, now_s)
            candidate.share = state.limiter.limit if ready else 0
            if ready:
                self._free[name] = candidate
            return
        if not state.proved_warm():
            candidate.share = 0
            return
        if self._balancer.bounded:
            own = self._own(entry, now_s)
            share = own + self._borrowed.total(name)
            if entry.slow and share > 1:
                part = self._median_s / max(state.fast_s, self._median_s)
                share = max(1, int(share * part))
            if entry.failing:
                share = min(share, 1)
        else:
            share = state.target.slots
        candidate.share = share
        if candidate.in_flight < share:
            bucket = self._free if entry.preferred else self._slow_free
            bucket[name] = candidate

    def _judge_speed(self, entry: entry_.Entry) -> None:
        """Marks a target as slow, or as quick again."""
        median_s = self._median_s
        slow = 0 < SLOW_FACTOR * median_s < entry.state.fast_s
        if slow and not entry.slow:
            now_s = self._clock.monotonic()
            entry.probe_s = now_s + PROBE_INTERVAL_S
        entry.slow = slow and self._balancer.bounded

    def _judge_failures(self, entry: entry_.Entry, now_s: float) -> None:
        """Marks a target as failing, or as recovered."""
        others = [
            other.state.answers
            for other in self._entries.values()
            if other is not entry and other.open
        ]
        failing = self._balancer.bounded and failures.is_failing(
            entry.state.answers, others, failing=entry.failing
        )
        if failing is entry.failing:
            return
        entry.failing = failing
        if failing:
            entry.probe_s = now_s + PROBE_INTERVAL_S
            self._failing[entry.candidate.name] = entry
        else:
            self._failing.pop(entry.candidate.name, None)
        self._refresh(entry)

    def _update_speed(self, now_s: float) -> None:
        self._speed_at_s = now_s
        known = [
            entry.state.fast_s
            for entry in self._entries.values()
            if entry.state.fast_s > 0
        ]
        if known:
            self._median_s = statistics.median(known)
        for entry in self._entries.values():
            before = entry.slow
            self._judge_speed(entry)
            if entry.slow is not before:
                self._refresh(entry)
        for entry in list(self._failing.values()):
            self._judge_failures(entry, now_s)

    # Loans.

    def spare(self, now_s: float) -> int:
        """Returns the free slots of this host's own shares."""
        if self._queue or not self._balancer.bounded:
            return 0
        return len(self._lendable(now_s))

    def _lendable(self, now_s: float) -> list[str]:
        """Returns a target name per free slot of this host's own shares."""
        names = []
        for name in self._free:
            entry = self._entries[name]
            if entry.state.phase is Phase.WARM:
                free = self._own(entry, now_s) - entry.candidate.in_flight
                names.extend([name] * free)
        return names

    @property
    def busy(self) -> bool:
        """Whether calls wait or slots are lent or borrowed."""
        return (
            bool(self._queue)
            or bool(self._unusable)
            or self.borrowed() > 0
            or self.lent() > 0
        )

    def loan_request(self) -> traffic.LoanRequest | None:
        """Returns whom to ask for slots, and the request, if it is time."""
        now_s = self._clock.monotonic()
        waiting = len(self._queue)
        if (
            not waiting
            or self._requesting
            or not self._balancer.bounded
            or now_s < self._last_request_s + REQUEST_INTERVAL_S
        ):
            return None
        # Equal hosts are asked in random order, not always the same one.
        spare, _, host = max(
            (
                (self._spare_of(host, now_s), self._ctx.rng.random(), host)
                for host in self.hosts
                if host != self._me
            ),
            default=(0, 0.0, ''),
        )
        if spare <= 0:
            return None
        count = int(min(waiting, max(spare, 1), LOAN_REQUEST_MAX))
        message = wire.SlotRequest(self._me, self.service, count)
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
        names = self._lendable(now_s) if not self._queue else []
        if request.host not in self.hosts or not names:
            self._last_spare = 0
            return self._ctx.traffic.refusal()
        self._ctx.rng.shuffle(names)
        count = max(0, min(request.count, (len(names) + 1) // 2))
        lent = names[:count]
        grant = wire.SlotGrant(
            loan_id=self._lent.next_id(self.hosts),
            term_ms=int(self._ctx.loan_s * 1000),
            slots=tuple(
                wire.LentSlots(name, self._entries[name].state.incarnation, 1)
                for name in lent
            ),
            spare=len(names) - len(lent),
        )
        if not self._ctx.traffic.try_spend(grant):
            return None
        until_s = now_s + self._ctx.loan_s * loans.LENDER_MARGIN
        self._lent.lend(grant.loan_id, request.host, lent, until_s)
        for name in lent:
            self._refresh(self._entries[name])
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
        if grant is None or host not in self.hosts:
            return
        until_s = sent_s + grant.term_ms / 1000
        digest = loans.set_digest(self.hosts)
        for lent in grant.slots:
            loan = loans.Loan(
                grant.loan_id, host, lent.target, lent.count, until_s
            )
            entry = self._entries.get(lent.target)
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
            self._refresh(entry)
        if self._queue:
            self._pump(now_s)

    def returned(self, message: wire.SlotReturn) -> None:
        """Takes lent slots back; those of other services are ignored."""
        for slots_ in message.all():
            if not self._lent.returned(message.host, slots_):
                continue
            entry = self._entries.get(slots_.target)
            if entry is not None:
                self._refresh(entry)
        if self._queue:
            self._pump(self._clock.monotonic())

    def peer_status(self, message: wire.SlotStatus) -> None:
        """Notes the spare slots of another host."""
        if message.host in self.hosts and message.host != self._me:
            now_s = self._clock.monotonic()
            self._peer_spare[message.host] = _PeerSpare(message.spare, now_s)
            if self._queue and message.spare:
                self._ctx.wake(self.service)

    def idle_loans(self) -> list[loans.IdleSlots]:
        """Returns the borrowed slots that are not in use and not needed."""
        idle = [loans.IdleSlots(loan, loan.count) for loan in self._unusable]
        if self._queue or not self._borrowed or not self._balancer.bounded:
            return idle
        counted: dict[str, int] = {}
        for loan in self._borrowed.loans():
            entry = self._entries.get(loan.target)
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
        entry = self._entries.get(idle.loan.target)
        if entry is not None:
            self._refresh(entry)

    def _send_status(self, now_s: float) -> None:
        if now_s - self._last_status_s < STATUS_INTERVAL_S:
            return
        spare = self.spare(now_s)
        if (spare > 0) == (self._last_spare > 0):
            return
        message = wire.SlotStatus(
            self._me, self.service, spare, len(self._queue)
        )
        others = [host for host in self.hosts if host != self._me]
        self._last_status_s = now_s
        if not self._ctx.traffic.try_spend(
            message, len(others), reserve_bytes=traffic.RESERVE_BYTES
        ):
            return
        self._last_spare = spare
        for host in others:
            self._ctx.post(host, message)

    def holding(self, target: str) -> int:
        """Returns the slots of a warm target that this host may use."""
        entry = self._entries[target]
        if not entry.state.proved_warm():
            return 0
        now_s = self._clock.monotonic()
        return self._own(entry, now_s) + self._borrowed.total(target)

    def lent(self) -> int:
        """Returns the slots that are lent to other hosts."""
        return sum(loan.count for loan in self._lent.loans())

    def borrowed(self) -> int:
        """Returns the slots that are borrowed from other hosts."""
        return sum(loan.count for loan in self._borrowed.loans())

    # Changes from outside.

    def apply(self, document: documents.ServiceDocument) -> None:
        """Takes over a new version of the document."""
        if document.max_queue != self._document.max_queue:
            self._move_queue(document)
        if document.balancer != self._document.balancer:
            self._balancer = self._make_balancer(document)
        self._document = document
        self._ctx.table.apply(document)
        self.warmth.apply(document)
        old = self._entries
        self._entries = {}
        for name, state in self._ctx.table.service(self.service).items():
            if state.target.region != self._region:
                continue
            entry = old.get(name)
            if entry is None or entry.state is not state:
                entry = entry_.make_entry(state)
            self._entries[name] = entry
        self.warmth.entries = self._entries
        self._failing = {
            name: entry
            for name, entry in self._entries.items()
            if entry.failing
        }
        for bucket in (self._free, self._slow_free):
            for name in set(bucket) - set(self._entries):
                del bucket[name]
        self.domains_changed()
        self.view_changed()

    def domains_changed(self) -> None:
        """Takes over the states of failure domains and of draining targets.

        A target that comes back may have been restarted meanwhile, so it is
        cold.
        """
        for entry in self._entries.values():
            target = entry.state.target
            was_open = entry.open
            entry.open = (
                self._ctx.domain_open(target.failure_domain)
                and not target.draining
            )
            if entry.open is not was_open:
                self.warmth.reset(entry)
            self._refresh(entry)

    def view_changed(self) -> None:
        """Takes over the serving set and the owners of a view.

        Borrowed slots are dropped at once: the shares that they rest on may
        belong to another host now.
        """
        membership = self._ctx.membership
        view = membership.view
        if view is None:
            return
        size = self._document.hosts_per_service
        members = membership.serving_set(self.service, size)
        before = set(self.hosts)
        hosts = tuple(member.host for member in members)
        if set(hosts) != before:
            self.hosts = hosts
            self._member = self._me in hosts
            self._borrowed.clear()
            self._peer_spare = {
                h: n for h, n in self._peer_spare.items() if h in hosts
            }
            self.retry_budget.floor_per_s = budgets.RETRY_FLOOR_PER_S / max(
                1, len(hosts)
            )
            self._last_spare = 0
        self.warmth.others = {
            member.host: member.incarnation
            for member in members
            if member.host != self._me
        }
        for name, entry in self._entries.items():
            owner = membership.owner(self.service, name, size)
            self.warmth.follow(entry, owner, view.epoch, before)
            entry.own = shares.count(
                self.service, name, entry.state.target.slots, self._me, hosts
            )
            self._refresh(entry)
        self.warmth.epoch = view.epoch
        if self._queue:
            self._pump(self._clock.monotonic())

    def view_is_new(self) -> bool:
        """Tells whether the view or the serving set changed unnoticed."""
        membership = self._ctx.membership
        view = membership.view
        if view is None:
            return False
        members = membership.serving_set(
            self.service, self._document.hosts_per_service
        )
        others = {
            member.host: member.incarnation
            for member in members
            if member.host != self._me
        }
        member = len(others) < len(members)
        return (
            view.epoch != self.warmth.epoch
            or member is not self._member
            or others != self.warmth.others
        )

    def connection_changed(self, state: state_.TargetState) -> None:
        """Reacts to the first or last connection of a target."""
        entry = self._entries.get(state.target.name)
        if entry is not None and entry.state is state:
            self.warmth.connection_changed(entry)
            self._refresh(entry)

    def tick(self) -> None:
        """Ends terms, refuses calls that are too late, opens gates."""
        now_s = self._clock.monotonic()
        self.warmth.tick(now_s)
        self._expire_loans(now_s)
        if self._own_from_s and now_s >= self._own_from_s:
            self._own_from_s = 0.0
            for entry in self._entries.values():
                self._refresh(entry)
        if now_s - self._speed_at_s >= _SPEED_INTERVAL_S:
            self._update_speed(now_s)
            self._end_backoffs(now_s)
        if self._queue:
            for waiter in self._queue.expire(now_s, self._median_s):
                waiter.token.done(_refuse('deadline', 'no slot in time'))
            self._pump(now_s)
        if self._balancer.bounded:
            self._send_status(now_s)

    def _expire_loans(self, now_s: float) -> None:
        if self._unusable:
            self._unusable = [
                loan for loan in self._unusable if now_s < loan.until_s
            ]
        for name in self._lent.expire(now_s) + self._borrowed.expire(now_s):
            if name in self._entries:
                self._refresh(self._entries[name])

    def _end_backoffs(self, now_s: float) -> None:
        for entry in self._entries.values():
            if 0 < entry.backoff_s <= now_s:
                entry.backoff_s = 0.0
                self._refresh(entry)

    def close(self) -> None:
        """Refuses the waiting calls."""
        while (waiter := self._queue.take(0.0)) is not None:
            waiter.token.done(_refuse('stopping', 'service was removed'))

    # Construction.

    def _make_queue(
        self, document: documents.ServiceDocument
    ) -> admission.AdmissionPolicy:
        kind = admission.REGISTRY.get(ADMISSION_POLICY)
        return kind(document.max_queue)

    def _make_balancer(
        self, document: documents.ServiceDocument
    ) -> balancers.Balancer:
        return balancers.REGISTRY.get(document.balancer)(self._ctx.rng)

    def _move_queue(self, document: documents.ServiceDocument) -> None:
        old, self._queue = self._queue, self._make_queue(document)
        while (waiter := old.take(0.0)) is not None:
            reason = self._queue.offer(waiter, 0.0)
            if reason:
                waiter.token.done(_refuse(reason, 'queue became shorter'))


def _resolve(fut: asyncio.Future[_Outcome], outcome: _Outcome) -> None:
    """Hands an outcome to a waiting task that may have been cancelled."""
    if fut.done():
        outcome.map(lambda lease: lease.release(_unsent()))
    else:
        fut.set_result(outcome)


def _unsent() -> slots.AttemptReport:
    return slots.AttemptReport(Kind.CANCELLED, 0.0)


def _refuse(reason: str, detail: str) -> _Outcome:
    refusal = calls.Refusal(
        outcome=calls.Outcome.NOT_RUN,
        reason=reason,
        step='slot',
        status=503,
        detail=detail,
        retry_after_ms=100,
    )
    return result.Failure(refusal)
