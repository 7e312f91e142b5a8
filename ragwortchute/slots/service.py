"""Slots of the targets of one service, as seen by this host."""

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

# A slow target is used once the expected wait for a fast one reaches this part
# of the extra latency of the slow one.
SLOW_WAIT_RATIO = 0.1
CONNECT_BACKOFF_S = 0.1
# A target notices that a connection was closed only after the network delay
# and after the work that is pending in its event loop.
CANCEL_GRACE_S = 0.05
_MIN_FAILURE_STATUS = 500
_NO_EXCLUSIONS: frozenset[str] = frozenset()


class ServiceSlots(slots.SlotSource):
    """Slots of one service: shares, loans, waiting calls and target selection.

    This class starts no tasks and does no I/O; `SlotManager` exchanges the
    messages and calls `tick`.

    Args:
        document: The service document.
        ctx: Dependencies and settings of the slots of this host.

    Attributes:
        service: Name of the service.
        hosts: Hosts of the serving set of the service in this region.
        warmth: Tracks which targets are cold, suspect or warm.
        retry_budget: Budget of retries and overflow requests. Overflow is
            taken from it here, retries by the dispatcher.
        hedge_budget: Budget of hedges, taken by `try_acquire`. `acquire`
            counts calls in both budgets, except for those with exclusions,
            which are retries.
        entries: Entries of the targets by name.
        free: Candidates with a free slot by target name, without those that
            are slow or failing.
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
        self._in_serving_set = False
        self.warmth = warmth_.TargetLifecycle(
            document.service, ctx, self.refresh
        )
        self.retry_budget = budgets.retry_budget(ctx.clock, ctx.retry_percent)
        self.hedge_budget = budgets.CallBudget(ctx.clock, ctx.hedge_percent)
        self._document = document
        self.entries: dict[str, entry_.Entry] = {}
        self.free: dict[str, balancers.Candidate] = {}
        # Like `free`, for targets that are slow or failing.
        self._degraded_free: dict[str, balancers.Candidate] = {}
        self._outliers = speed_.OutlierDetector(ctx.clock, self.refresh)
        self._lending = lending.Lending(ctx, self)
        self._queue = waiting_.WaitingCalls(document.max_queue)
        self._balancer = self._make_balancer(document)
        self.apply(document)

    # Interface `SlotSource`.

    async def acquire(
        self, call: calls.Call, *, exclude: frozenset[str] = _NO_EXCLUSIONS
    ) -> waiting_.Outcome:
        """Acquires a slot, waiting until the deadline of the call if needed."""
        now_s = self._clock.monotonic()
        if not exclude:
            self.retry_budget.record_call(now_s)
            self.hedge_budget.record_call(now_s)
        if not self._queue and self._in_serving_set and now_s < call.deadline_s:
            lease = self.take_free(exclude, now_s)
            if lease is not None:
                return result.Success(lease)
        fut = asyncio.get_running_loop().create_future()
        done = functools.partial(waiting_.resolve_future, fut)
        pending = waiting_.Pending(call, exclude, done)
        waiter = self.enqueue(pending, now_s)
        try:
            return await fut
        except asyncio.CancelledError:
            self._cancel_waiter(waiter, fut)
            raise

    def _cancel_waiter(
        self, waiter: admission.Waiter | None, fut: asyncio.Future
    ) -> None:
        if fut.done() and not fut.cancelled():
            fut.result().map(
                lambda lease: lease.release(waiting_.unsent_report())
            )
        elif waiter is not None:
            self._queue.remove(waiter)

    def try_acquire(
        self,
        call: calls.Call,
        *,
        exclude: frozenset[str] = _NO_EXCLUSIONS,
        avoid_domain: str = '',
    ) -> result.Result[slots.SlotLease, slots.HedgeDenial]:
        """Acquires a slot for a hedged attempt without waiting."""
        now_s = self._clock.monotonic()
        if self._lending.has_borrowed:
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
        """Returns the delay after which a call is hedged, in seconds."""
        return self._outliers.hedge_delay_s

    @property
    def waiting(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._queue)

    def waiting_since_s(self) -> float:
        """Returns when the call that waits longest was enqueued."""
        return self._queue.oldest_s()

    # Target selection.

    def take_free(
        self, exclude: frozenset[str], now_s: float
    ) -> lease_.Lease | None:
        """Acquires a free slot without waiting; returns None if there is none.

        Args:
            exclude: Names of targets that must not be used.
            now_s: Present time on the monotonic clock, in seconds.
        """
        if self._lending.has_borrowed:
            self._lending.expire(now_s)
        if self._outliers.failing:
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
        if self._degraded_free:
            return self._take_degraded(exclude, now_s)
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
        if self.warmth.may_start_cold(entry, now_s):
            self.warmth.note_cold_start(entry, now_s)
            return self._take(entry, now_s)
        self.refresh(entry)
        return None

    def _take(self, entry: entry_.Entry, now_s: float) -> lease_.Lease:
        candidate = entry.candidate
        name = candidate.name
        until_s = float('inf')
        if self._lending.has_borrowed and self._balancer.bounded:
            own = self._lending.unlent_slots(entry, now_s)
            if candidate.in_flight >= own:
                until_s = self._lending.first_loan_end_s(name)
        candidate.in_flight += 1
        if (
            entry.state.phase is not Phase.WARM
            or candidate.in_flight >= candidate.share
        ):
            self.refresh(entry)
        return lease_.Lease(self, entry, until_s)

    def _take_degraded(
        self, exclude: frozenset[str], now_s: float
    ) -> lease_.Lease | None:
        """Acquires a slot of a slow or failing target, if one is to be used.

        See `_degraded_choice`.
        """
        entry = self._degraded_choice(exclude, now_s)
        return None if entry is None else self._probe(entry, now_s)

    def _probe(self, entry: entry_.Entry, now_s: float) -> lease_.Lease:
        entry.next_probe_s = now_s + speed_.PROBE_INTERVAL_S
        return self._take(entry, now_s)

    def _due_probe(
        self, exclude: frozenset[str], now_s: float
    ) -> entry_.Entry | None:
        """Returns a failing target whose next probe is due, or None.

        It is probed even if other targets have free slots, because at low load
        nothing else would show that it recovered.
        """
        for name, entry in self._outliers.failing.items():
            if (
                name in self._degraded_free
                and name not in exclude
                and now_s >= entry.next_probe_s
            ):
                return entry
        return None

    def _only_probed(self, entry: entry_.Entry) -> bool:
        """Returns whether a target gets no work except for probes.

        This is the case if it is failing and another warm target is not.
        """
        return entry.failing and any(
            other.open and not other.failing and other.state.proved_warm()
            for other in self.entries.values()
        )

    def _degraded_choice(
        self, exclude: frozenset[str], now_s: float
    ) -> entry_.Entry | None:
        """Returns the slow or failing target to use now, or None.

        With n slots on preferred targets, one becomes free about every 1/n of
        the mean latency. The expected wait is this time for each waiting call;
        it is compared with the extra latency of the slow target.
        """
        if self._outliers.failing:
            due = self._due_probe(exclude, now_s)
            if due is not None:
                return due
        best = None
        for name, candidate in self._degraded_free.items():
            if name in exclude or self._only_probed(self.entries[name]):
                continue
            if best is None or candidate.latency_ms < best.latency_ms:
                best = candidate
        if best is None:
            return None
        entry = self.entries[best.name]
        if now_s >= entry.next_probe_s:
            return entry
        fast_slots = self._preferred_slots()
        wait_s = (
            (len(self._queue) + 1) * self._outliers.mean_s / max(1, fast_slots)
        )
        extra_s = best.latency_ms / 1000 - self._outliers.median_s
        return (
            entry
            if wait_s >= extra_s * SLOW_WAIT_RATIO or not fast_slots
            else None
        )

    def _preferred_slots(self) -> int:
        """Returns this host's slots on targets neither slow nor failing."""
        return sum(
            entry.candidate.share
            for entry in self.entries.values()
            if entry.preferred
        )

    def _take_overflow(
        self, exclude: frozenset[str], now_s: float
    ) -> lease_.Lease | None:
        """Acquires one slot beyond the share, if the retry budget permits.

        Called only when this host has no slots on preferred targets. Overflow
        makes a target shed requests that are within the shares of other hosts:
        when every call that found no free slot could overflow, a quarter of
        the requests was shed.
        """
        if not self._balancer.bounded or self.retry_budget.available() < 1:
            return None
        fitting = [
            entry
            for name, entry in self.entries.items()
            if name not in exclude
            and entry.open
            and entry.preferred
            and entry.may_overflow(now_s)
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
        """Adds a call to the queue.

        Args:
            pending: The call.
            now_s: Present time on the monotonic clock, in seconds.

        Returns:
            The waiter, which may have been served already. None if the call
            was refused or got an overflow slot.
        """
        call = pending.call
        if not self._in_serving_set:
            pending.on_outcome(
                waiting_.refuse('wrong-host', 'host is not in the set')
            )
            return None
        if now_s >= call.deadline_s:
            pending.on_outcome(waiting_.refuse('deadline', 'deadline passed'))
            return None
        if not self._preferred_slots():
            lease = self._take_overflow(pending.exclude, now_s)
            if lease is not None:
                pending.on_outcome(result.Success(lease))
                return None
        waiter = self._queue.offer(pending, now_s, self._outliers.mean_s)
        if waiter is None:
            return None
        self.serve_waiting(now_s)
        if self._queue:
            self._ctx.wake(self.service)
        return waiter

    def serve_waiting(self, now_s: float) -> None:
        """Assigns free slots to waiting calls."""
        queue = self._queue
        skipped = []
        while queue and (
            self.free or self._degraded_choice(_NO_EXCLUSIONS, now_s)
        ):
            waiter = queue.take(now_s)
            pending = waiter.payload
            lease = self.take_free(pending.exclude, now_s)
            if lease is not None:
                pending.on_outcome(result.Success(lease))
                continue
            skipped.append(waiter)
            if not pending.exclude:
                break
        for waiter in skipped:
            queue.put_back(waiter)

    # Leases.

    def lease_usable(self, lease: lease_.Lease) -> bool:
        """Returns whether the request of a lease may be sent now."""
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
        """Releases the slot of a lease and evaluates its attempt."""
        entry = lease.entry
        state = entry.state
        now_s = self._clock.monotonic()
        if lease.overflow:
            state.overflow -= 1
        else:
            state.candidate.in_flight -= 1
        current = lease.episode == entry.episode
        state.note_load_report(report.running, now_s)
        kind = report.kind
        if kind is Kind.ANSWERED:
            failed = report.status >= _MIN_FAILURE_STATUS
            # Fast failures must not lower the average latency: the target
            # would look fast, and after its recovery its normal latency would
            # look like a cold start.
            if not failed or 0 < state.fast_average_s <= report.latency_s:
                self._outliers.note_latency(entry, report.latency_s, current)
            if current and report.status:
                state.answers.note(failed)
                if failed or entry.failing:
                    self._outliers.update_failing_mark(entry, now_s)
            self.warmth.answered(entry, report, now_s, current=current)
        elif kind is Kind.SHED:
            if current and not lease.overflow:
                self.warmth.shed(entry, report, now_s)
        elif kind is Kind.CONNECT_FAILED:
            entry.backoff_until_s = now_s + CONNECT_BACKOFF_S
        elif kind is Kind.TIMEOUT:
            self._outliers.note_latency(entry, report.latency_s, current)
            if current:
                self.warmth.timed_out(entry, report.latency_s)
        elif kind is Kind.CANCELLED and report.latency_s > state.fast_average_s:
            # The answer would have taken at least this long.
            self._outliers.note_latency(entry, report.latency_s, current)
        if kind in (Kind.CANCELLED, Kind.TIMEOUT) and report.latency_s > 0:
            self._back_off_after_abort(entry, now_s)
        self.refresh(entry)
        if self._queue:
            self.serve_waiting(now_s)

    def _back_off_after_abort(self, entry: entry_.Entry, now_s: float) -> None:
        """Pauses new work on a cold target after an aborted request.

        The target may still run the request for a short time, so that another
        one could exceed its concurrency limit.
        """
        if entry.state.phase is Phase.WARM:
            return
        entry.backoff_until_s = max(
            entry.backoff_until_s, now_s + CANCEL_GRACE_S
        )

    # Free slots.

    def refresh(self, entry: entry_.Entry) -> None:
        """Recomputes the share and the free slots of a target."""
        now_s = self._clock.monotonic()
        state = entry.state
        candidate = entry.candidate
        name = candidate.name
        if self.entries.get(name) is not entry:
            return
        self.free.pop(name, None)
        self._degraded_free.pop(name, None)
        if not entry.open or now_s < entry.backoff_until_s:
            candidate.share = 0
            return
        if state.phase is not Phase.WARM:
            ready = self.warmth.may_start_cold(entry, now_s)
            candidate.share = state.limiter.limit if ready else 0
            if ready:
                self.free[name] = candidate
            return
        if not state.proved_warm():
            candidate.share = 0
            return
        if self._balancer.bounded:
            own = self._lending.unlent_slots(entry, now_s)
            share = own + self._lending.borrowed_slots_of(name)
            if entry.slow and share > 1:
                factor = self._outliers.median_s / max(
                    state.fast_average_s, self._outliers.median_s
                )
                share = max(1, int(share * factor))
            if entry.failing:
                share = min(share, 1)
        else:
            share = state.target.slots
        candidate.share = share
        if candidate.in_flight < share:
            bucket = self.free if entry.preferred else self._degraded_free
            bucket[name] = candidate

    # Loans.

    @property
    def bounded(self) -> bool:
        """Whether the balancer limits this host to its shares."""
        return self._balancer.bounded

    @property
    def busy(self) -> bool:
        """Whether frequent upkeep is needed: calls wait or there are loans."""
        return bool(self._queue) or self._lending.active

    def usable_slots(self, target: str) -> int:
        """Returns how many slots of a target this host may use.

        These are its own slots that are not lent, and the borrowed ones; 0 if
        the target is not proved to be warm.
        """
        entry = self.entries[target]
        if not entry.state.proved_warm():
            return 0
        now_s = self._clock.monotonic()
        return self._lending.unlent_slots(
            entry, now_s
        ) + self._lending.borrowed_slots_of(target)

    def spare(self, now_s: float) -> int:
        """Returns how many free slots of its own this host can lend."""
        return self._lending.spare(now_s)

    def loan_request(self) -> traffic.LoanRequest | None:
        """Returns the next request for a loan, or None if none is due."""
        return self._lending.loan_request()

    def grant(self, request: wire.SlotRequest) -> wire.SlotGrant | None:
        """Lends free slots; returns None if the budget permits no answer."""
        return self._lending.grant(request)

    def granted(
        self, host: str, grant: wire.SlotGrant | None, sent_s: float
    ) -> None:
        """Processes the answer to a loan request that was sent at `sent_s`."""
        self._lending.granted(host, grant, sent_s)

    def returned(self, message: wire.SlotReturn) -> None:
        """Takes lent slots back; slots of other services are ignored."""
        self._lending.returned(message)

    def peer_status(self, message: wire.SlotStatus) -> None:
        """Records the spare slots reported by another host."""
        self._lending.peer_status(message)

    def idle_loans(self) -> list[loans.IdleSlots]:
        """Returns the borrowed slots that can be returned."""
        return self._lending.idle_loans()

    def mark_returned(self, idle: loans.IdleSlots) -> None:
        """Removes borrowed slots that are being returned to their lender."""
        self._lending.mark_returned(idle)

    def lent(self) -> int:
        """Returns the number of slots lent to other hosts."""
        return self._lending.lent()

    def borrowed(self) -> int:
        """Returns the number of slots borrowed from other hosts."""
        return self._lending.borrowed()

    # Changes of documents, failure domains, views and connections.

    def apply(self, document: documents.ServiceDocument) -> None:
        """Applies a new version of the service document."""
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
        self._outliers.apply(self.entries, bounded=self._balancer.bounded)
        for bucket in (self.free, self._degraded_free):
            for name in set(bucket) - set(self.entries):
                del bucket[name]
        self.domains_changed()
        self.view_changed()

    def domains_changed(self) -> None:
        """Applies the states of failure domains and draining targets.

        A target that returns to service is cold, because it may have been
        restarted in the meantime.
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
        """Applies the serving set and the target owners of the current view.

        If the serving set changed, borrowed slots are discarded at once,
        because the shares that they were lent from may now belong to another
        host.
        """
        membership = self._ctx.membership
        view = membership.view
        if view is None:
            return
        size = self._document.hosts_per_service
        members = membership.serving_set(self.service, size)
        previous_hosts = set(self.hosts)
        hosts = tuple(member.host for member in members)
        if set(hosts) != previous_hosts:
            self.hosts = hosts
            self._in_serving_set = self._me in hosts
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
            self.warmth.update_owner(entry, owner, view.epoch, previous_hosts)
            entry.own_slots = shares.count(
                self.service, name, entry.state.target.slots, self._me, hosts
            )
            self.refresh(entry)
        self.warmth.epoch = view.epoch
        if self._queue:
            self.serve_waiting(self._clock.monotonic())

    def view_is_stale(self) -> bool:
        """Returns whether the applied view or serving set is out of date."""
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
            or member is not self._in_serving_set
            or others != self.warmth.others
        )

    def connection_changed(self, state: state_.TargetState) -> None:
        """Handles the opening of the first or loss of the last connection."""
        entry = self.entries.get(state.target.name)
        if entry is not None and entry.state is state:
            self.warmth.connection_changed(entry)
            self.refresh(entry)

    def tick(self) -> None:
        """Runs the upkeep that is due.

        Expires loans and late calls, updates slow and failing targets, and
        lets cold targets start once they may.
        """
        now_s = self._clock.monotonic()
        self.warmth.tick(now_s)
        self._lending.expire(now_s)
        self._lending.start_using_own_slots(now_s)
        if self._outliers.due(now_s):
            self._outliers.update(now_s)
            self._end_backoffs(now_s)
        if self._queue:
            self._queue.expire(now_s, self._outliers.median_s)
            self.serve_waiting(now_s)
        if self._balancer.bounded:
            self._lending.send_status(now_s)

    def _end_backoffs(self, now_s: float) -> None:
        for entry in self.entries.values():
            if 0 < entry.backoff_until_s <= now_s:
                entry.backoff_until_s = 0.0
                self.refresh(entry)

    def close(self) -> None:
        """Refuses the waiting calls."""
        self._queue.close()

    def _make_balancer(
        self, document: documents.ServiceDocument
    ) -> balancers.Balancer:
        return balancers.REGISTRY.get(document.balancer)(self._ctx.rng)
