"""Membership of one region, based on a view that is kept in the store."""

import asyncio
from collections import abc
import dataclasses
import random

from absl import logging
import msgspec

from ragwortchute import clock
from ragwortchute import errors
from ragwortchute import events
from ragwortchute import membership
from ragwortchute import peers
from ragwortchute import stores
from ragwortchute import tasks
from ragwortchute import wire
from ragwortchute.membership import host_list
from ragwortchute.membership import leases
from ragwortchute.membership import rendezvous
from ragwortchute.membership import tree
from ragwortchute.membership import views

_TICK_INTERVAL_S = 0.5
_MIN_WRITE_INTERVAL_S = 1.0
_TAKEOVER_RANK_DELAY_S = 0.5
_BOOTSTRAP_PEERS = 3
_REQUEST_TIMEOUT_S = 1.0
# Size of a heartbeat to a witness that knows the sender: up to 80 bytes with
# its frame, and 52 bytes of TCP/IP headers.
_HEARTBEAT_BYTES = 132
_WITNESS_BYTES_PER_S = 2000
# With fewer than two heartbeats per lease, one lost message would end it.
_HEARTBEATS_PER_LEASE = 2
_HEARTBEATS_PER_SUSPICION = 2.5
# Hosts without contact to half of the members wait this many times as long
# before they remove members or replace the leader.
_MINORITY_DELAY_FACTOR = 3
# Interval of reading the host list in fleets of up to `_LIST_INTERVAL_HOSTS`
# hosts. It grows in proportion to larger fleets, so that the load on the store
# doesn't.
_LIST_INTERVAL_S = 5.0
_LIST_INTERVAL_HOSTS = 13
_REMOTE_INTERVAL_S = 5.0
# Documents reach all hosts within 7 s; until then, hosts may use different
# sizes of a serving set.
_SIZE_CHANGE_DELAY_S = 10.0
# Bounds the cache of serving sets: callers may name services that don't exist.
_MAX_CACHED_SETS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and timeouts of the membership, set by the settings.

    Attributes:
        heartbeat_interval_s: Shortest interval between heartbeats in seconds.
        suspect_s: Shortest silence after which a host is suspected, in
            seconds.
        lease_s: Duration of a lease in seconds.
    """

    heartbeat_interval_s: float = 1.0
    suspect_s: float = 3.0
    lease_s: float = 3.0


@dataclasses.dataclass(slots=True)
class _SetSize:
    """Size of the serving set of a service.

    Attributes:
        size: Current size.
        previous: Size before the last change.
        changed_s: Monotonic time of the last change.
    """

    size: int
    previous: int
    changed_s: float


class RegionalMembership(membership.Membership):
    """Membership based on heartbeats, leases and a view in the store.

    The leader of a region writes its views to the store and distributes them
    down a tree of hosts. Members send heartbeats to the leader and to the
    witnesses, which act as observers for failure detection; the answers of
    the witnesses grant leases.

    Args:
        me: This host.
        store: Client of the object API.
        transport: Sends messages to other hosts and receives theirs.
        time_source: Clock; its monotonic time advances while the process is
            paused.
        rng: Source of jitter and of random choices.
        table: Emits the events `view-changed` and `peer-lost`.
        timing: Intervals and timeouts.
        seeds: Peer addresses by host name, used to find the first view while
            the store is unavailable.

    Attributes:
        digest: Returns the digest of the documents and orders in force.
        on_peer_digest: Called with the host and the digest of each heartbeat
            and each answer received.
        domain_out: Returns whether a failure domain is out.
        writes: Number of views that this host wrote.
        takeovers: Number of times this host replaced the leader.
    """

    def __init__(
        self,
        me: wire.Member,
        store: stores.Store,
        transport: peers.Transport,
        time_source: clock.Clock,
        rng: random.Random,
        table: events.EventTable,
        *,
        timing: Timing = Timing(),  # noqa: B008 - frozen
        seeds: abc.Mapping[str, str] | None = None,
    ) -> None:
        self.digest: abc.Callable[[], int] = lambda: 0
        self.on_peer_digest: abc.Callable[[str, int], None] = lambda *_: None
        self.domain_out: abc.Callable[[str], bool] = lambda _: False
        self.writes = 0
        self.takeovers = 0
        self._me = me
        self._store = store
        self._transport = transport
        self._clock = time_source
        self._rng = rng
        self._events = table
        self._timing = timing
        self._seeds = dict(seeds or {})
        self._view: wire.View | None = None
        self._members: dict[str, wire.Member] = {}
        self._remote_views: dict[str, wire.View] = {}
        self._unreachable_remote_hosts: set[str] = set()
        self._leases = leases.LeaseTable(timing.lease_s)
        self._last_contact_s: dict[str, float] = {}
        self._incarnations: dict[str, int] = {}
        self._suspicion_reports: dict[str, tuple[float, frozenset[str]]] = {}
        self._acknowledged_by: set[str] = set()
        self._join_requests: dict[str, tuple[wire.Member, float]] = {}
        self._host_list = host_list.HostList()
        self._leaving_hosts: set[str] = set()
        self._suspected: frozenset[str] = frozenset()
        self._refusing_hosts: frozenset[str] = frozenset()
        self._domains_out: frozenset[str] = frozenset()
        # Cached, because a serving set is looked up for each call. Cleared
        # when something that the sets depend on changes.
        self._serving_sets: dict[tuple[str, int], list[wire.Member]] = {}
        self._set_sizes: dict[str, _SetSize] = {}
        self._owner_cache: dict[tuple[str, str, int], str] = {}
        self._started_s = time_source.monotonic()
        self._last_tick_s = self._started_s
        self._last_store_access_s = float('-inf')
        self._is_observer = False
        # Whether this process may acknowledge epochs, see
        # `_check_may_acknowledge`.
        self._may_acknowledge = False
        self._confirmed_epochs: dict[str, int] = {}
        self._pending_requests: set[str] = set()
        self._tasks = tasks.BackgroundTasks('membership')
        for host, address in self._seeds.items():
            if host != me.host:
                transport.set_peer_address(host, address)
        table.connect('domain-changed', lambda **_: self._refresh_exclusions())
        transport.on(wire.Heartbeat, self._on_heartbeat)
        transport.on(wire.ViewNotice, self._on_view)
        transport.on(wire.ViewPull, self._on_view_pull)

    @property
    def me(self) -> wire.Member:
        """This host."""
        return self._me

    @property
    def view(self) -> wire.View | None:
        """The adopted view, or None until the first one is adopted."""
        return self._view

    @property
    def listed(self) -> dict[str, stores.ListedHost]:
        """The platform's host list as last read, by host name."""
        return self._host_list.listed

    def live_members(self) -> list[wire.Member]:
        """Returns the members of all regions that aren't suspected to be down.

        In other regions, hosts count as down if they did not answer the last
        heartbeat of this host.
        """
        local = [
            self._with_incarnation(member)
            for member in self._members.values()
            if member.host not in self._suspected
        ]
        remote = [
            self._with_incarnation(member)
            for view in self._remote_views.values()
            for member in view.members
            if member.host not in self._unreachable_remote_hosts
        ]
        return local + remote

    def is_member(self) -> bool:
        """Returns whether the view lists this host with its own address."""
        member = self._members.get(self._me.host)
        return (
            member is not None and member.peer_address == self._me.peer_address
        )

    def serving_set(self, service: str, size: int) -> list[wire.Member]:
        """See base class."""
        key = (service, size)
        if key not in self._serving_sets:
            if len(self._serving_sets) >= _MAX_CACHED_SETS:
                self._serving_sets.clear()
            self._serving_sets[key] = self._compute_serving_set(service, size)
        return list(self._serving_sets[key])

    def lease_valid(self) -> bool:
        """Returns whether this host is a member with a valid lease."""
        return self._leases.valid(self._clock.monotonic()) and self.is_member()

    def may_use_new_ownership(self) -> bool:
        """See base class."""
        return self._leases.earlier_leases_expired(self._clock.monotonic())

    def owner(self, service: str, target: str, size: int) -> str:
        """Returns the host that owns a target while it is cold, or ''.

        For some seconds after a change of `size`, returns '' if the old and
        the new size give different owners, because other hosts may not know
        of the change yet.
        """
        owner = self._cached_owner(service, target, size)
        now_s = self._clock.monotonic()
        known = self._set_sizes.get(service)
        if known is None:
            self._set_sizes[service] = _SetSize(size, size, float('-inf'))
        elif known.size != size:
            self._set_sizes[service] = _SetSize(size, known.size, now_s)
        known = self._set_sizes[service]
        if now_s - known.changed_s >= _SIZE_CHANGE_DELAY_S:
            return owner
        previous = self._cached_owner(service, target, known.previous)
        return owner if owner == previous else ''

    def mark_leaving(self, host: str) -> None:
        """Excludes a host that announced its shutdown from serving sets."""
        self._leaving_hosts.add(host)
        self._serving_sets.clear()

    def set_reachable(self, host: str, reachable: bool) -> None:
        """Excludes a host from serving sets while it refuses connections.

        Leases and views are not affected; they depend on heartbeats only.

        Args:
            host: Name of the host.
            reachable: False if the host's process is gone.
        """
        changed = (
            self._refusing_hosts - {host}
            if reachable
            else (self._refusing_hosts | {host})
        )
        if changed != self._refusing_hosts:
            self._refusing_hosts = changed
            self._serving_sets.clear()

    async def run(self) -> None:
        """Runs the loops of the membership until `stop` is called."""
        await self._tasks.run(
            self._repeat(self._tick, lambda: _TICK_INTERVAL_S),
            self._repeat(self._maintain_view, lambda: _TICK_INTERVAL_S),
            self._repeat(self._send_heartbeats, self._heartbeat_interval_s),
            self._repeat(self._read_host_list, self._list_interval_s),
            self._repeat(self._poll_remote_regions, self._remote_interval_s),
        )

    async def stop(self) -> None:
        """Ends `run`; other hosts notice the missing heartbeats."""
        await self._tasks.stop()

    # Loops.

    async def _repeat(
        self,
        step: abc.Callable[[], abc.Awaitable[None]],
        interval: abc.Callable[[], float],
    ) -> None:
        while True:
            try:
                await step()
            except errors.RagwortchuteError as exc:
                logging.info('membership: periodic step failed, cause=%s', exc)
            except Exception:
                # A loop must not end: without heartbeats, the other hosts
                # remove this one.
                logging.exception('membership: periodic step failed')
            jitter = self._rng.uniform(0.95, 1.0)
            await self._clock.sleep(interval() * jitter)

    def _heartbeat_interval_s(self) -> float:
        fair_s = len(self._members) * _HEARTBEAT_BYTES / _WITNESS_BYTES_PER_S
        longest_s = self._timing.lease_s / _HEARTBEATS_PER_LEASE
        return min(max(self._timing.heartbeat_interval_s, fair_s), longest_s)

    def _suspect_s(self) -> float:
        return max(
            self._timing.suspect_s,
            _HEARTBEATS_PER_SUSPICION * self._heartbeat_interval_s(),
        )

    def _fleet_size_factor(self) -> float:
        hosts = len(self._members) + sum(
            len(view.members) for view in self._remote_views.values()
        )
        return max(1.0, hosts / _LIST_INTERVAL_HOSTS)

    def _list_interval_s(self) -> float:
        return _LIST_INTERVAL_S * self._fleet_size_factor()

    def _remote_interval_s(self) -> float:
        return _REMOTE_INTERVAL_S

    async def _tick(self) -> None:
        self._compensate_pause()
        now_s = self._clock.monotonic()
        if self._view is None:
            return
        self._acknowledge_self(now_s)
        self._leases.check_adoption(now_s, self._removed_hosts())
        self._refresh_exclusions()

    def _acknowledge_self(self, now_s: float) -> None:
        # A previous witness counts even if it is no longer a member.
        if self._may_acknowledge:
            self._leases.record_ack(
                self._me.host,
                self._view.epoch,
                now_s,
                joined=self.is_member(),
            )

    def _compensate_pause(self) -> None:
        """Extends the silence timers by the length of a pause of this process.

        A paused process receives no heartbeats. It must not suspect other
        hosts before it has had time to receive new ones.
        """
        now_s = self._clock.monotonic()
        gap_s = now_s - self._last_tick_s - _TICK_INTERVAL_S
        self._last_tick_s = now_s
        if gap_s > self._timing.suspect_s / 2:
            logging.warning('membership: paused, gap_s=%.1f', gap_s)
            for host in self._last_contact_s:
                self._last_contact_s[host] += gap_s

    # Heartbeats.

    async def _send_heartbeats(self) -> None:
        for host in self._heartbeat_receivers():
            if host not in self._pending_requests:
                self._tasks.spawn(self._send_heartbeat(host))

    def _heartbeat_receivers(self) -> set[str]:
        view = self._view
        if view is None:
            return set()
        hosts = {view.leader}
        if self.is_member():
            hosts.update(view.witnesses)
            if not self.may_use_new_ownership():
                hosts.update(view.previous_witnesses)
        elif self._members:
            # The leader may be down, but any member knows the current epoch.
            hosts.add(self._rng.choice(sorted(self._members)))
        hosts.discard(self._me.host)
        return hosts

    async def _send_heartbeat(self, host: str) -> bool:
        """Sends a heartbeat and returns whether it was answered."""
        view = self._view
        sent_s = self._clock.monotonic()
        member = self._me
        if host in self._acknowledged_by:
            member = self._abbreviated_member()
        heartbeat = wire.Heartbeat(
            member=member,
            epoch=0 if view is None else view.epoch,
            digest=self.digest(),
        )
        self._pending_requests.add(host)
        try:
            ack = await self._transport.request(
                host, heartbeat, timeout_s=_REQUEST_TIMEOUT_S
            )
        except errors.PeerError:
            self._acknowledged_by.discard(host)
            return False
        finally:
            self._pending_requests.discard(host)
        if not isinstance(ack, wire.HeartbeatAck):
            return False
        self._handle_ack(host, ack, sent_s)
        return True

    def _abbreviated_member(self, region: str = '') -> wire.Member:
        """Returns this host without the fields that receivers already know.

        Args:
            region: Region of this host; empty for receivers in the same one.
        """
        return wire.Member('', self._me.incarnation, '', '', '', region)

    def _handle_ack(
        self, host: str, ack: wire.HeartbeatAck, sent_s: float
    ) -> None:
        now_s = self._clock.monotonic()
        self._record_contact(host, ack.incarnation)
        if ack.joined:
            self._acknowledged_by.add(host)
        else:
            self._acknowledged_by.discard(host)
        self._suspicion_reports[host] = (now_s, frozenset(ack.suspects))
        self._leases.record_ack(host, ack.epoch, sent_s, joined=ack.joined)
        if sent_s >= self._earliest_acknowledge_s():
            self._confirmed_epochs[host] = ack.epoch
        self._check_may_acknowledge()
        self._leases.check_adoption(now_s, self._removed_hosts())
        if self._view is not None and ack.epoch > self._view.epoch:
            self._tasks.spawn(self._pull_view(host))
        self.on_peer_digest(host, ack.digest)

    async def _on_heartbeat(
        self, sender: str, heartbeat: wire.Heartbeat
    ) -> wire.Message | None:
        member = heartbeat.member
        if member.host not in ('', sender):
            return None
        view = self._view
        if member.region in ('', self._me.region):
            self._record_contact(sender, member.incarnation)
            self._record_join_request(member)
            if heartbeat.epoch > (0 if view is None else view.epoch):
                self._tasks.spawn(self._pull_view(sender))
        self.on_peer_digest(sender, heartbeat.digest)
        listed_member = self._members.get(sender)
        return wire.HeartbeatAck(
            host='',
            incarnation=self._me.incarnation,
            epoch=view.epoch
            if view is not None and self._may_acknowledge
            else 0,
            digest=self.digest(),
            joined=listed_member is not None
            and member.peer_address in ('', listed_member.peer_address),
            suspects=tuple(sorted(self._silent_members())),
        )

    def _record_contact(self, host: str, incarnation: int) -> None:
        self._last_contact_s[host] = self._clock.monotonic()
        if self._incarnations.get(host) != incarnation:
            self._incarnations[host] = incarnation
            self._serving_sets.clear()
        self._host_list.record_contact(host)

    def _record_join_request(self, member: wire.Member) -> None:
        """Records a request to join from a sender that isn't in the view.

        A sender whose address differs from that in the view counts as well.
        """
        if not member.peer_address:
            return
        known = self._members.get(member.host)
        if known is None or known.peer_address != member.peer_address:
            self._transport.set_peer_address(member.host, member.peer_address)
            now_s = self._clock.monotonic()
            self._join_requests[member.host] = (member, now_s)

    def _silent_members(self) -> set[str]:
        """Returns the members without contact to this observer.

        There is contact if a message arrived within the suspicion time.
        """
        if not self._is_observer:
            return set()
        since_s = self._clock.monotonic() - self._suspect_s()
        return {
            host
            for host in self._members
            if host != self._me.host
            and self._last_contact_s.get(host, 0.0) < since_s
        }

    def _find_suspected(self, now_s: float) -> frozenset[str]:
        """Returns the members that most observers report as silent.

        A member that is in contact with this host itself is not suspected.
        """
        since_s = now_s - self._suspect_s()
        observers = self._observers()
        reports = [
            suspects
            for host, (at_s, suspects) in self._suspicion_reports.items()
            if at_s >= since_s and host in observers
        ]
        if self._is_observer:
            reports.append(frozenset(self._silent_members()))
        return frozenset(
            host
            for host in set().union(*reports)
            if sum(host in item for item in reports) * 2 > len(reports)
            and self._last_contact_s.get(host, 0.0) < since_s
        )

    def _observers(self) -> set[str]:
        """Returns the leader and the witnesses, as far as they are members.

        Only these receive the heartbeats of all members. Other members never
        report a suspicion, so counting their reports would keep a silent host
        from being suspected.
        """
        view = self._view
        if view is None:
            return set()
        return {view.leader, *view.witnesses} & self._members.keys()

    # Acknowledgement of epochs.

    def _earliest_acknowledge_s(self) -> float:
        return self._started_s + leases.CLOCK_MARGIN * self._timing.lease_s

    def _check_may_acknowledge(self) -> None:
        """Allows acknowledgements once a majority confirmed the epoch.

        A restarted witness doesn't know which epoch it had adopted before,
        and must not acknowledge an older one. It may acknowledge again when
        it has read its epoch from the store, or when other witnesses that
        form a majority have confirmed it. Either must happen later than
        `lease_s` after its start, when all leases that its former process
        acknowledged have expired.
        """
        view = self._view
        if self._may_acknowledge or view is None:
            return
        agreeing = sum(
            self._confirmed_epochs.get(host) == view.epoch
            for host in view.witnesses
            if host != self._me.host
        )
        if agreeing >= leases.majority(len(view.witnesses)):
            self._may_acknowledge = True

    # Views.

    async def _on_view(self, sender: str, notice: wire.ViewNotice) -> None:
        self._handle_view(notice.view)

    async def _on_view_pull(
        self, sender: str, pull: wire.ViewPull
    ) -> wire.Message | None:
        return None if self._view is None else wire.ViewNotice(self._view)

    async def _pull_view(self, host: str) -> None:
        key = f'view {host}'
        if key in self._pending_requests:
            return
        self._pending_requests.add(key)
        try:
            answer = await self._transport.request(
                host, wire.ViewPull(), timeout_s=_REQUEST_TIMEOUT_S
            )
        except errors.PeerError as exc:
            logging.info('membership: view request failed, cause=%s', exc)
            return
        finally:
            self._pending_requests.discard(key)
        if isinstance(answer, wire.ViewNotice):
            self._handle_view(answer.view)

    def _handle_view(self, view: wire.View) -> None:
        """Adopts a view of this region, or stores one of another region."""
        if view.region == self._me.region:
            self._adopt(view)
            return
        known = self._remote_views.get(view.region)
        if known is None or view.epoch > known.epoch:
            self._remote_views[view.region] = view
            for member in view.members:
                self._transport.set_peer_address(
                    member.host, member.peer_address
                )

    def _adopt(self, view: wire.View) -> None:
        """Adopts a view of this region if it is newer than the current one."""
        if self._view is not None and view.epoch <= self._view.epoch:
            return
        now_s = self._clock.monotonic()
        removed = set(self._members) - {member.host for member in view.members}
        previous_leader = self._view.leader if self._view is not None else ''
        self._view = view
        self._members = {member.host: member for member in view.members}
        self._owner_cache.clear()
        self._serving_sets.clear()
        self._leases.adopt(view)
        self._reset_silence(previous_leader, now_s)
        for member in view.members:
            if member.host != self._me.host:
                self._transport.set_peer_address(
                    member.host, member.peer_address
                )
                self._last_contact_s.setdefault(member.host, now_s)
        for host in removed:
            self._drop_member(host)
        for host in list(self._join_requests):
            if host in self._members:
                del self._join_requests[host]
        if not self.is_member():
            self._acknowledged_by.clear()
        self._check_may_acknowledge()
        self._acknowledge_self(now_s)
        self._refresh_exclusions()
        self._tasks.spawn(self._send_heartbeats())
        logging.info(
            'membership: view adopted, epoch=%d leader=%s members=%d',
            view.epoch,
            view.leader,
            len(view.members),
        )
        self._events.emit('view-changed', view=view)
        hosts = tree.order(view.leader, list(self._members))
        for host in tree.children(hosts, self._me.host):
            if host != self._me.host:
                self._tasks.spawn(self._send_view(host, view))

    def _reset_silence(self, previous_leader: str, now_s: float) -> None:
        """Restarts the silence timers of hosts that are observed from now on.

        These are all members if this host has just become an observer, and a
        new leader.
        """
        view = self._view
        was_observer = self._is_observer
        self._is_observer = self._me.host in (view.leader, *view.witnesses)
        if self._is_observer and not was_observer:
            for host in self._members:
                self._last_contact_s[host] = now_s
        if view.leader != previous_leader:
            self._last_contact_s[view.leader] = now_s

    def _drop_member(self, host: str) -> None:
        incarnation = self._incarnations.pop(host, 0)
        self._last_contact_s.pop(host, None)
        self._suspicion_reports.pop(host, None)
        self._leaving_hosts.discard(host)
        self._events.emit('peer-lost', host=host, incarnation=incarnation)

    async def _send_view(self, host: str, view: wire.View) -> None:
        try:
            await self._transport.send(host, wire.ViewNotice(view))
        except errors.PeerError as exc:
            # The host learns of the newer epoch by its next heartbeat.
            logging.info('membership: view not sent, cause=%s', exc)

    # Changes of the view.

    async def _maintain_view(self) -> None:
        self._compensate_pause()
        now_s = self._clock.monotonic()
        if now_s - self._last_store_access_s < _MIN_WRITE_INTERVAL_S:
            return
        view = self._view
        if view is None:
            await self._bootstrap(now_s)
            return
        if (
            not self._may_acknowledge
            and now_s >= self._earliest_acknowledge_s()
        ):
            await self._read_view(now_s)
        if not self.is_member():
            await self._rejoin(view, now_s)
        elif view.leader == self._me.host:
            await self._update_members(view, now_s)
        else:
            await self._take_over(view, now_s)

    async def _bootstrap(self, now_s: float) -> None:
        """Adopts the view of the store, creates it, or asks peers for it.

        Peers are asked only if the store is unavailable.
        """
        self._last_store_access_s = now_s
        name = views.object_name(self._me.region)
        try:
            stored = await self._store.get(name)
            if stored is not None:
                self._adopt(views.decode(stored.value))
                return
            view = views.first_view(self._me)
            await self._store.put(name, views.encode(view), expected_version=0)
        except errors.VersionConflict:
            return
        except errors.StoreUnavailable as exc:
            logging.info(
                'membership: store unavailable, asking peers, cause=%s', exc
            )
            hosts = sorted(
                {*self._seeds, *self._host_list.listed} - {self._me.host}
            )
            chosen = self._rng.sample(hosts, min(len(hosts), _BOOTSTRAP_PEERS))
            await asyncio.gather(*[self._pull_view(host) for host in chosen])
            return
        self._may_acknowledge = True
        self.writes += 1
        self._adopt(view)

    async def _read_view(self, now_s: float) -> None:
        """Adopts the view of the store.

        This also allows acknowledgements, if enough time has passed since the
        start of this process; see `_check_may_acknowledge`.
        """
        if now_s - self._last_store_access_s < self._timing.suspect_s / 2:
            return
        self._last_store_access_s = now_s
        stored = await self._store.get(views.object_name(self._me.region))
        if stored is not None:
            stored_view = views.decode(stored.value)
            self._adopt(stored_view)
            if (
                now_s >= self._earliest_acknowledge_s()
                and stored_view.epoch == self._view.epoch
            ):
                self._may_acknowledge = True

    async def _update_members(self, view: wire.View, now_s: float) -> None:
        """Writes the next view, as the leader, if it differs from this one."""
        after_s = self._suspect_s()
        if not self._has_contact_with_half():
            after_s *= _MINORITY_DELAY_FACTOR
        removed = {
            host
            for host in self._members
            if host != self._me.host
            and now_s - self._last_contact_s[host] >= after_s
        }
        self._leases.check_adoption(now_s, self._removed_hosts())
        new = self._next_view(view, now_s, removed)
        if not views.same_content(view, new):
            await self._replace_view(view, new, now_s)

    def _next_view(
        self,
        view: wire.View,
        now_s: float,
        removed: set[str],
        join: abc.Sequence[wire.Member] = (),
    ) -> wire.View:
        self._refresh_exclusions()
        return views.next_view(
            view,
            leader=self._me.host,
            remove=removed,
            join=[*join, *self._pending_joins(now_s, removed)],
            passive=self._domains_out,
            leaving=self._host_list.leaving(),
            witness_change_complete=self._leases.witness_change_complete,
        )

    def _pending_joins(
        self, now_s: float, removed: set[str]
    ) -> list[wire.Member]:
        """Returns the hosts that lately asked to join; drops other requests.

        Args:
            now_s: Monotonic time in seconds.
            removed: Members that the next view removes.
        """
        since_s = now_s - self._suspect_s()
        joining = []
        for host, (member, at_s) in list(self._join_requests.items()):
            known = self._members.get(host)
            if at_s < since_s or (
                known is not None and known.peer_address == member.peer_address
            ):
                del self._join_requests[host]
            # Of two processes with one name, the one in the view stays.
            elif known is None or host in removed:
                joining.append(member)
        return joining

    def _has_contact_with_half(self) -> bool:
        """Returns whether this host is in contact with half of the members.

        More than half count as well, and so does this host itself.
        """
        since_s = self._clock.monotonic() - self._suspect_s()
        in_contact = sum(
            host == self._me.host
            or self._last_contact_s.get(host, 0.0) >= since_s
            for host in self._members
        )
        return in_contact * 2 >= len(self._members)

    async def _take_over(self, view: wire.View, now_s: float) -> None:
        """Replaces the leader if it is silent.

        Each host waits longer than the members before it in the view, so
        that the first one that is alive takes over.
        """
        silent_s = now_s - self._last_contact_s.get(view.leader, now_s)
        hosts = tree.order(view.leader, list(self._members))
        rank = hosts.index(self._me.host) - (hosts[0] == view.leader)
        if silent_s < self._suspect_s() + rank * _TAKEOVER_RANK_DELAY_S:
            return
        await self._probe_members()
        if self._view is not view or self._observers_have_contact(
            view.leader, now_s
        ):
            return
        silent_s = now_s - self._last_contact_s.get(view.leader, now_s)
        if silent_s < self._suspect_s():
            return
        removed = {view.leader}
        if not self._has_contact_with_half():
            if silent_s < _MINORITY_DELAY_FACTOR * self._suspect_s():
                return
            since_s = self._clock.monotonic() - self._suspect_s()
            removed |= {
                host
                for host in self._members
                if host != self._me.host
                and self._last_contact_s[host] < since_s
            }
        logging.warning(
            'membership: replacing silent leader, leader=%s', view.leader
        )
        new = self._next_view(view, now_s, removed)
        if await self._replace_view(view, new, now_s):
            self.takeovers += 1

    def _observers_have_contact(self, host: str, now_s: float) -> bool:
        """Returns whether most observers with recent reports reach a host."""
        since_s = now_s - self._suspect_s()
        observers = self._observers() - {host}
        reports = [
            host in suspects
            for observer, (at_s, suspects) in self._suspicion_reports.items()
            if at_s >= since_s and observer in observers
        ]
        return bool(reports) and sum(reports) * 2 < len(reports)

    async def _probe_members(self) -> None:
        """Sends heartbeats to all members to learn which ones are alive.

        Most members don't send their own heartbeats to this host.
        """
        hosts = [host for host in self._members if host != self._me.host]
        await asyncio.gather(*[self._send_heartbeat(host) for host in hosts])

    async def _rejoin(self, view: wire.View, now_s: float) -> None:
        """Looks for a newer view that may list this host.

        If the platform has removed all members, replaces the view by one with
        this host as the leader.
        """
        await self._read_view(now_s)
        if self._view is not view or self.is_member():
            return
        # In a partition the members are silent too, but still listed.
        if set(self._members) <= self._removed_hosts():
            removed = set(self._members)
            new = self._next_view(view, now_s, removed, join=[self._me])
            await self._replace_view(view, new, now_s)

    async def _replace_view(
        self, view: wire.View, new: wire.View, now_s: float
    ) -> bool:
        """Writes the next view if the store still holds the current one.

        Every attempt reads the store first, so the next attempt finds a write
        whose answer was lost as a newer view.

        Args:
            view: The current view.
            new: The next view.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the next view was written.
        """
        self._last_store_access_s = now_s
        name = views.object_name(self._me.region)
        stored = await self._store.get(name)
        version = 0
        if stored is not None:
            version = stored.version
            stored_view = views.decode(stored.value)
            if stored_view.epoch != view.epoch:
                # Adopted if newer. An older one comes from a stale replica of
                # the store.
                self._adopt(stored_view)
                return False
        try:
            await self._store.put(
                name, views.encode(new), expected_version=version
            )
        except errors.VersionConflict:
            logging.info(
                'membership: another host wrote first, epoch=%d', new.epoch
            )
            return False
        self.writes += 1
        self._may_acknowledge = True
        self._adopt(new)
        return True

    # Host list and other regions.

    async def _read_host_list(self) -> None:
        objects = await self._store.list('hosts/')
        listed = [
            msgspec.json.decode(item.value, type=stores.ListedHost)
            for item in objects
        ]
        used = set(self._members)
        if self._view is not None:
            used.update(self._view.witnesses, self._view.previous_witnesses)
        used.discard(self._me.host)
        leaving = self._host_list.leaving()
        self._host_list.update(listed, used, self._clock.monotonic())
        if self._host_list.leaving() != leaving:
            self._serving_sets.clear()
        for item in listed:
            # For members, the addresses in the view are more recent.
            if item.host not in self._members and item.host != self._me.host:
                self._transport.set_peer_address(item.host, item.peer_address)

    def _removed_hosts(self) -> set[str]:
        return self._host_list.removed(self._clock.monotonic())

    async def _poll_remote_regions(self) -> None:
        """Asks one host of each other region for a newer view."""
        by_region: dict[str, set[str]] = {}
        for item in self._host_list.listed.values():
            by_region.setdefault(item.region, set()).add(item.host)
        for region, view in self._remote_views.items():
            hosts = {member.host for member in view.members}
            by_region.setdefault(region, set()).update(hosts)
        by_region.pop(self._me.region, None)
        for region, hosts in sorted(by_region.items()):
            await self._poll_remote_host(
                region, self._rng.choice(sorted(hosts))
            )
        others = self._seeds.keys() - self._members.keys() - {self._me.host}
        if not by_region and others and self._view is not None:
            await self._pull_view(self._rng.choice(sorted(others)))

    async def _poll_remote_host(self, region: str, host: str) -> None:
        known = self._remote_views.get(region)
        heartbeat = wire.Heartbeat(
            member=self._abbreviated_member(self._me.region),
            epoch=0,
            digest=self.digest(),
        )
        try:
            ack = await self._transport.request(
                host, heartbeat, timeout_s=_REQUEST_TIMEOUT_S
            )
        except errors.PeerError:
            self._unreachable_remote_hosts.add(host)
            return
        if not isinstance(ack, wire.HeartbeatAck):
            return
        self._unreachable_remote_hosts.discard(host)
        self._incarnations[host] = ack.incarnation
        if known is None or ack.epoch > known.epoch:
            await self._pull_view(host)
        self.on_peer_digest(host, ack.digest)

    # Helpers.

    def _compute_serving_set(
        self, service: str, size: int
    ) -> list[wire.Member]:
        excluded = (
            self._suspected | self._leaving_hosts | self._host_list.leaving()
        )
        excluded |= self._refusing_hosts
        live = [
            self._with_incarnation(member)
            for member in self._members.values()
            if member.host not in excluded
            and member.failure_domain not in self._domains_out
        ]
        return rendezvous.spread(service, live, size)

    def _refresh_exclusions(self) -> None:
        """Updates the suspected members and the failure domains that are out.

        Clears the cached serving sets if these have changed.
        """
        suspected = self._find_suspected(self._clock.monotonic())
        domains = {m.failure_domain for m in self._members.values()}
        out = frozenset(name for name in domains if self.domain_out(name))
        if (suspected, out) != (self._suspected, self._domains_out):
            self._suspected, self._domains_out = suspected, out
            self._serving_sets.clear()

    def _cached_owner(self, service: str, target: str, size: int) -> str:
        key = (service, target, size)
        if key not in self._owner_cache:
            self._owner_cache[key] = self._compute_owner(service, target, size)
        return self._owner_cache[key]

    def _compute_owner(self, service: str, target: str, size: int) -> str:
        if self._view is None:
            return ''
        active = [
            member
            for member in self._view.members
            if member.host not in self._view.passive
        ]
        hosts = [m.host for m in rendezvous.spread(service, active, size)]
        ranked = rendezvous.ranked(f'{service}\0{target}', hosts)
        return ranked[0] if ranked else ''

    def _with_incarnation(self, member: wire.Member) -> wire.Member:
        """Returns a member with its latest known incarnation."""
        incarnation = self._incarnations.get(member.host, member.incarnation)
        if member.host == self._me.host:
            incarnation = self._me.incarnation
        if incarnation == member.incarnation:
            return member
        return msgspec.structs.replace(member, incarnation=incarnation)
