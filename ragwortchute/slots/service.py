"""Slots of the targets of one service on this host."""

import asyncio
import functools

from returns import result

from ragwortchute import admission
from ragwortchute import balancers
from ragwortchute import budgets
from ragwortchute import calls
from ragwortchute import documents
from ragwortchute import slots
from ragwortchute import wire
from ragwortchute.balancers import least_inflight as _least_inflight
from ragwortchute.balancers import round_robin as _round_robin
from ragwortchute.balancers import slot_shares as _slot_shares
from ragwortchute.balancers import two_choices as _two_choices
from ragwortchute.balancers import uniform as _uniform
from ragwortchute.slots import context
from ragwortchute.slots import entry as entry_
from ragwortchute.slots import lease as lease_
from ragwortchute.slots import lending
from ragwortchute.slots import loans
from ragwortchute.slots import shares
from ragwortchute.slots import speed as speed_
from ragwortchute.slots import traffic
from ragwortchute.slots import waiting as waiting_
from ragwortchute.slots import warmth as warmth_
from ragwortchute.targets import state as state_

# Imported for their registration.
PLUG_INS = (
    _least_inflight,
    _uniform,
    _round_robin,
    _slot_shares,
    _two_choices,
)

Phase = state_.Phase
Kind = slots.AttemptKind

# A slow slot is used once the wait reaches this part of the time that it costs.
SLOW_WAIT_PART = 0.1
CONNECT_BACKOFF_S = 0.1
# A closed connection reaches the target after the network delay and after
# what else its event loop has to do.
CANCEL_GRACE_S = 0.05
_FIRST_FAILURE_STATUS = 500
_NONE: frozenset[str] = frozenset()


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
        self.warmth = warmth_.Warmth(document.service, ctx, self.refresh)
        self.retry_budget = budgets.retry_budget(ctx.clock, ctx.retry_percent)
        self.hedge_budget = budgets.CallBudget(ctx.clock, ctx.hedge_percent)
        self._document = document
        self.entries: dict[str, entry_.Entry] = {}
        self.free: dict[str, balancers.Candidate] = {}
        # Free slots of targets that are slow or failing.
        self._slow_free: dict[str, balancers.Candidate] = {}
        self._speed = speed_.Speed(ctx.clock, self.refresh)
        self._lending = lending.Lending(ctx, self)
        self._queue = waiting_.WaitingCalls(document.max_queue)
        self._balancer = self._make_balancer(document)
        self.apply(document)

    # The source of slots.

    async def acquire(
        self, call: calls.Call, *, exclude: frozenset[str] = _NONE
    ) -> waiting_.Outcome:
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
        done = functools.partial(waiting_.resolve, fut)
        pending = waiting_.Pending(call, exclude, done)
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
            fut.result().map(lambda lease: lease.release(waiting_.unsent()))
        elif waiter is not None:
            self._queue.remove(waiter)

    def try_acquire(
        self,
        call: calls.Call,
        *,
        exclude: frozenset[str] = _NONE,
        avoid_domain: str = '',
    ) -> result.Result[slots.SlotLease, slots.HedgeDenial]:
        """Takes a slot that is free now, and a hedge from the budget."""
        now_s = self._clock.monotonic()
        if self._lending.borrows:
            self._lending.expire(now_s)
        if self._queue or now_s >= call.deadline_s:
            return result.Failure(slots.HedgeDenial.NO_SLOT)
        candidates = [c for n, c in self.free.items() if n not in exclude]
        if not candidates:
            return result.Failure(slots.HedgeDenial.NO_SLOT)
        if self.hedge_budget.available() < 1:
            return result.Failure(slots.HedgeDenial.BUDGET)
        elsewhere = [c for c in candidates if c.failure_domain != avoid_domain]
        lease = self._choose(elsewhere or candidates, now_s)
        if lease is None:
            return result.Failure(slots.HedgeDenial.NO_SLOT)
        self.hedge_budget.try_spend()
        return result.Success(lease)

    def hedge_delay_s(self) -> float:
        """Returns the 95th percentile of recent answers, in seconds."""
        return self._speed.hedge_s

    @property
    def waiting(self) -> int:
        """How many calls wait for a slot."""
        return len(self._queue)

    def waiting_since_s(self) -> float:
        """Returns when the call that waits longest began to wait."""
        return self._queue.oldest_s()

    # Taking slots.

    def take_free(
        self, exclude: frozenset[str], now_s: float
    ) -> lease_.Lease | None:
        """Takes a slot that is free now, or returns None."""
        if self._lending.borrows:
            self._lending.expire(now_s)
        if self._speed.failing:
            entry = self._due_probe(exclude, now_s)
            if entry is not None:
                return self._probe(entry, now_s)
        free = self.free
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
    ) -> lease_.Lease | None:
        chosen = self._balancer.choose(candidates)
        if chosen is None:
            return None
        entry = self.entries[chosen.name]
        if entry.state.phase is Phase.WARM:
            return self._take(entry, now_s)
        if self.warmth.cold_ready(entry, now_s):
            self.warmth.cold_started(entry, now_s)
            return self._take(entry, now_s)
        self.refresh(entry)
        return None

    def _take(self, entry: entry_.Entry, now_s: float) -> lease_.Lease:
        candidate = entry.candidate
        name = candidate.name
        until_s = float('inf')
        if self._lending.borrows and self._balancer.bounded:
            own = self._lending.own(entry, now_s)
            if candidate.in_flight >= own:
                until_s = self._lending.end_s(name)
        candidate.in_flight += 1
        if (
            entry.state.phase is not Phase.WARM
            or candidate.in_flight >= candidate.share
        ):
            self.refresh(entry)
        return lease_.Lease(self, entry, until_s)

    def _take_slow(
        self, exclude: frozenset[str], now_s: float
    ) -> lease_.Lease | None:
        """Takes a slot of a slow target if waiting would take longer."""
        entry = self._slow_choice(exclude, now_s)
        return None if entry is None else self._probe(entry, now_s)

    def _probe(self, entry: entry_.Entry, now_s: float) -> lease_.Lease:
        entry.probe_s = now_s + speed_.PROBE_INTERVAL_S
        return self._take(entry, now_s)

    def _due_probe(
        self, exclude: frozenset[str], now_s: float
    ) -> entry_.Entry | None:
        """Returns a failing target whose next probe is due.

        It is probed although others have free slots: at low load nothing else
        would show that it recovered.
        """
        for name, entry in self._speed.failing.items():
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
            for other in self.entries.values()
        )

    def _slow_choice(
        self, exclude: frozenset[str], now_s: float
    ) -> entry_.Entry | None:
        """Returns the slow target to use now, if any.

        A fast slot becomes free about every mean latency divided by the
        number of fast slots, so that this much time per waiting call is lost
        by waiting.
        """
        if self._speed.failing:
            due = self._due_probe(exclude, now_s)
            if due is not None:
                return due
        best = None
        for name, candidate in self._slow_free.items():
            if name in exclude or self._only_probed(self.entries[name]):
                continue
            if best is None or candidate.latency_ms < best.latency_ms:
                best = candidate
        if best is None:
            return None
        entry = self.entries[best.name]
        if now_s >= entry.probe_s:
            return entry
        fast_slots = self._slots_held()
        wait_s = (
            (len(self._queue) + 1) * self._speed.mean_s / max(1, fast_slots)
        )
        extra_s = best.latency_ms / 1000 - self._speed.median_s
        return (
            entry
            if wait_s >= extra_s * SLOW_WAIT_PART or not fast_slots
            else None
        )

    def _slots_held(self) -> int:
        """Returns the slots of this host on targets to be preferred."""
        return sum(
            entry.candidate.share
            for entry in self.entries.values()
            if entry.preferred
        )

    def _take_overflow(
        self, exclude: frozenset[str], now_s: float
    ) -> lease_.Lease | None:
        """Takes one slot beyond the share, if the retry budget permits.

        Called when this host has no slot at all. A target with overflow also
        sheds requests within the shares of other hosts: with overflow for
        every call that found no free slot, a quarter of the requests was shed.
        """
        if not self._balancer.bounded or self.retry_budget.available() < 1:
            return None
        fitting = [
            entry
            for name, entry in self.entries.items()
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
        return lease_.Lease(self, entry, float('inf'), overflow=True)

    # Waiting calls.

    def enqueue(
        self, pending: waiting_.Pending, now_s: float
    ) -> admission.Waiter | None:
        """Lets a call wait; returns None if it was refused or served."""
        call = pending.call
        if not self._member:
            pending.done(
                waiting_.refuse('wrong-host', 'host is not in the set')
            )
            return None
        if now_s >= call.deadline_s:
            pending.done(waiting_.refuse('deadline', 'deadline passed'))
            return None
        if not self._slots_held():
            lease = self._take_overflow(pending.exclude, now_s)
            if lease is not None:
                pending.done(result.Success(lease))
                return None
        waiter = self._queue.offer(pending, now_s, self._speed.mean_s)
        if waiter is None:
            return None
        self.pump(now_s)
        if self._queue:
            self._ctx.wake(self.service)
        return waiter

    def pump(self, now_s: float) -> None:
        """Hands free slots to waiting calls."""
        queue = self._queue
        skipped = []
        while queue and (self.free or self._slow_choice(_NONE, now_s)):
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
            queue.put_back(waiter)

    # Leases.

    def lease_usable(self, lease: lease_.Lease) -> bool:
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

    def lease_released(
        self, lease: lease_.Lease, report: slots.AttemptReport
    ) -> None:
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
                self._speed.note_latency(entry, report.latency_s, current)
            if current and report.status:
                state.answers.note(failed)
                if failed or entry.failing:
                    self._speed.judge_failures(entry, now_s)
            self.warmth.answered(entry, report, now_s, current=current)
        elif kind is Kind.SHED:
            if current and not lease.overflow:
                self.warmth.shed(entry, report, now_s)
        elif kind is Kind.CONNECT_FAILED:
            entry.backoff_s = now_s + CONNECT_BACKOFF_S
        elif kind is Kind.TIMEOUT:
            self._speed.note_latency(entry, report.latency_s, current)
            if current:
                self.warmth.timed_out(entry, report.latency_s)
        elif kind is Kind.CANCELLED and report.latency_s > state.fast_s:
            # The answer would have taken even longer.
            self._speed.note_latency(entry, report.latency_s, current)
        if kind in (Kind.CANCELLED, Kind.TIMEOUT) and report.latency_s > 0:
            self._wait_for_cancellation(entry, now_s)
        self.refresh(entry)
        if self._queue:
            self.pump(now_s)

    def _wait_for_cancellation(self, entry: entry_.Entry, now_s: float) -> None:
        """Keeps a cold target free while it may run a request given up.

        A target at its limit would get one request too many.
        """
        if entry.state.phase is Phase.WARM:
            return
        entry.backoff_s = max(entry.backoff_s, now_s + CANCEL_GRACE_S)

    # Free slots.

    def refresh(self, entry: entry_.Entry) -> None:
        """Recomputes the share of a target and whether it has a free slot."""
        now_s = self._clock.monotonic()
        state = entry.state
        candidate = entry.candidate
        name = candidate.name
        if self.entries.get(name) is not entry:
            return
        self.free.pop(name, None)
        self._slow_free.pop(name, None)
        if not entry.open or now_s < entry.backoff_s:
            candidate.share = 0
            return
        if state.phase is not Phase.WARM:
            ready = self.warmth.cold_ready(entry, now_s)
            candidate.share = state.limiter.limit if ready else 0
            if ready:
                self.free[name] = candidate
            return
        if not state.proved_warm():
            candidate.share = 0
            return
        if self._balancer.bounded:
            own = self._lending.own(entry, now_s)
            share = own + self._lending.borrowed_of(name)
            if entry.slow and share > 1:
                part = self._speed.median_s / max(
                    state.fast_s, self._speed.median_s
                )
                share = max(1, int(share * part))
            if entry.failing:
                share = min(share, 1)
        else:
            share = state.target.slots
        candidate.share = share
        if candidate.in_flight < share:
            bucket = self.free if entry.preferred else self._slow_free
            bucket[name] = candidate

    # Loans.

    @property
    def bounded(self) -> bool:
        """Whether this host keeps within its shares."""
        return self._balancer.bounded

    @property
    def busy(self) -> bool:
        """Whether calls wait or slots are lent or borrowed."""
        return bool(self._queue) or self._lending.active

    def holding(self, target: str) -> int:
        """Returns the slots of a warm target that this host may use."""
        entry = self.entries[target]
        if not entry.state.proved_warm():
            return 0
        now_s = self._clock.monotonic()
        return self._lending.own(entry, now_s) + self._lending.borrowed_of(
            target
        )

    def spare(self, now_s: float) -> int:
        """Returns the free slots of this host's own shares."""
        return self._lending.spare(now_s)

    def loan_request(self) -> traffic.LoanRequest | None:
        """Returns whom to ask for slots, and the request, if it is time."""
        return self._lending.loan_request()

    def grant(self, request: wire.SlotRequest) -> wire.SlotGrant | None:
        """Lends free slots; None if the budget permits no answer."""
        return self._lending.grant(request)

    def granted(
        self, host: str, grant: wire.SlotGrant | None, sent_s: float
    ) -> None:
        """Takes over a loan of a host, asked for at `sent_s`."""
        self._lending.granted(host, grant, sent_s)

    def returned(self, message: wire.SlotReturn) -> None:
        """Takes lent slots back; those of other services are ignored."""
        self._lending.returned(message)

    def peer_status(self, message: wire.SlotStatus) -> None:
        """Notes the spare slots of another host."""
        self._lending.peer_status(message)

    def idle_loans(self) -> list[loans.IdleSlots]:
        """Returns the borrowed slots that are not in use and not needed."""
        return self._lending.idle_loans()

    def give_back(self, idle: loans.IdleSlots) -> None:
        """Stops using borrowed slots whose return is sent."""
        self._lending.give_back(idle)

    def lent(self) -> int:
        """Returns the slots that are lent to other hosts."""
        return self._lending.lent()

    def borrowed(self) -> int:
        """Returns the slots that are borrowed from other hosts."""
        return self._lending.borrowed()

    # Changes from outside.

    def apply(self, document: documents.ServiceDocument) -> None:
        """Takes over a new version of the document."""
        if document.max_queue != self._document.max_queue:
            self._queue.resize(document.max_queue)
        if document.balancer != self._document.balancer:
            self._balancer = self._make_balancer(document)
        self._document = document
        self._ctx.table.apply(document)
        self.warmth.apply(document)
        old = self.entries
        self.entries = {}
        for name, state in self._ctx.table.service(self.service).items():
            if state.target.region != self._region:
                continue
            entry = old.get(name)
            if entry is None or entry.state is not state:
                entry = entry_.make_entry(state)
            self.entries[name] = entry
        self.warmth.entries = self.entries
        self._speed.apply(self.entries, bounded=self._balancer.bounded)
        for bucket in (self.free, self._slow_free):
            for name in set(bucket) - set(self.entries):
                del bucket[name]
        self.domains_changed()
        self.view_changed()

    def domains_changed(self) -> None:
        """Takes over the states of failure domains and of draining targets.

        A target that comes back may have been restarted meanwhile, so it is
        cold.
        """
        for entry in self.entries.values():
            target = entry.state.target
            was_open = entry.open
            entry.open = (
                self._ctx.domain_open(target.failure_domain)
                and not target.draining
            )
            if entry.open is not was_open:
                self.warmth.reset(entry)
            self.refresh(entry)

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
            self._lending.hosts_changed()
            self.retry_budget.floor_per_s = budgets.RETRY_FLOOR_PER_S / max(
                1, len(hosts)
            )
        self.warmth.others = {
            member.host: member.incarnation
            for member in members
            if member.host != self._me
        }
        for name, entry in self.entries.items():
            owner = membership.owner(self.service, name, size)
            self.warmth.follow(entry, owner, view.epoch, before)
            entry.own = shares.count(
                self.service, name, entry.state.target.slots, self._me, hosts
            )
            self.refresh(entry)
        self.warmth.epoch = view.epoch
        if self._queue:
            self.pump(self._clock.monotonic())

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
        entry = self.entries.get(state.target.name)
        if entry is not None and entry.state is state:
            self.warmth.connection_changed(entry)
            self.refresh(entry)

    def tick(self) -> None:
        """Ends terms, refuses calls that are too late, opens gates."""
        now_s = self._clock.monotonic()
        self.warmth.tick(now_s)
        self._lending.expire(now_s)
        self._lending.start_own(now_s)
        if self._speed.due(now_s):
            self._speed.update(now_s)
            self._end_backoffs(now_s)
        if self._queue:
            self._queue.expire(now_s, self._speed.median_s)
            self.pump(now_s)
        if self._balancer.bounded:
            self._lending.send_status(now_s)

    def _end_backoffs(self, now_s: float) -> None:
        for entry in self.entries.values():
            if 0 < entry.backoff_s <= now_s:
                entry.backoff_s = 0.0
                self.refresh(entry)

    def close(self) -> None:
        """Refuses the waiting calls."""
        self._queue.close()

    # Construction.

    def _make_balancer(
        self, document: documents.ServiceDocument
    ) -> balancers.Balancer:
        return balancers.REGISTRY.get(document.balancer)(self._ctx.rng)
