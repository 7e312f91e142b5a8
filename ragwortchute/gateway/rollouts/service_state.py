"""Rollout of one service as a host follows it.

Decides which targets may get a request, and counts what it sends and what
comes back.
"""

from collections import abc
import random

import msgspec

from ragwortchute.gateway import eventlog
from ragwortchute.gateway.rollouts import concentration
from ragwortchute.gateway.rollouts import evidence
from ragwortchute.gateway.rollouts import exposure
from ragwortchute.gateway.rollouts import phases
from ragwortchute.gateway.rollouts import recent_responses
from ragwortchute.gateway.rollouts import records
from ragwortchute.gateway.rollouts import sends
from ragwortchute.gateway.rollouts import trust as trust_
from ragwortchute.gateway.rollouts import versions
from ragwortchute.gateway.selection import targets as targets_

# How long a host sends nothing to a version that it suspends on its own.
_SUSPENSION_S = 2.0
# Longest list of versions in a status; targets of others have long been gone.
MAX_REFUSED = 8
# A host that has followed an order for this long knows the other hosts.
_KNOWS_HOSTS_S = 4.0


class Choice(msgspec.Struct, frozen=True):
    """Targets that may get a request.

    Attributes:
        first: Targets to select from.
        second: Targets to select from if none of the first takes it.
    """

    first: list[targets_.Target]
    second: list[targets_.Target] = []


class ServiceState:
    """Rollout of one service as this host follows it.

    Args:
        service: Name of the service.
        share: Share of the requests that a version under observation may get.
        rng: Source of randomness.
        log: Event log.

    Attributes:
        service: Name of the service.
        record: The order and its progress, None if there is no order.
        versions: Versions of the service.
        exposure: Limit on sends to the canary version.
        counters: Responses for the current order.
        old_sends: Requests that may be running at old targets.
        stopped: Whether some host has found the canary version to be bad.
        contact_s: Loop time at which a report was sent that a coordinator has
            replied to.
        seen_s: Loop time at which the order was seen first by any host.
        relayed_s: Loop time at which the record is known to have been the
            newest, by what a coordinator has read.
        longest_duration_s: Longest time of the order, which may be changed.
        phase_since_s: Loop time at which the current phase was learnt.
        urgent: Whether a report is to be sent at once.
        has_news: Whether there are responses of the canary version that have
            not been reported.
        drained_s: Loop time since which nothing can run at old targets, 0
            while something can.
        old_ready: Whether an old target is ready.
        unrestricted: Whether all targets may get requests.
    """

    def __init__(
        self,
        service: str,
        share: float,
        rng: random.Random,
        log: eventlog.EventLog,
        untracked_end_s: float = 0.0,
    ) -> None:
        self.service = service
        self.record: records.Record | None = None
        self.versions = versions.Versions()
        self._share = share
        self._rng = rng
        self._log = log
        self._removed_revision = 0
        self.seen_s = 0.0
        self._clear(0.0)
        self.old_sends = sends.OldSends()
        # When the last send without an order has ended in any case.
        self._untracked_end_s = untracked_end_s
        self.old_ready = True
        self.unrestricted = False

    @property
    def running(self) -> bool:
        """Whether an order has been taken up and has no outcome yet."""
        return self.record is not None and self.record.running

    @property
    def ordered(self) -> str | None:
        """Version that an order without an outcome names, None without one."""
        if self.record is None or self.record.ended:
            return None
        return self.record.version

    def refused_versions(self, phase: records.Phase) -> tuple[str, ...]:
        """Returns the versions that a status tells hosts that start.

        Args:
            phase: Phase of the status; `SUCCEEDED` replaces those in use.
        """
        ended = phase == records.Phase.SUCCEEDED
        replaced = self.versions.used - {self.record.version} if ended else ()
        return self.versions.listed_refused(MAX_REFUSED, replaced)

    def learn_versions(
        self, used: abc.Iterable[str], refused: abc.Iterable[str]
    ) -> None:
        """Follows what another host knows of the versions in use."""
        self.versions.learn(used, refused, self.ordered)
        self.unrestricted = False

    def age_s(self, now_s: float) -> float:
        """Returns the age of the order in seconds."""
        return now_s - self.seen_s

    def note_age(self, age_s: float, now_s: float) -> None:
        """Notes that the order is at least as old as another host says."""
        self.seen_s = min(self.seen_s, now_s - age_s)

    def set_record(
        self,
        record: records.Record,
        now_s: float,
        confirmed_s: float = float('inf'),
    ) -> None:
        """Follows a record unless a later one is known.

        Args:
            record: The record.
            now_s: Loop time in seconds.
            confirmed_s: Loop time until which all orders were known.
        """
        old = self.record
        was_running = old is not None and old.running
        known_revision = old.revision if old else self._removed_revision
        if record.revision <= known_revision:
            return
        is_other = old is None or records.is_other_order(old, record)
        if is_other:
            self._check_missed(now_s, confirmed_s)
        if record.settled_version:
            self.versions.settle(
                record.settled_version,
                succeeded=record.settled_phase == records.Phase.SUCCEEDED,
            )
        self.versions.refuse(
            version for version in record.refused if version != record.version
        )
        if is_other:
            self._begin(old, record, now_s)
        elif record.duration_s != old.duration_s:
            self._log.event(
                'rollout-changed',
                service=self.service,
                version=record.version,
                duration_s=record.duration_s,
            )
        self.longest_duration_s = max(
            self.longest_duration_s, record.duration_s
        )
        if record.running and not was_running:
            # Sends before that are not in the list.
            self.old_sends.note_send(0, self._untracked_end_s)
        self.unrestricted = False
        if old is None or record.phase != old.phase:
            self.phase_since_s = now_s
            self.urgent = True
        self.record = record
        if record.ended:
            self.versions.settle(
                record.version,
                succeeded=record.phase == records.Phase.SUCCEEDED,
            )

    def remove_record(
        self,
        revision: int,
        now_s: float,
        confirmed_s: float = float('inf'),
    ) -> None:
        """Notes that the order was withdrawn.

        Args:
            revision: Revision of the removal.
            now_s: Loop time in seconds.
            confirmed_s: Loop time until which all orders were known.
        """
        if self.record is None or revision < self.record.revision:
            return
        self._check_missed(now_s, confirmed_s)
        if not self.record.ended:
            self._log.event(
                'rollout-withdrawn',
                service=self.service,
                version=self.record.version,
                phase=self.record.phase.name.lower(),
                revision=revision,
            )
            self.versions.withdraw_order(self.record.version)
        self._removed_revision = revision
        self.record = None

    def update_targets(
        self,
        targets: abc.Collection[versions.SeenTarget],
        now_s: float,
        now_ms: int,
        read_s: float = float('inf'),
    ) -> None:
        """Notes which targets are registered.

        Args:
            targets: All targets of the service.
            now_s: Loop time in seconds.
            now_ms: Unix time in milliseconds.
            read_s: Loop time until which all orders are known.
        """
        adopted = self.versions.update(
            targets, self.ordered, now_s, now_ms, read_s, may_ask=True
        )
        for version in adopted:
            self._log.event(
                'rollout-version-used', service=self.service, version=version
            )
        canary = self.record.version if self.running else None
        self.old_ready = any(
            target.ready
            and target.version in self.versions.used
            and target.version != canary
            for target in targets
        )
        self.unrestricted = not self.running and all(
            target.version in self.versions.used for target in targets
        )

    def choose(
        self,
        targets: list[targets_.Target],
        trust: trust_.Trust,
        work_s: float,
        *,
        first_send: bool,
    ) -> Choice:
        """Returns the targets that may get a request.

        Args:
            targets: Targets that may get it otherwise.
            trust: What this host may rely on.
            work_s: Expected processing time of the request in seconds.
            first_send: Whether the request has not been sent before.
        """
        if self.unrestricted and self._may_send_old(trust):
            return Choice(targets)
        version = self.record.version if self.running else None
        used = self.versions.used - {version}
        old = []
        if self._may_send_old(trust):
            old = [
                target
                for target in targets
                if target.entry.software_version in used
            ]
        if version is None or not self._may_send_canary(trust, first_send):
            return Choice(old)
        canary = [
            target
            for target in targets
            if target.entry.software_version == version
        ]
        if self.record.phase < records.Phase.MOVE:
            age_s = self.age_s(trust.now_s)
            sent = self.exposure.requests * trust.hosts * self._share
            running = sent / max(1.0, age_s) * work_s
            canary = concentration.choose(canary, running, age_s, trust.now_s)
        return Choice(canary, old) if canary else Choice(old)

    def admits(
        self, target: targets_.Target, trust: trust_.Trust, *, first_send: bool
    ) -> bool:
        """Returns whether a request may still be sent to a chosen target.

        The phase and the sends of this host may have changed since the choice.
        """
        if self._is_canary(target):
            return self._may_send_canary(trust, first_send)
        return (
            self._may_send_old(trust)
            and target.entry.software_version in self.versions.used
        )

    def note_send(
        self,
        key: abc.Hashable,
        target: targets_.Target,
        latest_end_s: float,
        *,
        first_send: bool,
    ) -> None:
        """Counts a send.

        Args:
            key: Identity of the send.
            target: The target.
            latest_end_s: Loop time at which it has ended in any case.
            first_send: Whether the request had not been sent before.
        """
        if not self.running:
            self._untracked_end_s = max(self._untracked_end_s, latest_end_s)
            return
        canary = self._is_canary(target)
        self.exposure.note_send(first=first_send, canary=canary)
        if not canary:
            self.old_sends.note_send(key, latest_end_s)

    def note_response(
        self,
        target: targets_.Target,
        route: str,
        now_s: float,
        *,
        failed: bool,
        timed: bool,
        slow: bool,
    ) -> None:
        """Counts a response or failure.

        Args:
            target: The target.
            route: Name of the route.
            now_s: Loop time in seconds.
            failed: Whether it failed.
            timed: Whether its duration can be compared.
            slow: Whether it took several times as long as expected.
        """
        if not self.running:
            return
        canary = self._is_canary(target)
        if not canary and target.entry.software_version not in (
            self.versions.used
        ):
            return
        entry = target.entry
        key = evidence.CellKey(
            canary,
            evidence.key_of(route),
            evidence.key_of(entry.failure_domain),
            evidence.group_of(entry.name) if canary else 0,
        )
        self.counters.note(key, failed=failed, timed=timed, slow=slow)
        if canary and self.record.phase < records.Phase.MOVE:
            self.has_news = True
        bad = failed or (timed and slow)
        if self._recent.note(canary=canary, bad=bad):
            self.urgent = True
            if self.record.phase < records.Phase.DRAIN:
                # Later, there is no other version to use.
                self._suspended_until_s = now_s + _SUSPENSION_S
                self._log.event('rollout-suspended', service=self.service)

    def has_drained(self, now_s: float) -> bool:
        """Returns whether nothing of this host can run at an old target."""
        return (
            not self.old_sends.may_run(now_s)
            and self.record is not None
            and self.record.phase == records.Phase.DRAIN
        )

    def _begin(
        self,
        old: records.Record | None,
        record: records.Record,
        now_s: float,
    ) -> None:
        """Starts to follow another order."""
        if old is not None and not old.ended:
            self._log.event(
                'rollout-replaced',
                service=self.service,
                version=old.version,
                by=record.version,
            )
            if old.version != record.version:
                self.versions.withdraw_order(old.version)
        self._clear(now_s)
        if record.version and not record.ended:
            self.versions.begin_order(record.version, now_s)

    def _clear(self, now_s: float) -> None:
        """Forgets all that belongs to one order."""
        self.seen_s = now_s
        self._begun_s = now_s
        self.phase_since_s = now_s
        self.exposure = exposure.Exposure(self._rng)
        self.counters = evidence.Counters()
        self.stopped = False
        self.contact_s = float('-inf')
        self.relayed_s = float('-inf')
        self.longest_duration_s = 0.0
        self.urgent = False
        self.has_news = False
        self.drained_s = 0.0
        self._suspended_until_s = float('-inf')
        self._recent = recent_responses.RecentResponses()

    def _check_missed(self, now_s: float, confirmed_s: float) -> None:
        """Marks the versions as uncertain if an outcome may be missing."""
        if confirmed_s == float('-inf'):
            # A host that has just started has not followed any order.
            return
        unconfirmed_s = now_s - max(confirmed_s, self.relayed_s)
        if phases.may_have_succeeded(self.record, unconfirmed_s):
            self.versions.mark_uncertain()

    def _is_canary(self, target: targets_.Target) -> bool:
        return (
            self.running
            and target.entry.software_version == self.record.version
        )

    def _may_send_old(self, trust: trust_.Trust) -> bool:
        """Returns whether targets of the versions in use get requests."""
        if self.versions.is_open(trust.now_s):
            return False
        if not self.running:
            # A host that has just started can't tell which version is in use.
            return not trust.isolated and (
                trust.has_read or self.versions.single
            )
        if self.record.phase >= records.Phase.DRAIN:
            return False
        if self._is_confirmed(trust):
            return True
        # Later, an outcome may be written that does not wait for this host.
        age_s = self.age_s(trust.now_s)
        in_time = age_s < phases.OLD_BY_CONTACT_UNTIL * self.record.duration_s
        return in_time and self._has_contact(trust)

    def _may_send_canary(self, trust: trust_.Trust, first_send: bool) -> bool:
        """Returns whether targets of the canary version get requests."""
        now_s = trust.now_s
        if self.record.version in self.versions.used:
            # The order names the only version, so there is no other to use.
            return True
        if self.stopped or now_s < self._suspended_until_s:
            return False
        phase = self.record.phase
        if not self._is_confirmed(trust) and not (
            phase >= records.Phase.MOVE and self._has_contact(trust)
        ):
            return False
        if phase >= records.Phase.MOVE:
            return True
        # The limit also holds while no old target is ready; requests beyond it
        # are refused then.
        if not first_send:
            # Repeated sends go to the old version, which is known to work.
            return False
        if phase == records.Phase.OBSERVE:
            return self.exposure.allows(
                exposure.OBSERVE_FRACTION * self._share,
                counts_next=self.old_ready,
            )
        # A host that has just started may know few of the others.
        knows_hosts = now_s - self._begun_s >= _KNOWS_HOSTS_S
        return self.exposure.allows(
            exposure.WIDEN_FRACTION * self._share,
            exposure.WIDEN_SENDS / trust.hosts if knows_hosts else 0.0,
            counts_next=self.old_ready,
        )

    def _is_confirmed(self, trust: trust_.Trust) -> bool:
        """Returns whether the record was the newest a short time ago."""
        return trust.confirmed or trust.now_s - self.relayed_s <= trust_.LEASE_S

    def _has_contact(self, trust: trust_.Trust) -> bool:
        """Returns whether a coordinator that hears most hosts hears this one.

        While the store is down, the host then follows that coordinator.
        """
        return (
            trust.reaches_most
            and trust.now_s - self.contact_s <= trust.contact_lease_s
        )
