"""Transitions between cold and warm, and the messages that go with them."""

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

# A target is taken for cold again after this many answers in a row that are
# slower than the factor times its slow average. With a factor of 4, which is
# how much slower targets get without being cold, half of the slow spells ended
# in a ramp: p99 with random choice at 70 % load was 454 ms, with 10 it is 268.
COLD_FACTOR = 10.0
COLD_STREAK = 4
# A shed without a load report proves little: an overflow request of another
# host may have taken the slot.
SHED_STREAK = 3
# A connection may outlive its process unnoticed when packets are lost, so a
# proof of warmth also needs an answer this recent.
PROOF_AGE_S = 1.0
_DEFAULT_DEADLINE_S = 2.0


class Warmth:
    """Decides when a service's targets are cold, suspect or warm.

    Attributes:
        entries: Entries of the service by target name.
        others: The other hosts of the serving set, with incarnations.
        epoch: Epoch of the view that the entries follow; -1 before the first.
    """

    __slots__ = (
        '_changed',
        '_cold_start',
        '_ctx',
        '_deadline_s',
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
        changed: abc.Callable[[entry_.Entry], None],
    ) -> None:
        self._service = service
        self._ctx = ctx
        self._changed = changed
        self._me = ctx.membership.me.host
        self._cold_start = documents.ColdStart()
        self._deadline_s = _DEFAULT_DEADLINE_S
        self.entries: dict[str, entry_.Entry] = {}
        self.others: dict[str, int] = {}
        self.epoch = -1

    def apply(self, document: documents.ServiceDocument) -> None:
        """Takes over the limits of a document."""
        self._cold_start = document.cold_start
        deadlines_ms = [route.deadline_ms for route in document.routes]
        if deadlines_ms:
            self._deadline_s = max(deadlines_ms) / 1000

    # Ownership.

    def follow(
        self, entry: entry_.Entry, owner: str, epoch: int, before: set[str]
    ) -> None:
        """Takes over the owner of a target under a view.

        Args:
            entry: The target.
            owner: Owner under the view.
            epoch: Epoch of the view.
            before: Hosts of the serving set before.
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
            self._gain(entry, epoch, before)

    def _gain(self, entry: entry_.Entry, epoch: int, before: set[str]) -> None:
        """Closes a target until nobody else can have requests on it.

        In the first epoch nobody owned it before, and an earlier process of
        this host took its requests with it.
        """
        self._stop(entry, Phase.COLD)
        entry.pulled = False
        entry.waits_for_gains = epoch > 1
        if epoch > 1:
            entry.unconfirmed = (before | set(self.others)) - {self._me}
            entry.gate_s = float('inf')

    def may_send_cold(self, entry: entry_.Entry, now_s: float) -> bool:
        """Tells whether this host may send to a target that is not warm."""
        if not (entry.owned and entry.open and entry.pulled):
            return False
        if entry.unconfirmed and now_s < entry.gate_s:
            return False
        membership = self._ctx.membership
        view = membership.view
        if view is None or view.epoch != self.epoch:
            return False
        return (
            self.epoch >= entry.stop_epoch
            and now_s >= entry.backoff_s
            and membership.lease_valid()
            and membership.gains_allowed()
        )

    def cold_ready(self, entry: entry_.Entry, now_s: float) -> bool:
        """Tells whether a request may start on a target that is not warm."""
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

    def cold_started(self, entry: entry_.Entry, now_s: float) -> None:
        """Counts a request that starts on a target that is not warm."""
        state = entry.state
        state.limiter.start(now_s)
        if state.phase is Phase.COLD:
            self._set_phase(entry, Phase.WARMING)

    # What answers and connections show.

    def answered(
        self,
        entry: entry_.Entry,
        report: slots.AttemptReport,
        now_s: float,
        *,
        current: bool,
    ) -> None:
        """Draws conclusions from an answer.

        Args:
            entry: The target.
            report: The answer.
            now_s: Time of the answer.
            current: Whether the request was sent in the current episode.
        """
        state = entry.state
        if not current:
            return
        if self._other_process(entry, report):
            return
        slow = self._is_slow(state, report.latency_s)
        if report.draining:
            self.drain(entry)
            return
        state.last_answer_s = now_s
        state.last_dispatch_s = now_s - report.latency_s
        state.shed_streak = 0
        if state.phase is Phase.SUSPECT:
            self._judge(entry, report, slow)
        elif state.phase is Phase.WARMING:
            self._warm_up(entry, now_s)
        elif state.phase is Phase.WARM:
            self.latency(entry, slow=slow)

    def _is_slow(self, state: state_.TargetState, latency_s: float) -> bool:
        return state.slow_s > 0 and latency_s > COLD_FACTOR * state.slow_s

    def latency(self, entry: entry_.Entry, *, slow: bool) -> None:
        """Counts slow answers in a row."""
        state = entry.state
        state.slow_streak = state.slow_streak + 1 if slow else 0
        if state.slow_streak >= COLD_STREAK:
            self._turned_cold(entry, 'slow')

    def timed_out(self, entry: entry_.Entry, latency_s: float) -> None:
        """Counts a request without an answer as a slow answer."""
        if entry.state.phase is Phase.WARM:
            slow = self._is_slow(entry.state, latency_s)
            self.latency(entry, slow=slow)

    def shed(
        self, entry: entry_.Entry, report: slots.AttemptReport, now_s: float
    ) -> None:
        """Draws conclusions from a shed within the share of this host."""
        state = entry.state
        if self._other_process(entry, report):
            return
        if report.draining:
            self.drain(entry)
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
        if report.running >= 0 or state.shed_streak >= SHED_STREAK:
            self._turned_cold(entry, 'shed')

    def connection_changed(self, entry: entry_.Entry) -> None:
        """Stops when the last connection to a target is gone."""
        state = entry.state
        if state.connections > 0:
            return
        if state.phase is Phase.WARM:
            self._stop(entry, Phase.SUSPECT)
            self._tell_owner(entry, 'connection')
        elif state.phase is Phase.WARMING:
            self._stop(entry, Phase.COLD)
        elif state.phase is Phase.SUSPECT and state.limiter is not None:
            self._stop(entry, Phase.SUSPECT)
        elif state.phase is Phase.DRAINING:
            self._become_cold(entry)

    def _other_process(
        self, entry: entry_.Entry, report: slots.AttemptReport
    ) -> bool:
        """Notes the incarnation of an answer; True if it is a new process."""
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
            # The first answer of a ramp may come from a process that
            # replaced the one known before.
            if not state.limiter.begun:
                return False
            self._stop(entry, Phase.COLD)
            return True
        self._turned_cold(entry, 'incarnation')
        return True

    def _warm_up(self, entry: entry_.Entry, now_s: float) -> None:
        state = entry.state
        state.limiter.answered(now_s)
        if state.limiter.done and state.connections > 0:
            entry.ramped = True
            self._become_warm(entry)

    def _judge(
        self, entry: entry_.Entry, report: slots.AttemptReport, slow: bool
    ) -> None:
        """Decides on a suspect target by the answer to a single request."""
        if not slow and report.incarnation and entry.state.connections > 0:
            self._become_warm(entry)
        else:
            self._become_cold(entry)

    def _turned_cold(self, entry: entry_.Entry, reason: str) -> None:
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
            self._tell_owner(entry, reason)

    def drain(self, entry: entry_.Entry) -> None:
        """Stops new work because the target is draining."""
        if entry.state.phase is Phase.DRAINING:
            return
        self._stop(entry, Phase.DRAINING)
        self._tell_owner(entry, 'draining')
        if entry.owned:
            for host in self.others:
                self._ctx.post(host, self.notice(entry, Phase.DRAINING))

    def reset(self, entry: entry_.Entry) -> None:
        """Makes a target cold because it returned to service."""
        self._become_cold(entry)

    def _become_cold(self, entry: entry_.Entry) -> None:
        """Makes a target cold; its owner waits until the others stopped."""
        self._stop(entry, Phase.COLD)
        entry.pulled = True
        entry.unconfirmed |= set(self.others)
        now_s = self._ctx.clock.monotonic()
        if not entry.waits_for_gains:
            entry.gate_s = now_s + self._deadline_s

    def _become_warm(self, entry: entry_.Entry) -> None:
        state = entry.state
        state.limiter = None
        state.proved_generation = state.generation
        entry.unconfirmed.clear()
        entry.informed.clear()
        self._set_phase(entry, Phase.WARM)

    def _stop(self, entry: entry_.Entry, phase: Phase) -> None:
        """Ends the use of a target; leases taken before become unusable."""
        state = entry.state
        slow_s = state.slow_s
        entry.episode += 1
        entry.prepared = None
        entry.ramped = False
        entry.informed.clear()
        state.forget()
        if phase is Phase.SUSPECT and slow_s:
            # Kept to judge whether the next answer is quick.
            state.note_latency(slow_s)
        self._set_phase(entry, phase)

    def _set_phase(self, entry: entry_.Entry, phase: Phase) -> None:
        changed = entry.state.phase is not phase
        entry.state.phase = phase
        self._changed(entry)
        if changed:
            self._ctx.events.emit(
                'target-changed',
                service=self._service,
                target=entry.state.target.name,
                phase=str(phase),
            )

    # Messages.

    def notice(self, entry: entry_.Entry, phase: Phase) -> wire.TargetNotice:
        """Returns a notice of a target under the current epoch."""
        return wire.TargetNotice(
            service=self._service,
            target=entry.state.target.name,
            incarnation=entry.state.incarnation,
            phase=str(phase),
            epoch=self.epoch,
        )

    def _tell_owner(self, entry: entry_.Entry, reason: str) -> None:
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
        """Acts on a notice of another host.

        `warming` asks whether this host holds an open connection; `warm`
        after it states that the process behind that connection is warm. The
        owner held a connection to the warm process while this host answered,
        so the connection of this host leads to the same process, however late
        the second notice arrives. `cold` asks this host to stop; the answer
        is positive once it has nothing in flight.
        """
        entry = self.entries.get(message.target)
        if entry is None:
            return wire.Done(accepted=message.phase == Phase.COLD)
        if message.phase == Phase.WARMING:
            return wire.Done(accepted=self._prepare(entry, sender, message))
        if message.phase == Phase.WARM:
            return wire.Done(accepted=self._commit(entry, sender, message))
        if message.phase == Phase.COLD:
            return wire.Done(accepted=self._give_up(entry, message))
        if message.phase == Phase.DRAINING:
            self.drain(entry)
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

    def _give_up(self, entry: entry_.Entry, message: wire.TargetNotice) -> bool:
        """Stops for the owner; True if nothing is in flight any more."""
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
        """Enters that a host stopped using a cold target."""
        if entry.episode == episode:
            entry.unconfirmed.discard(host)
            self._changed(entry)

    def on_suspect(self, message: wire.TargetSuspect) -> None:
        """Acts, as the owner, on a suspicion of another host."""
        entry = self.entries.get(message.target)
        if entry is None or not entry.owned:
            return
        entry.informed.pop(message.host, None)
        state = entry.state
        if message.reason == 'draining':
            self.drain(entry)
        elif state.phase is not Phase.WARM:
            return
        elif message.reason == 'connection':
            entry.reannounce_s = self._ctx.clock.monotonic()
        elif message.reason == 'incarnation':
            if message.incarnation != state.incarnation:
                self._become_cold(entry)
        else:
            self._become_cold(entry)

    def proofs(self) -> wire.TargetBatch:
        """Returns the targets that this host proves to be warm."""
        now_s = self._ctx.clock.monotonic()
        return wire.TargetBatch(
            notices=tuple(
                self.notice(entry, Phase.WARM)
                for entry in self.entries.values()
                if entry.state.proved_warm()
                and now_s - entry.state.last_answer_s <= PROOF_AGE_S
            )
        )

    def proved(self, notice: wire.TargetNotice, generation: int) -> None:
        """Enters a proof of another host.

        Args:
            notice: The proof.
            generation: Generation of the connections before it was asked for.
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
        entry.waits_for_gains = False
        self._become_warm(entry)

    def to_pull(self) -> list[entry_.Entry]:
        """Returns the targets whose warmth was not asked for yet."""
        return [
            entry
            for entry in self.entries.values()
            if entry.open and not entry.pulled
        ]

    def pulled(self, entry: entry_.Entry) -> None:
        """Enters that the other hosts were asked for proofs."""
        entry.pulled = True
        self._changed(entry)

    # Upkeep.

    def tick(self, now_s: float) -> None:
        """Opens gates whose time has come and admits waiting ramps."""
        for entry in self.entries.values():
            phase = entry.state.phase
            if phase is Phase.WARM or not entry.owned:
                continue
            if entry.waits_for_gains and self._ctx.membership.gains_allowed():
                entry.waits_for_gains = False
                entry.gate_s = now_s + self._deadline_s
            if phase is not Phase.DRAINING:
                self._changed(entry)

    def to_confirm(self, now_s: float) -> list[entry_.Entry]:
        """Returns the cold targets whose other users must confirm."""
        membership = self._ctx.membership
        return [
            entry
            for entry in self.entries.values()
            if entry.owned
            and entry.open
            and entry.pulled
            and entry.unconfirmed
            and entry.state.phase is Phase.COLD
            and now_s < entry.gate_s
            and membership.lease_valid()
            and membership.gains_allowed()
        ]

    def to_announce(self) -> list[entry_.Entry]:
        """Returns the warm targets of this owner that others must know of."""
        return [
            entry
            for entry in self.entries.values()
            if entry.owned
            and entry.open
            and entry.state.proved_warm()
            and entry.informed != self.others
            and entry.state.last_dispatch_s >= entry.reannounce_s
        ]
