"""Phases of targets between cold and warm, and the messages about them."""

from collections import abc

from absl import logging

from ragwortchute import documents
from ragwortchute import slots
from ragwortchute import wire
from ragwortchute.slots import context
from ragwortchute.slots import entry as entry_
from ragwortchute.targets import state as state_
from ragwortchute.targets import warmup

Phase = state_.Phase

# A target is considered cold again after `COLD_STREAK_ANSWERS` consecutive
# answers that took longer than `COLD_LATENCY_FACTOR` times its slow-moving
# average. Warm targets are at times up to 4 times slower. With a factor of 4,
# half of these periods ended in a warm-up: p99 with random choice at 70 % load
# was 454 ms, and 268 ms with a factor of 10.
COLD_LATENCY_FACTOR = 10.0
COLD_STREAK_ANSWERS = 4
# Without a load report, a single shed does not show that a target is cold: an
# overflow request of another host may have taken the slot.
COLD_STREAK_SHEDS = 3
# When packets are lost, a connection can stay open after its process ended. A
# proof that a target is warm therefore also needs an answer this recent.
MAX_PROOF_AGE_S = 1.0
_DEFAULT_DEADLINE_S = 2.0


class TargetLifecycle:
    """Tracks which targets of a service are cold, suspect or warm.

    Args:
        service: Name of the service.
        ctx: Dependencies and settings of the slots of this host.
        on_change: Called with a target whose share may have changed.

    Attributes:
        entries: Entries of the service by target name.
        others: The other hosts of the serving set, with their incarnations.
        epoch: Epoch of the view last applied; -1 before the first.
    """

    __slots__ = (
        '_on_change',
        '_cold_start',
        '_ctx',
        '_max_deadline_s',
        '_me',
        '_service',
        'entries',
        'epoch',
        'others',
    )

    def __init__(
        self,
        service: str,
        ctx: context.Context,
        on_change: abc.Callable[[entry_.Entry], None],
    ) -> None:
        self._service = service
        self._ctx = ctx
        self._on_change = on_change
        self._me = ctx.membership.me.host
        self._cold_start = documents.ColdStart()
        self._max_deadline_s = _DEFAULT_DEADLINE_S
        self.entries: dict[str, entry_.Entry] = {}
        self.others: dict[str, int] = {}
        self.epoch = -1

    def apply(self, document: documents.ServiceDocument) -> None:
        """Applies the cold start limits and deadlines of a document."""
        self._cold_start = document.cold_start
        deadlines_ms = [route.deadline_ms for route in document.routes]
        if deadlines_ms:
            self._max_deadline_s = max(deadlines_ms) / 1000

    # Ownership.

    def update_owner(
        self,
        entry: entry_.Entry,
        owner: str,
        epoch: int,
        previous_hosts: set[str],
    ) -> None:
        """Applies the owner of a target under a view.

        Args:
            entry: The target.
            owner: Owner under the view.
            epoch: Epoch of the view.
            previous_hosts: Hosts of the previous serving set.
        """
        owned = owner == self._me
        skipped = self.epoch >= 0 and epoch > self.epoch + 1
        gained = owned and (not entry.owned or skipped)
        lost = entry.owned and not owned
        if owner != entry.owner:
            entry.informed.clear()
        entry.owner = owner
        entry.owned = owned
        state = entry.state
        if lost and state.phase in (Phase.WARMING, Phase.SUSPECT):
            self._stop(entry, Phase.COLD)
        if gained and state.phase is not Phase.WARM:
            self._gain_ownership(entry, epoch, previous_hosts)

    def _gain_ownership(
        self, entry: entry_.Entry, epoch: int, previous_hosts: set[str]
    ) -> None:
        """Holds a newly owned target until no other host has requests on it.

        The first epoch needs no hold: the target had no owner before, and the
        requests of an earlier process of this host ended with that process.
        """
        self._stop(entry, Phase.COLD)
        entry.pulled = False
        entry.awaiting_gains = epoch > 1
        if epoch > 1:
            entry.unconfirmed = (previous_hosts | set(self.others)) - {self._me}
            entry.cold_hold_until_s = float('inf')

    def may_send_cold(self, entry: entry_.Entry, now_s: float) -> bool:
        """Returns whether this host may send to a target that is not warm."""
        if not (entry.owned and entry.open and entry.pulled):
            return False
        if entry.unconfirmed and now_s < entry.cold_hold_until_s:
            return False
        membership = self._ctx.membership
        view = membership.view
        if view is None or view.epoch != self.epoch:
            return False
        return (
            self.epoch >= entry.stop_epoch
            and now_s >= entry.backoff_until_s
            and membership.lease_valid()
            and membership.may_use_new_ownership()
        )

    def may_start_cold(self, entry: entry_.Entry, now_s: float) -> bool:
        """Returns whether a request to a target not warm may start now."""
        state = entry.state
        if state.phase is Phase.DRAINING or state.connections == 0:
            return False
        if not self.may_send_cold(entry, now_s):
            return False
        if state.limiter is None:
            state.limiter = warmup.WarmupLimiter(
                state.target.slots, self._cold_start, now_s
            )
        return state.limiter.ready(state.in_flight, now_s)

    def note_cold_start(self, entry: entry_.Entry, now_s: float) -> None:
        """Records the start of a request to a target that is not warm."""
        state = entry.state
        state.limiter.start(now_s)
        if state.phase is Phase.COLD:
            self._set_phase(entry, Phase.WARMING)

    # Evaluation of answers and connections.

    def answered(
        self,
        entry: entry_.Entry,
        report: slots.AttemptReport,
        now_s: float,
        *,
        current: bool,
    ) -> None:
        """Updates the phase of a target after an answer.

        Args:
            entry: The target.
            report: The answer.
            now_s: Time of the answer on the monotonic clock, in seconds.
            current: Whether the request was sent in the current episode of the
                target. If not, the answer is ignored.
        """
        state = entry.state
        if not current:
            return
        if self._process_changed(entry, report):
            return
        slow = self._is_slow(state, report.latency_s)
        if report.draining:
            self.start_draining(entry)
            return
        state.last_answer_s = now_s
        state.last_dispatch_s = now_s - report.latency_s
        state.shed_streak = 0
        if state.phase is Phase.SUSPECT:
            self._resolve_suspect(entry, report, slow)
        elif state.phase is Phase.WARMING:
            self._warm_up(entry, now_s)
        elif state.phase is Phase.WARM:
            self.note_answer_speed(entry, slow=slow)

    def _is_slow(self, state: state_.TargetState, latency_s: float) -> bool:
        return (
            state.slow_average_s > 0
            and latency_s > COLD_LATENCY_FACTOR * state.slow_average_s
        )

    def note_answer_speed(self, entry: entry_.Entry, *, slow: bool) -> None:
        """Counts consecutive slow answers.

        After `COLD_STREAK_ANSWERS` of them the target may be cold.
        """
        state = entry.state
        state.slow_streak = state.slow_streak + 1 if slow else 0
        if state.slow_streak >= COLD_STREAK_ANSWERS:
            self._suspect_cold(entry, 'slow')

    def timed_out(self, entry: entry_.Entry, latency_s: float) -> None:
        """Treats a timeout after `latency_s` seconds as an answer."""
        if entry.state.phase is Phase.WARM:
            slow = self._is_slow(entry.state, latency_s)
            self.note_answer_speed(entry, slow=slow)

    def shed(
        self, entry: entry_.Entry, report: slots.AttemptReport, now_s: float
    ) -> None:
        """Updates the phase of a target after a shed.

        Args:
            entry: The target.
            report: Report of a request within the share of this host.
            now_s: Time of the shed on the monotonic clock, in seconds.
        """
        state = entry.state
        if self._process_changed(entry, report):
            return
        if report.draining:
            self.start_draining(entry)
            return
        if state.phase is Phase.SUSPECT and entry.owned:
            self._become_cold(entry)
            return
        if state.limiter is not None:
            state.limiter.shed(now_s)
            return
        if state.phase is not Phase.WARM:
            return
        if report.running >= state.target.slots:
            return
        state.shed_streak += 1
        if report.running >= 0 or state.shed_streak >= COLD_STREAK_SHEDS:
            self._suspect_cold(entry, 'shed')

    def connection_changed(self, entry: entry_.Entry) -> None:
        """Stops the use of a target whose last connection was lost."""
        state = entry.state
        if state.connections > 0:
            return
        if state.phase is Phase.WARM:
            self._stop(entry, Phase.SUSPECT)
            self._notify_owner(entry, 'connection')
        elif state.phase is Phase.WARMING:
            self._stop(entry, Phase.COLD)
        elif state.phase is Phase.SUSPECT and state.limiter is not None:
            self._stop(entry, Phase.SUSPECT)
        elif state.phase is Phase.DRAINING:
            self._become_cold(entry)

    def _process_changed(
        self, entry: entry_.Entry, report: slots.AttemptReport
    ) -> bool:
        """Stores the incarnation in an answer and detects a restart.

        Returns:
            Whether the target was in use and the answer shows that its process
            was replaced.
        """
        state = entry.state
        if not report.incarnation or report.incarnation == state.incarnation:
            return False
        known = state.incarnation
        state.incarnation = report.incarnation
        if state.phase is Phase.COLD:
            return False
        if not known and state.phase is not Phase.SUSPECT:
            return False
        if state.phase is Phase.WARMING and state.limiter is not None:
            # The process may have been replaced before the warm-up began, so
            # the first answer may show another incarnation.
            if not state.limiter.has_answer:
                return False
            self._stop(entry, Phase.COLD)
            return True
        self._suspect_cold(entry, 'incarnation')
        return True

    def _warm_up(self, entry: entry_.Entry, now_s: float) -> None:
        state = entry.state
        state.limiter.answered(now_s)
        if state.limiter.done and state.connections > 0:
            entry.ramped = True
            self._become_warm(entry)

    def _resolve_suspect(
        self, entry: entry_.Entry, report: slots.AttemptReport, slow: bool
    ) -> None:
        """Makes a suspect target warm or cold after the answer to a probe."""
        if not slow and report.incarnation and entry.state.connections > 0:
            self._become_warm(entry)
        else:
            self._become_cold(entry)

    def _suspect_cold(self, entry: entry_.Entry, reason: str) -> None:
        logging.info(
            'slots: target is suspect, service=%s target=%s reason=%s',
            self._service,
            entry.state.target.name,
            reason,
        )
        if entry.owned:
            self._become_cold(entry)
        else:
            self._stop(entry, Phase.SUSPECT)
            self._notify_owner(entry, reason)

    def start_draining(self, entry: entry_.Entry) -> None:
        """Stops sending new requests to a target that is draining."""
        if entry.state.phase is Phase.DRAINING:
            return
        self._stop(entry, Phase.DRAINING)
        self._notify_owner(entry, 'draining')
        if entry.owned:
            for host in self.others:
                self._ctx.post(host, self.notice(entry, Phase.DRAINING))

    def reset(self, entry: entry_.Entry) -> None:
        """Makes a target cold that left or returned to service."""
        self._become_cold(entry)

    def _become_cold(self, entry: entry_.Entry) -> None:
        """Makes a target cold.

        Its owner sends nothing before the other hosts have confirmed that they
        stopped using the target, or the longest deadline has passed.
        """
        self._stop(entry, Phase.COLD)
        entry.pulled = True
        entry.unconfirmed |= set(self.others)
        now_s = self._ctx.clock.monotonic()
        if not entry.awaiting_gains:
            entry.cold_hold_until_s = now_s + self._max_deadline_s

    def _become_warm(self, entry: entry_.Entry) -> None:
        state = entry.state
        state.limiter = None
        state.proved_generation = state.generation
        entry.unconfirmed.clear()
        entry.informed.clear()
        self._set_phase(entry, Phase.WARM)

    def _stop(self, entry: entry_.Entry, phase: Phase) -> None:
        """Stops using a target; its existing leases become unusable."""
        state = entry.state
        slow_average_s = state.slow_average_s
        entry.episode += 1
        entry.prepared = None
        entry.ramped = False
        entry.informed.clear()
        state.reset_process_state()
        if phase is Phase.SUSPECT and slow_average_s:
            # Kept to decide whether the next answer is slow.
            state.note_latency(slow_average_s)
        self._set_phase(entry, phase)

    def _set_phase(self, entry: entry_.Entry, phase: Phase) -> None:
        changed = entry.state.phase is not phase
        entry.state.phase = phase
        self._on_change(entry)
        if changed:
            self._ctx.events.emit(
                'target-changed',
                service=self._service,
                target=entry.state.target.name,
                phase=str(phase),
            )

    # Messages.

    def notice(self, entry: entry_.Entry, phase: Phase) -> wire.TargetNotice:
        """Returns a notice about a target in the current epoch."""
        return wire.TargetNotice(
            service=self._service,
            target=entry.state.target.name,
            incarnation=entry.state.incarnation,
            phase=str(phase),
            epoch=self.epoch,
        )

    def _notify_owner(self, entry: entry_.Entry, reason: str) -> None:
        if entry.owned or not entry.owner:
            return
        message = wire.TargetSuspect(
            host=self._me,
            service=self._service,
            target=entry.state.target.name,
            incarnation=entry.state.incarnation,
            reason=reason,
        )
        self._ctx.post(entry.owner, message)

    def on_notice(self, sender: str, message: wire.TargetNotice) -> wire.Done:
        """Processes a notice of another host.

        An owner announces a warm target in two steps. Notice `warming` asks
        whether this host has an open connection to the target; notice `warm`
        then states that the process at the end of this connection is warm.
        The owner keeps a connection to the warm process open while this host
        answers the first notice, so both connections lead to the same process,
        however late the second notice arrives.

        Notice `cold` asks this host to stop using the target, and is accepted
        once this host has no requests in flight on it. Notice `draining` says
        that the target gets no new requests.

        Args:
            sender: The host that sent the notice.
            message: The notice.

        Returns:
            Whether the notice was accepted.
        """
        entry = self.entries.get(message.target)
        if entry is None:
            return wire.Done(accepted=message.phase == Phase.COLD)
        if message.phase == Phase.WARMING:
            return wire.Done(accepted=self._prepare(entry, sender, message))
        if message.phase == Phase.WARM:
            return wire.Done(accepted=self._commit(entry, sender, message))
        if message.phase == Phase.COLD:
            return wire.Done(accepted=self._stop_for_owner(entry, message))
        if message.phase == Phase.DRAINING:
            self.start_draining(entry)
            return wire.Done()
        return wire.Done(accepted=False)

    def _prepare(
        self, entry: entry_.Entry, sender: str, message: wire.TargetNotice
    ) -> bool:
        state = entry.state
        if not entry.open or state.connections == 0:
            return False
        if message.epoch < self.epoch or entry.owned:
            return False
        entry.prepared = entry_.Prepared(
            sender, message.incarnation, state.generation
        )
        return True

    def _commit(
        self, entry: entry_.Entry, sender: str, message: wire.TargetNotice
    ) -> bool:
        state = entry.state
        expected = entry_.Prepared(
            sender, message.incarnation, state.generation
        )
        prepared, entry.prepared = entry.prepared, None
        if prepared != expected or state.connections == 0 or not entry.open:
            return False
        if not state.proved_warm():
            state.incarnation = message.incarnation
            self._become_warm(entry)
        return True

    def _stop_for_owner(
        self, entry: entry_.Entry, message: wire.TargetNotice
    ) -> bool:
        """Stops using a target at the request of its owner.

        Returns:
            Whether no request of this host is in flight on it any more.
        """
        if message.epoch < self.epoch or (
            entry.owned and message.epoch == self.epoch
        ):
            return False
        entry.stop_epoch = max(entry.stop_epoch, message.epoch)
        entry.prepared = None
        if entry.state.phase is not Phase.COLD:
            self._stop(entry, Phase.COLD)
        return entry.state.in_flight == 0

    def confirmed(self, entry: entry_.Entry, host: str, episode: int) -> None:
        """Records that a host stopped using a cold target.

        Args:
            entry: The target.
            host: The host.
            episode: Episode of the target in which the host was asked.
        """
        if entry.episode == episode:
            entry.unconfirmed.discard(host)
            self._on_change(entry)

    def on_suspect(self, message: wire.TargetSuspect) -> None:
        """Processes, as the owner, a suspicion reported by another host."""
        entry = self.entries.get(message.target)
        if entry is None or not entry.owned:
            return
        entry.informed.pop(message.host, None)
        state = entry.state
        if message.reason == 'draining':
            self.start_draining(entry)
        elif state.phase is not Phase.WARM:
            return
        elif message.reason == 'connection':
            entry.announce_after_s = self._ctx.clock.monotonic()
        elif message.reason == 'incarnation':
            if message.incarnation != state.incarnation:
                self._become_cold(entry)
        else:
            self._become_cold(entry)

    def warm_proofs(self) -> wire.TargetBatch:
        """Returns notices of the targets that this host proved to be warm."""
        now_s = self._ctx.clock.monotonic()
        return wire.TargetBatch(
            notices=tuple(
                self.notice(entry, Phase.WARM)
                for entry in self.entries.values()
                if entry.state.proved_warm()
                and now_s - entry.state.last_answer_s <= MAX_PROOF_AGE_S
            )
        )

    def proved(self, notice: wire.TargetNotice, generation: int) -> None:
        """Makes a target warm that another host proved to be warm.

        Args:
            notice: The proof.
            generation: Connection generation of this host before the proof was
                requested.
        """
        entry = self.entries.get(notice.target)
        if entry is None or not entry.open or notice.phase != Phase.WARM:
            return
        state = entry.state
        if state.phase not in (Phase.COLD, Phase.SUSPECT) or state.in_flight:
            return
        if state.connections == 0 or state.generation != generation:
            return
        state.incarnation = notice.incarnation
        entry.awaiting_gains = False
        self._become_warm(entry)

    def to_request_proofs(self) -> list[entry_.Entry]:
        """Returns the targets for which no proof was requested yet."""
        return [
            entry
            for entry in self.entries.values()
            if entry.open and not entry.pulled
        ]

    def mark_proofs_requested(self, entry: entry_.Entry) -> None:
        """Records that the other hosts were asked for a proof."""
        entry.pulled = True
        self._on_change(entry)

    # Upkeep.

    def tick(self, now_s: float) -> None:
        """Runs the upkeep of the owned targets that are not warm.

        Sets the end of a hold once the membership permits the use of newly
        owned targets, and recomputes whether requests may start.
        """
        for entry in self.entries.values():
            phase = entry.state.phase
            if phase is Phase.WARM or not entry.owned:
                continue
            if (
                entry.awaiting_gains
                and self._ctx.membership.may_use_new_ownership()
            ):
                entry.awaiting_gains = False
                entry.cold_hold_until_s = now_s + self._max_deadline_s
            if phase is not Phase.DRAINING:
                self._on_change(entry)

    def to_confirm(self, now_s: float) -> list[entry_.Entry]:
        """Returns the cold targets that other hosts may still use.

        These hosts must confirm that they stopped.

        Args:
            now_s: Present time on the monotonic clock, in seconds.
        """
        membership = self._ctx.membership
        return [
            entry
            for entry in self.entries.values()
            if entry.owned
            and entry.open
            and entry.pulled
            and entry.unconfirmed
            and entry.state.phase is Phase.COLD
            and now_s < entry.cold_hold_until_s
            and membership.lease_valid()
            and membership.may_use_new_ownership()
        ]

    def to_announce(self) -> list[entry_.Entry]:
        """Returns the owned warm targets not yet announced to all hosts."""
        return [
            entry
            for entry in self.entries.values()
            if entry.owned
            and entry.open
            and entry.state.proved_warm()
            and entry.informed != self.others
            and entry.state.last_dispatch_s >= entry.announce_after_s
        ]
