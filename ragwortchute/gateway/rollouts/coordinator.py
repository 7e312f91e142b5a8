"""What a host that coordinates a rollout knows of the others.

The first two live hosts by name collect reports. The first one decides; the
second one does if it no longer hears the first, or if that can't write.
"""

import msgspec

from ragwortchute.gateway.rollouts import evidence
from ragwortchute.gateway.rollouts import judgement
from ragwortchute.gateway.rollouts import messages
from ragwortchute.gateway.rollouts import neighbours as neighbours_
from ragwortchute.gateway.rollouts import phases
from ragwortchute.gateway.rollouts import records
from ragwortchute.gateway.rollouts import service_state
from ragwortchute.gateway.rollouts import trust

# A host is not waited for at the end of a rollout if it was not heard for this
# long beyond the time for which it acts on the contact with a coordinator.
_SILENT_MARGIN_S = 0.8
# Longest difference of the ages that hosts measure, and delay of a message.
_MARGIN_S = 0.25
# The age of an order may be this much lower at a host that has not heard of it
# from others yet.
_AGE_LAG_S = 0.75
# Reports are fresh for this many intervals.
_FRESH_INTERVALS = 3.0
# A host that has not reported for this many is silent. With a tenth of the
# messages lost, one of 100,000 hosts is taken for silent wrongly.
_SILENT_INTERVALS = 5.0
# The evidence is judged anew at most this often.
_JUDGE_INTERVAL_S = 0.25
# Counters that are judged per second. A judgement looks at all of them, which
# are 10,000 after the move with many routes and much load; no request is served
# meanwhile.
_JUDGED_CELLS_PER_S = 8000.0
# Share of sends to old targets below which the requests have moved.
_MOVED_SHARE = 0.05


class _HostReport(msgspec.Struct):
    """What a host has reported last.

    Attributes:
        report: The report.
        received_s: Loop time of its arrival.
        new_requests: Requests sent since the report before.
        new_canary_sends: Sends to the canary version since then.
        was_drained: Whether earlier incarnations of the host, if any, had
            drained before they ended.
    """

    report: messages.Report
    received_s: float
    new_requests: int = 0
    new_canary_sends: int = 0
    was_drained: bool = True


class Coordinator:
    """Evidence of all hosts for one order.

    Args:
        order_id: Identity of the order.

    Attributes:
        order_id: Identity of the order.
        evidence: The evidence.
        drained_s: Loop time since which no request can run at an old target,
            infinite while one can.
    """

    def __init__(self, order_id: int) -> None:
        self.order_id = order_id
        self.evidence = evidence.Evidence()
        self.drained_s = float('inf')
        self._hosts: dict[str, _HostReport] = {}
        self._verdict = judgement.Verdict()
        self._judged_s = float('-inf')

    def note_report(
        self, sender: str, report: messages.Report, age_s: float, now_s: float
    ) -> None:
        """Adds a report of a host, unless a later one is known.

        Args:
            sender: Name of the host.
            report: The report.
            age_s: Age of the order in seconds.
            now_s: Loop time in seconds.
        """
        if not self.evidence.merge(
            sender, report.incarnation, report.sequence, report.cells, age_s
        ):
            return
        known = self._hosts.get(sender)
        if known is None:
            self._hosts[sender] = _HostReport(report, now_s)
        elif known.report.incarnation < report.incarnation:
            drained = known.was_drained and known.report.drained
            self._hosts[sender] = _HostReport(
                report, now_s, was_drained=drained
            )
        elif known.report.incarnation == report.incarnation:
            self._hosts[sender] = _HostReport(
                report,
                now_s,
                report.requests - known.report.requests,
                report.canary_sends - known.report.canary_sends,
                known.was_drained,
            )

    def evidence_age_s(self, now_s: float) -> float:
        """Returns the mean age of the last reports in seconds."""
        if not self._hosts:
            return float('inf')
        ages_s = [now_s - host.received_s for host in self._hosts.values()]
        return sum(ages_s) / len(ages_s)

    def is_fresh(
        self, view: neighbours_.View, now_s: float, interval_s: float
    ) -> bool:
        """Returns whether a third of the hosts heard has reported recently.

        Heartbeats tell only after 4 s that a host is dead. If more than half of
        the hosts die, a decision that needs reports of most hosts would wait
        for that, and orders would end late.

        Args:
            view: The other hosts that may be alive.
            now_s: Loop time in seconds.
            interval_s: Time between two reports of a host in seconds.
        """
        heard = view.names_heard()
        received_s = [
            host.received_s
            for name, host in self._hosts.items()
            if name in heard
        ]
        oldest_s = now_s - interval_s * _FRESH_INTERVALS
        fresh = [time_s for time_s in received_s if time_s >= oldest_s]
        return 3 * len(fresh) >= len(received_s) > 0

    def _has_silent(
        self, view: neighbours_.View, now_s: float, interval_s: float
    ) -> bool:
        """Returns whether some hosts seem to be dead or cut off."""
        oldest_s = now_s - interval_s * _SILENT_INTERVALS
        return view.heard < view.hosts or any(
            host.received_s < oldest_s for host in self._hosts.values()
        )

    def _judge_interval_s(self) -> float:
        """Returns the time between two judgements of the evidence."""
        cells = sum(len(bucket.cells) for bucket in self.evidence.buckets)
        return max(_JUDGE_INTERVAL_S, cells / _JUDGED_CELLS_PER_S)

    def canary_share(self) -> float:
        """Returns the share of requests that the canary version has got."""
        requests = sum(item.report.requests for item in self._hosts.values())
        sends = sum(item.report.canary_sends for item in self._hosts.values())
        return sends / max(1, requests)

    def has_moved(self, revision: int, now_s: float) -> bool:
        """Returns whether hardly any request goes to old targets.

        That is judged by the hosts that follow the move, which must be most.

        Args:
            revision: Revision of the record with which the move began.
            now_s: Loop time in seconds.
        """
        recent = [
            host
            for host in self._hosts.values()
            if now_s - host.received_s < neighbours_.SILENT_S
        ]
        hosts = [host for host in recent if host.report.revision >= revision]
        if 2 * len(hosts) <= len(recent):
            return False
        requests = sum(host.new_requests for host in hosts)
        canary = sum(host.new_canary_sends for host in hosts)
        return requests - canary <= requests * _MOVED_SHARE

    def has_drained(
        self,
        state: service_state.ServiceState,
        view: neighbours_.View,
        longest_s: float,
        contact_lease_s: float,
        now_s: float,
    ) -> bool:
        """Returns whether no request of any host can run at an old target.

        A host that is heard must have said so. One that is not heard has
        stopped by itself: after `LEASE_S` without the store, and at a given age
        of the order even if it is in contact with another coordinator.

        Args:
            state: The rollout as this host follows it.
            view: The other hosts that may be alive.
            longest_s: Longest time that a request may take, in seconds.
            contact_lease_s: See `trust.Trust`.
            now_s: Loop time in seconds.
        """
        if now_s < state.phase_since_s + phases.MIN_DRAIN_S:
            return False
        if not state.has_drained(now_s):
            return False
        ends_s = longest_s + _MARGIN_S
        hosts = max(view.hosts, self._most_hosts())
        unaware = 0
        for item in view.others():
            if self._has_agreed(item, state, ends_s, now_s):
                continue
            heard_s = self._heard_s(item)
            if now_s - heard_s < contact_lease_s + _SILENT_MARGIN_S:
                return False
            if now_s < _silent_stop_s(state) + ends_s:
                return False
            if item.name not in self._hosts:
                unaware += 1
                if now_s < heard_s + neighbours_.ISOLATION_S + ends_s:
                    return False
        unaware += hosts - view.hosts
        return not unaware or (
            view.others_are_isolated(hosts)
            and now_s >= _unaware_stop_s(state, hosts - view.heard) + ends_s
        )

    def _has_agreed(
        self,
        neighbour: neighbours_.Neighbour,
        state: service_state.ServiceState,
        ends_s: float,
        now_s: float,
    ) -> bool:
        """Returns whether a host has said that it is done with old targets."""
        known = self._hosts.get(neighbour.name)
        if (
            known is None
            or not known.report.drained
            or known.report.revision < state.record.revision
            or known.report.incarnation < neighbour.incarnation
        ):
            return False
        # Requests of an earlier incarnation may still be running.
        return known.was_drained or now_s >= min(
            neighbour.discovered_s + ends_s, _silent_stop_s(state) + ends_s
        )

    def _heard_s(self, neighbour: neighbours_.Neighbour) -> float:
        """Returns the loop time at which a host was last heard."""
        known = self._hosts.get(neighbour.name)
        if known is None:
            return neighbour.heard_s
        return max(neighbour.heard_s, known.received_s)

    def _most_hosts(self) -> int:
        """Returns the highest number of hosts that any host knows.

        A host that has started in a partition does not know the other side.
        """
        return max(
            (item.report.hosts for item in self._hosts.values()), default=0
        )

    def situation(
        self,
        state: service_state.ServiceState,
        view: neighbours_.View,
        *,
        longest_s: float,
        interval_s: float,
        contact_lease_s: float,
        obstacle: str,
        warm: bool,
        now_s: float,
    ) -> phases.Situation:
        """Returns what the next step of the rollout depends on.

        Args:
            state: The rollout as this host follows it.
            view: The other hosts that may be alive.
            longest_s: Longest time that a request may take, in seconds.
            interval_s: Time between two reports of a host in seconds.
            contact_lease_s: See `trust.Trust`.
            obstacle: Why there is nothing to judge, empty if there is.
            warm: Whether no target of the new version is cold.
            now_s: Loop time in seconds.
        """
        record = state.record
        if now_s - self._judged_s >= self._judge_interval_s():
            self._judged_s = now_s
            self._verdict = judgement.judge(
                self.evidence.buckets, record.duration_s * phases.HALF
            )
        drained = record.phase == records.Phase.DRAIN and self.has_drained(
            state, view, longest_s, contact_lease_s, now_s
        )
        self.drained_s = min(self.drained_s, now_s) if drained else float('inf')
        return phases.Situation(
            record,
            state.age_s(now_s) / record.duration_s,
            self._verdict,
            self.is_fresh(view, now_s, interval_s),
            state.stopped,
            record.phase == records.Phase.MOVE
            and (warm or self.has_moved(record.revision, now_s)),
            drained,
            obstacle,
            self._has_silent(view, now_s, interval_s),
            state.old_ready,
        )


def _silent_stop_s(state: service_state.ServiceState) -> float:
    """Returns the loop time from which old targets get nothing of silent hosts.

    It holds for hosts that know the order.
    """
    contact_s = phases.OLD_BY_CONTACT_UNTIL * state.longest_duration_s
    return max(
        state.phase_since_s + trust.LEASE_S,
        state.seen_s + contact_s + _AGE_LAG_S,
    )


def _unaware_stop_s(state: service_state.ServiceState, silent: int) -> float:
    """Returns the same for silent hosts that don't know the order.

    They have not read the store since the order was written, and count as
    isolated after some time.

    Args:
        state: The rollout as this host follows it.
        silent: Number of hosts that are not heard.
    """
    alone_s = neighbours_.ISOLATION_S
    return state.seen_s + (
        alone_s if silent == 1 else neighbours_.GROUP_ISOLATION_S
    )
