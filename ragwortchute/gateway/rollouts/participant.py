"""Part of a host in the rollouts of all services, without I/O.

Every host reports what it sees to the first two live hosts by name. These
coordinate: they merge the reports, decide the next phase and have it written
to the store, whose record all hosts follow.
"""

from collections import abc
import random

import msgspec

from ragwortchute import errors
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import model
from ragwortchute.gateway.rollouts import coordinator
from ragwortchute.gateway.rollouts import environment as environment_
from ragwortchute.gateway.rollouts import evidence
from ragwortchute.gateway.rollouts import inquiries
from ragwortchute.gateway.rollouts import messages
from ragwortchute.gateway.rollouts import neighbours
from ragwortchute.gateway.rollouts import phases
from ragwortchute.gateway.rollouts import records
from ragwortchute.gateway.rollouts import rollout_log
from ragwortchute.gateway.rollouts import service_state
from ragwortchute.gateway.rollouts import stops
from ragwortchute.gateway.rollouts import trust as trust_

COORDINATORS = 2
REPORT_INTERVAL_S = 0.5
# Interval of the reports of coordinators, whose replies tell that they live.
COORDINATOR_INTERVAL_S = 0.25
# With more hosts than this, each reports less often, so that a coordinator gets
# no more reports per second.
MAX_HOSTS_AT_INTERVAL = 200
# The second one takes over from one that is silent this long or can't write.
TAKEOVER_S = 0.55
# Hosts that coordinate next, and how often they are told who has the order.
_DEPUTIES = 2
_DEPUTY_INTERVAL_S = 2.0
# A coordinator that replied to a report counts as in contact for this many
# times the interval.
_CONTACT_INTERVALS = 1.5
# After a failed write, a coordinator does not count as able to write for this
# long.
_WRITE_FAILURE_S = 2.0
_NEIGHBOURS_INTERVAL_S = 0.5

# Sends a payload to hosts by name, without a guarantee of delivery.
SendCallback = abc.Callable[[list[str], bytes], None]


class Participant:
    """Part of a host in the rollouts of all services.

    Args:
        me: Entry of this host.
        share: Share of the requests that a version under observation may get.
        environment: What is known of the other hosts and the configuration.
        send: Sends a payload to hosts.
        rng: Source of randomness.
        log: Event log.

    Attributes:
        services: Rollouts by service.
        confirmed_s: Loop time at which the copies of the records are known to
            have been the newest.
        earlier_end_s: Loop time at which requests that an earlier process of
            this host has sent have ended in any case.
    """

    def __init__(
        self,
        me: model.HostEntry,
        share: float,
        environment: environment_.Environment,
        send: SendCallback,
        rng: random.Random,
        log: eventlog.EventLog,
    ) -> None:
        self._me = me
        self._share = share
        self._environment = environment
        self._send = send
        self._log = log
        self._rng = rng
        self._stops = stops.Stops(send, rng, log)
        self._inquiries = inquiries.Inquiries(send, rng, log)
        self._view = neighbours.View(me.name)
        self._viewed_s = float('-inf')
        self._unanswered = neighbours.Unanswered()
        self._coordinators: dict[str, coordinator.Coordinator] = {}
        # Loop time of the last reply of an able coordinator, by service and
        # host.
        self._replied_s: dict[tuple[str, str], float] = {}
        # Loop time of the report that a host has replied to last, by service
        # and host.
        self._reply_to_s: dict[tuple[str, str], float] = {}
        self._sequence = 0
        self._reported_s: dict[str, float] = {}
        self._notified_s: dict[str, float] = {}
        self._write_failed_s = float('-inf')
        # Services whose status is being written.
        self._writing: set[str] = set()
        self.services: dict[str, service_state.ServiceState] = {}
        self.confirmed_s = float('-inf')
        self.earlier_end_s = 0.0

    @property
    def interval_s(self) -> float:
        """Time between two reports in seconds."""
        hosts = self._view.hosts
        return REPORT_INTERVAL_S * max(1.0, hosts / MAX_HOSTS_AT_INTERVAL)

    def _contact_lease_s(self) -> float:
        return max(trust_.LEASE_S, self.interval_s * _CONTACT_INTERVALS)

    def service(self, name: str) -> service_state.ServiceState:
        """Returns the rollout of a service."""
        state = self.services.get(name)
        if state is None:
            state = self.services[name] = service_state.ServiceState(
                name, self._share, self._rng, self._log, self.earlier_end_s
            )
        return state

    def trust(self, now_s: float) -> trust_.Trust:
        """Returns what this host may rely on now."""
        return trust_.Trust(
            now_s,
            self.confirmed_s,
            self._view.reaches_most,
            self._view.is_isolated(now_s - self.confirmed_s),
            self._view.hosts,
            self._contact_lease_s(),
        )

    def set_record(self, record: records.Record, now_s: float) -> None:
        """Follows a record that was read from the store or told of."""
        state = self.service(record.service)
        old = state.record
        state.set_record(record, now_s, self.confirmed_s)
        if state.record is old:
            return
        if old is None or old.phase != state.record.phase:
            rollout_log.log_phase(self._log, state, self.confirmed_s, now_s)
        if record.problem and (old is None or old.problem != record.problem):
            rollout_log.log_problem(self._log, record)

    def remove_record(self, service: str, revision: int, now_s: float) -> None:
        """Notes that an order was withdrawn."""
        if service in self.services:
            self.services[service].remove_record(
                revision, now_s, self.confirmed_s
            )

    def confirm(self, confirmed_s: float) -> None:
        """Notes the loop time until which there was no later record."""
        gap_s = confirmed_s - self.confirmed_s
        if neighbours.ISOLATION_S < gap_s < float('inf'):
            # An order may have come and gone meanwhile.
            for state in self.services.values():
                if state.record is None:
                    state.versions.mark_uncertain()
        self.confirmed_s = max(self.confirmed_s, confirmed_s)

    def note_written(
        self, write: phases.Write, record: records.Record | None, now_s: float
    ) -> None:
        """Notes the end of a write.

        Args:
            write: The write.
            record: The record as read back or as returned by the store, None
                if the store did not answer.
            now_s: Loop time in seconds.
        """
        self._writing.discard(write.record.service)
        if record is None:
            self.note_write_failed(now_s)
            return
        self.set_record(record, now_s)

    def note_write_failed(self, now_s: float) -> None:
        """Notes that the store has not answered a write."""
        self._write_failed_s = now_s

    def forget_writes(self) -> None:
        """Forgets writes that are under way, whose ends are not awaited."""
        self._writing.clear()

    def handle(self, sender: str, payload: bytes, now_s: float) -> None:
        """Handles a message of another host.

        Args:
            sender: Name of the host.
            payload: The message.
            now_s: Loop time in seconds.
        """
        try:
            message = messages.decode(payload)
        except errors.DecodeFailed as exc:
            self._log.event('rollout-malformed', sender=sender, error=str(exc))
            return
        if isinstance(message, messages.Report):
            self._handle_report(sender, message, now_s)
        elif isinstance(message, messages.Reply):
            self._handle_reply(sender, message, now_s)
        elif message.service in self.services:
            state = self.services[message.service]
            if not isinstance(message, messages.Stop):
                age_s = now_s - self.confirmed_s
                self._inquiries.handle(sender, message, state, age_s)
            elif _is_current(state, message.order_id):
                self._stops.begin(state, self._view, now_s)

    def tick(self, now_s: float) -> list[phases.Write]:
        """Sends the reports that are due and decides.

        Args:
            now_s: Loop time in seconds.

        Returns:
            Statuses to be written. Until `note_written` is called for one, no
            other one of its service is returned.
        """
        active = [
            state
            for state in self.services.values()
            if state.record is not None and not state.record.ended
        ]
        self._update_neighbours(now_s)
        for state in self.services.values():
            self._inquiries.ask_if_due(state, self._view, now_s)
        for name in self._coordinators.keys() - {
            item.service for item in active
        }:
            del self._coordinators[name]
        writes = []
        for state in active:
            if state.running:
                self._report_if_due(state, now_s)
                self._stops.repeat(state, self._view, now_s)
            write = self._coordinate(state, now_s)
            if write is not None:
                self._writing.add(state.service)
                writes.append(write)
        return writes

    def coordinator(
        self, state: service_state.ServiceState
    ) -> coordinator.Coordinator:
        """Returns the evidence for the current order of a service."""
        known = self._coordinators.get(state.service)
        if known is None or known.order_id != state.record.order_id:
            known = coordinator.Coordinator(state.record.order_id)
            self._coordinators[state.service] = known
        return known

    # Messages.

    def _report_if_due(
        self, state: service_state.ServiceState, now_s: float
    ) -> None:
        reported_s = self._reported_s.get(state.service, float('-inf'))
        drained = state.has_drained(now_s)
        if drained and not state.drained_s:
            state.drained_s = now_s
            state.urgent = True
        self._notify_deputies(state, now_s)
        elapsed_s = now_s - reported_s
        is_due = state.urgent or elapsed_s >= self._report_interval_s(state)
        if not is_due and not (drained and elapsed_s >= REPORT_INTERVAL_S):
            return
        names = self._view.receivers(COORDINATORS)
        if not is_due:
            names = self._without_news(state, names)
            if not names:
                return
        early_s = 0.0
        if state.urgent and self.interval_s > REPORT_INTERVAL_S:
            # All hosts learn of a phase at the same time. Their next reports
            # are spread, or the responses of the old version would arrive in
            # other periods than those of the canary version.
            early_s = self._rng.uniform(0.0, self.interval_s)
        state.urgent = False
        state.has_news = False
        self._reported_s[state.service] = now_s - early_s
        cells = evidence.pack(state.counters.next_cells())
        report = self._report(state, cells, now_s)
        if self._view.rank < COORDINATORS:
            self._handle_report(self._me.name, report, now_s)
        for name in names:
            self._unanswered.note_sent(name, now_s)
        if names:
            self._send(names, messages.encode(report))

    def _notify_deputies(
        self, state: service_state.ServiceState, now_s: float
    ) -> None:
        """Tells those that would coordinate next that this host has the order.

        If both coordinators die, others need not take it for a host that does
        not know the order, which they would have to wait for longer.
        """
        notified_s = self._notified_s.get(state.service, float('-inf'))
        if now_s - notified_s < _DEPUTY_INTERVAL_S:
            return
        self._notified_s[state.service] = now_s
        names = self._view.first(COORDINATORS + _DEPUTIES)[COORDINATORS:]
        names = [name for name in names if name != self._me.name]
        if names:
            report = self._report(state, b'', now_s)
            self._send(names, messages.encode(report))

    def _report(
        self, state: service_state.ServiceState, cells: bytes, now_s: float
    ) -> messages.Report:
        self._sequence += 1
        return messages.Report(
            state.service,
            state.record.order_id,
            self._me.incarnation,
            self._sequence,
            int(now_s * 1000),
            int(state.age_s(now_s) * 1000),
            state.record.revision,
            state.has_drained(now_s),
            state.exposure.requests,
            state.exposure.canary_sends,
            cells,
            self._view.hosts,
        )

    def _report_interval_s(self, state: service_state.ServiceState) -> float:
        """Returns the time between two reports of this host in seconds."""
        if self._view.rank < COORDINATORS:
            # The coordinators must hear each other in time for a takeover.
            return COORDINATOR_INTERVAL_S
        return REPORT_INTERVAL_S if state.has_news else self.interval_s

    def _without_news(
        self, state: service_state.ServiceState, names: list[str]
    ) -> list[str]:
        """Returns the coordinators that do not know yet what they wait for.

        That is that nothing of this host can run at an old target.
        """
        if not state.drained_s:
            return []
        return [
            name
            for name in names
            if self._reply_to_s.get((state.service, name), 0.0)
            < state.drained_s
        ]

    def _handle_report(
        self, sender: str, report: messages.Report, now_s: float
    ) -> None:
        state = self.services.get(report.service)
        if state is None or not _is_current(state, report.order_id):
            return
        state.note_age(report.age_ms / 1000, now_s)
        self.coordinator(state).note_report(
            sender, report, state.age_s(now_s), now_s
        )
        if state.stopped and sender != self._me.name:
            # It may have started, or been cut off, while hosts told of it.
            stop = messages.Stop(state.service, report.order_id)
            self._send([sender], messages.encode(stop))
        if self._view.rank >= COORDINATORS:
            return
        reply = messages.Reply(
            state.service,
            report.order_id,
            report.sent_ms,
            int(state.age_s(now_s) * 1000),
            state.record.revision,
            state.record.phase,
            self._view.reaches_most,
            self._is_able(now_s),
            self._confirmed_age_ms(now_s),
        )
        if sender == self._me.name:
            self._handle_reply(sender, reply, now_s)
        else:
            self._send([sender], messages.encode(reply))

    def _handle_reply(
        self, sender: str, reply: messages.Reply, now_s: float
    ) -> None:
        state = self.services.get(reply.service)
        if state is None or not _is_current(state, reply.order_id):
            return
        self._unanswered.note_reply(sender)
        state.note_age(reply.age_ms / 1000, now_s)
        self._reply_to_s[state.service, sender] = reply.sent_ms / 1000 + 0.001
        if reply.able:
            self._replied_s[state.service, sender] = now_s
        phase = messages.phase_of(reply)
        record = state.record
        if reply.revision > record.revision and phase > record.phase:
            self.set_record(
                msgspec.structs.replace(
                    record, revision=reply.revision, phase=phase
                ),
                now_s,
            )
        if reply.revision == state.record.revision:
            relayed_ms = reply.sent_ms - reply.confirmed_age_ms
            state.relayed_s = max(state.relayed_s, relayed_ms / 1000)
        if reply.reaches_most and reply.revision >= state.record.revision:
            state.contact_s = max(state.contact_s, reply.sent_ms / 1000)

    # Coordination.

    def _update_neighbours(self, now_s: float) -> None:
        # A host that knows no other looks for one in each tick, as it can't ask
        # which versions are in use before.
        alone = self._view.hosts == 1
        if alone or now_s - self._viewed_s >= _NEIGHBOURS_INTERVAL_S:
            self._viewed_s = now_s
            known = self._environment.neighbours(now_s)
            self._view.update(known, self._unanswered.passed_over(now_s), now_s)

    def _confirmed_age_ms(self, now_s: float) -> int:
        """Returns how long ago the copies of the records were the newest."""
        age_s = now_s - self.confirmed_s
        return int(min(age_s * 1000 + 1, messages.UNCONFIRMED_MS))

    def _is_able(self, now_s: float) -> bool:
        """Returns whether this host can read and write the store."""
        can_read = now_s - self.confirmed_s <= trust_.LEASE_S
        return can_read and now_s - self._write_failed_s > _WRITE_FAILURE_S

    def _leads(self, state: service_state.ServiceState, now_s: float) -> bool:
        """Returns whether this host decides on an order now."""
        rank = self._view.rank
        if rank >= COORDINATORS:
            return False
        quiet_since_s = max(
            (
                self._replied_s.get((state.service, name), float('-inf'))
                for name in self._view.first(rank)
            ),
            default=float('-inf'),
        )
        if rank:
            quiet_since_s = max(
                quiet_since_s,
                self._view.ranked_since_s,
                now_s - state.age_s(now_s),
            )
        return now_s - quiet_since_s > TAKEOVER_S * rank

    def _coordinate(
        self, state: service_state.ServiceState, now_s: float
    ) -> phases.Write | None:
        """Returns the write of the next step, None if none is due."""
        if self._view.rank >= COORDINATORS:
            return None
        situation = self.coordinator(state).situation(
            state,
            self._view,
            longest_s=self._environment.longest_s(state.service),
            interval_s=self.interval_s,
            contact_lease_s=self._contact_lease_s(),
            obstacle=self._environment.obstacle(
                state.service, state.record.version
            ),
            warm=self._environment.is_warm(
                state.service, state.record.version, now_s
            ),
            now_s=now_s,
        )
        if state.running and situation.verdict.bad:
            self._stops.begin(state, self._view, now_s)
        if state.service in self._writing:
            return None
        # The first host may have restarted and then does not know which of the
        # dead hosts had the order.
        drained_s = self.coordinator(state).drained_s
        if not self._leads(state, now_s) and now_s - drained_s < TAKEOVER_S:
            return None
        step = phases.next_step(situation)
        if step is None:
            return None
        rollout_log.log_decision(
            self._log, state, step, situation, self.coordinator(state), now_s
        )
        refused = state.refused_versions(step.phase)
        status = records.make_status(
            state.record, step.phase, step.reason, refused
        )
        return phases.Write(state.record, step, status)


def _is_current(state: service_state.ServiceState, order_id: int) -> bool:
    return state.running and state.record.order_id == order_id
