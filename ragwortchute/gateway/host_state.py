"""State of a host: configuration, targets and excluded failure domains.

The state is read from the store. Updates carry the revision of the store at
which they were read, and a configuration is never replaced by an older one.
"""

import asyncio
from collections import abc

from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import model
from ragwortchute.gateway import routing
from ragwortchute.gateway.organisations import key_index
from ragwortchute.gateway.peers import failure_reports
from ragwortchute.gateway.resources import upstream as upstream_
from ragwortchute.gateway.selection import targets as targets_

# Names of organisations with unusable names or keys in one line of the log.
MAX_LOGGED_NAMES = 10


class HostState:
    """Configuration, targets and excluded domains as last read.

    Args:
        dialect: Protocol of the targets.
        domains: Region of each failure domain.
        failure_domain: Failure domain of this host.
        log: Event log.

    Attributes:
        region: Region of this host.
        cfg: Configuration in force, None before the first one was read.
        cfg_revision: Revision of the store at which it was read.
        cfg_confirmed_s: Loop time at which it is known to have been the newest.
        table: Routes of the configuration in force.
        keys: Keys of the organisations of the configuration in force.
        limits: Limits of the configuration in force.
        targets: Targets by name.
        domains_out: Failure domains whose targets get no requests.
        upstream: Bounds the connections to targets; None for no bound.
        target_changes: Number of changes of the list of targets.
        deferred: Whether a part of the host still waits for information from
            other hosts before requests may be served.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        domains: dict[str, str],
        failure_domain: str,
        log: eventlog.EventLog,
    ) -> None:
        self._dialect = dialect
        self._domains = domains
        self._failure_domain = failure_domain
        self.region = domains.get(failure_domain, '')
        self._log = log
        self.cfg: model.Configuration | None = None
        self.cfg_revision = 0
        self.cfg_confirmed_s = float('-inf')
        self.table = routing.RouteTable(())
        self.keys = key_index.KeyIndex()
        self.limits = model.Limits()
        self.targets: dict[str, targets_.Target] = {}
        self.domains_out: set[str] = set()
        self.upstream: upstream_.Upstream | None = None
        self.target_changes = 0
        self.deferred = False
        self._completed = asyncio.Event()
        self._targets_read = False
        self._domains_out_read = False
        self._targets_by_service: dict[str, list[targets_.Target]] = {}
        self._targets_by_key: dict[int, targets_.Target] = {}
        self._targets_revision = 0
        self._domains_out_revision = 0
        self._target_revisions: dict[str, int] = {}

    @property
    def has_read(self) -> bool:
        """Whether the configuration, targets and domains have been read."""
        return (
            self.cfg is not None
            and self._targets_read
            and self._domains_out_read
        )

    @property
    def complete(self) -> bool:
        """Whether everything is known that serving requests requires."""
        return self.has_read and not self.deferred

    def set_deferred(self, value: bool) -> None:
        """Sets whether a part still waits before requests may be served."""
        self.deferred = value
        self._signal_if_complete()

    def has_organisations(self) -> bool:
        """Returns whether the configuration in force has organisations."""
        return self.cfg is not None and self.cfg.organisations is not None

    async def wait_complete(self, timeout_s: float) -> bool:
        """Waits until the state is complete.

        Args:
            timeout_s: Longest wait in seconds.

        Returns:
            Whether the state is complete.
        """
        if timeout_s <= 0:
            return self.complete
        try:
            async with asyncio.timeout(timeout_s):
                await self._completed.wait()
        except TimeoutError:
            return False
        return True

    def region_of(self, failure_domain: str) -> str:
        """Returns the region of a failure domain, empty if unknown."""
        return self._domains.get(failure_domain, '')

    def set_configuration(
        self, revision: int, cfg: model.Configuration
    ) -> None:
        """Puts a configuration in force unless it is not newer.

        Args:
            revision: Revision of the store at which it was read.
            cfg: The configuration.
        """
        if self.cfg is not None and revision <= self.cfg_revision:
            return
        self.cfg = cfg
        self.cfg_revision = revision
        self.table = routing.RouteTable(cfg.routes)
        self.keys = key_index.KeyIndex(cfg.organisations, self.keys)
        self.limits = cfg.limits
        for target in self.targets.values():
            target.service = cfg.services.get(target.entry.service)
        self._log.event(
            'configuration',
            version=cfg.version,
            revision=revision,
            routes=len(cfg.routes),
        )
        if cfg.organisations is not None:
            self._log.event(
                'organisations',
                revision=revision,
                count=len(cfg.organisations),
                keys=len(self.keys),
                unusable=self.keys.unusable[:MAX_LOGGED_NAMES],
                shared=self.keys.shared[:MAX_LOGGED_NAMES],
            )
        self._signal_if_complete()

    def set_target(self, entry: model.TargetEntry, revision: int) -> None:
        """Adds or updates a target unless its last change is newer."""
        if self._is_newer_target(entry.name, revision):
            self._upsert(entry, revision)
            self._rebuild_index()

    def remove_target(self, name: str, revision: int) -> None:
        """Removes a target unless its last change is newer.

        Its requests in progress are finished.
        """
        if self._is_newer_target(name, revision) and name in self.targets:
            self._remove(name, revision)
            self._rebuild_index()

    def set_targets(
        self, entries: abc.Iterable[model.TargetEntry], revision: int
    ) -> None:
        """Replaces the list of targets unless a newer one is in force."""
        if revision < self._targets_revision:
            self._log_outdated('targets', revision)
            return
        self._targets_revision = revision
        self._target_revisions.clear()
        known = {entry.name: entry for entry in entries}
        for name in set(self.targets) - set(known):
            self._remove(name, revision)
        for entry in known.values():
            target = self.targets.get(entry.name)
            if target is None or target.entry != entry:
                self._upsert(entry, revision)
        self._rebuild_index()
        self._targets_read = True
        self._signal_if_complete()

    def set_domains_out(
        self, domains: abc.Iterable[str], revision: int
    ) -> None:
        """Replaces the list of excluded domains unless a newer one is known."""
        if revision < self._domains_out_revision:
            self._log_outdated('domains-out', revision)
            return
        self._domains_out_revision = revision
        out = set(domains)
        if out != self.domains_out or not self._domains_out_read:
            self._log.event('domains-out', out=sorted(out), revision=revision)
        self.domains_out = out
        self._domains_out_read = True
        self._signal_if_complete()

    def name_of(self, key: int) -> str:
        """Returns the name of a target by its key, empty if unknown."""
        for target in self.targets.values():
            if target.key == key:
                return target.entry.name
        return ''

    def note_reported_failure(
        self, key: int, weight: float, now_s: float
    ) -> None:
        """Counts a failure of a target that another host has reported.

        Args:
            key: Key of the target in reports.
            weight: Share of a full failure that it counts as, 0 to 1.
            now_s: Loop time in seconds.
        """
        target = self._targets_by_key.get(key)
        if target is not None:
            target.note_reported_failure(now_s, weight)

    def eligible(
        self, service: str, homes: tuple[str, ...]
    ) -> list[targets_.Target]:
        """Returns the targets that may get a request.

        Args:
            service: Name of the service.
            homes: Regions that may serve it; empty allows all.
        """
        return [
            target
            for target in self._targets_by_service.get(service, ())
            if self._may_get(target, homes)
        ]

    def is_eligible(
        self, target: targets_.Target, homes: tuple[str, ...]
    ) -> bool:
        """Returns whether a target that was chosen before may get a request.

        Args:
            target: The target.
            homes: Regions that may serve the request; empty allows all.
        """
        is_current = self.targets.get(target.entry.name) is target
        return is_current and self._may_get(target, homes)

    def _may_get(self, target: targets_.Target, homes: tuple[str, ...]) -> bool:
        return (
            target.entry.ready
            and not target.misdirected
            and target.service is not None
            and target.entry.failure_domain not in self.domains_out
            and (not homes or target.region in homes)
        )

    def targets_by_service(self) -> abc.Mapping[str, list[targets_.Target]]:
        """Returns all targets by service."""
        return self._targets_by_service

    def _is_newer_target(self, name: str, revision: int) -> bool:
        """Returns whether an update of a target is newer than its last one.

        The revision of a removal is kept, too: an older update must not bring
        a target back that has left.
        """
        known = max(self._targets_revision, self._target_revisions.get(name, 0))
        if revision < known:
            self._log_outdated(name, revision)
            return False
        self._target_revisions[name] = revision
        return True

    def _log_outdated(self, subject: str, revision: int) -> None:
        self._log.event('update-outdated', of=subject, revision=revision)

    def _signal_if_complete(self) -> None:
        if self.complete:
            self._completed.set()

    def _upsert(self, entry: model.TargetEntry, revision: int) -> None:
        """Updates a target, or replaces it if the incarnation is another."""
        target = self.targets.get(entry.name)
        if target is not None and _same_incarnation(target.entry, entry):
            target.entry = entry
        else:
            if target is not None:
                target.pool.close()
            target = self._new_target(entry)
            self.targets[entry.name] = target
        if entry.warmup_left_s > 0:
            now_s = asyncio.get_running_loop().time()
            target.cold_until_s = now_s + entry.warmup_left_s
        self._log.event(
            'target',
            target=entry.name,
            service=entry.service,
            ready=entry.ready,
            cold_s=entry.warmup_left_s,
            revision=revision,
        )

    def _remove(self, name: str, revision: int) -> None:
        self.targets.pop(name).pool.close()
        self._log.event('target-gone', target=name, revision=revision)

    def _new_target(self, entry: model.TargetEntry) -> targets_.Target:
        region = self.region_of(entry.failure_domain)
        target = targets_.Target(
            entry,
            self._dialect,
            region,
            same_domain=entry.failure_domain == self._failure_domain,
            same_region=region == self.region,
            upstream=self.upstream,
        )
        if self.cfg is not None:
            target.service = self.cfg.services.get(entry.service)
        return target

    def _rebuild_index(self) -> None:
        targets_by_service: dict[str, list[targets_.Target]] = {}
        for target in self.targets.values():
            targets_by_service.setdefault(target.entry.service, []).append(
                target
            )
        self._targets_by_service = targets_by_service
        self.target_changes += 1
        self._targets_by_key = {
            failure_reports.target_key(name): target
            for name, target in self.targets.items()
        }


def _same_incarnation(old: model.TargetEntry, new: model.TargetEntry) -> bool:
    return (old.born_ms, old.ip, old.port, old.service) == (
        new.born_ms,
        new.ip,
        new.port,
        new.service,
    )
