"""What a host that coordinates a rollout knows of the others.

The first two live hosts by name collect reports. The first one decides; the
second one does if it no longer hears the first, or if that can't write.
"""

from collections import abc

import msgspec

from ragwortchute.gateway.rollouts import evidence
from ragwortchute.gateway.rollouts import judgement
from ragwortchute.gateway.rollouts import messages
from ragwortchute.gateway.rollouts import phases
from ragwortchute.gateway.rollouts import records
from ragwortchute.gateway.rollouts import service_state

# A host whose heartbeats and reports are older than this is not heard.
SILENT_S = 4.0
# A host is not waited for at the end of a rollout if it was not heard for this
# long beyond the time for which it acts on the contact with a coordinator.
_SILENT_MARGIN_S = 0.8
# A host that reaches neither the store nor any other host, and has not learnt
# of an order, refuses requests after this time.
ISOLATION_S = 6.0
# Longest difference of the ages that hosts measure, and delay of a message.
_MARGIN_S = 0.25
# After this time in the last phase, hosts that have just started are known.
_MIN_DRAIN_S = 2.0
# Reports are fresh for this many intervals.
_FRESH_INTERVALS = 3.0
# The evidence is judged anew at most this often.
_JUDGE_INTERVAL_S = 0.25
# Share of sends to old targets below which the requests have moved.
_MOVED_SHARE = 0.05


class Neighbour(msgspec.Struct, frozen=True):
    """Another host that may be alive.

    Attributes:
        name: Name of the host.
        incarnation: Its incarnation.
        heard_s: Loop time at which its last heartbeat was sent.
        discovered_s: Loop time at which this incarnation was learned of.
    """

    name: str
    incarnation: int
    heard_s: float
    discovered_s: float


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
    """

    def __init__(self, order_id: int) -> None:
        self.order_id = order_id
        self.evidence = evidence.Evidence()
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

    def is_fresh(self, now_s: float, interval_s: float) -> bool:
        """Returns whether most hosts have reported recently.

        Args:
            now_s: Loop time in seconds.
            interval_s: Time between two reports of a host in seconds.
        """
        fresh = [
            host
            for host in self._hosts.values()
            if now_s - host.received_s <= interval_s * _FRESH_INTERVALS
        ]
        return 2 * len(fresh) > len(self._hosts)

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
            if now_s - host.received_s < SILENT_S
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
        neighbours: abc.Iterable[Neighbour],
        longest_s: float,
        contact_lease_s: float,
        now_s: float,
    ) -> bool:
        """Returns whether no request of any host can run at an old target.

        A host that is heard must have said so. One that is not heard has
        stopped to act on an old copy of the record after `LEASE_S`.

        Args:
            state: The rollout as this host follows it.
            neighbours: The other hosts that may be alive.
            longest_s: Longest time that a request may take, in seconds.
            contact_lease_s: See `service_state.Trust`.
            now_s: Loop time in seconds.
        """
        if now_s < state.phase_since_s + _MIN_DRAIN_S:
            return False
        if not state.has_drained(now_s):
            return False
        return all(
            self._neighbour_has_drained(
                item, state, longest_s, contact_lease_s, now_s
            )
            for item in neighbours
        )

    def _neighbour_has_drained(
        self,
        neighbour: Neighbour,
        state: service_state.ServiceState,
        longest_s: float,
        contact_lease_s: float,
        now_s: float,
    ) -> bool:
        known = self._hosts.get(neighbour.name)
        ends_s = longest_s + _MARGIN_S
        # Nobody sends to an old target later without having contact.
        last_end_s = state.phase_since_s + service_state.LEASE_S + ends_s
        if (
            known is not None
            and known.report.drained
            and known.report.revision >= state.record.revision
            and known.report.incarnation >= neighbour.incarnation
        ):
            # Requests of an earlier incarnation may still be running.
            return known.was_drained or now_s >= min(
                neighbour.discovered_s + ends_s, last_end_s
            )
        heard_s = neighbour.heard_s
        if known is not None:
            heard_s = max(heard_s, known.received_s)
        if now_s - heard_s < contact_lease_s + _SILENT_MARGIN_S:
            return False
        if known is None and now_s < heard_s + ISOLATION_S + ends_s:
            return False
        return now_s >= last_end_s

    def situation(
        self,
        state: service_state.ServiceState,
        neighbours: abc.Collection[Neighbour],
        *,
        longest_s: float,
        interval_s: float,
        contact_lease_s: float,
        reaches_most: bool,
        obstacle: str,
        warm: bool,
        now_s: float,
    ) -> phases.Situation:
        """Returns what the next step of the rollout depends on.

        Args:
            state: The rollout as this host follows it.
            neighbours: The other hosts that may be alive.
            longest_s: Longest time that a request may take, in seconds.
            interval_s: Time between two reports of a host in seconds.
            contact_lease_s: See `service_state.Trust`.
            reaches_most: Whether this host hears most of the others.
            obstacle: Why there is nothing to judge, empty if there is.
            warm: Whether no target of the new version is cold.
            now_s: Loop time in seconds.
        """
        record = state.record
        if now_s - self._judged_s >= _JUDGE_INTERVAL_S:
            self._judged_s = now_s
            self._verdict = judgement.judge(
                self.evidence.buckets, record.duration_s * phases.HALF
            )
        drained = (
            record.phase == records.Phase.DRAIN
            and reaches_most
            and self.has_drained(
                state, neighbours, longest_s, contact_lease_s, now_s
            )
        )
        return phases.Situation(
            record,
            state.age_s(now_s) / record.duration_s,
            self._verdict,
            self.is_fresh(now_s, interval_s),
            state.stopped,
            record.phase == records.Phase.MOVE
            and (warm or self.has_moved(record.revision, now_s)),
            drained,
            obstacle,
        )
