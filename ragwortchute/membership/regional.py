"""Membership of one region through a view in the store."""

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

_TICK_S = 0.5
_MIN_WRITE_INTERVAL_S = 1.0
_RANK_DELAY_S = 0.5
_START_PEERS = 3
_REQUEST_S = 1.0
# A heartbeat to a witness that knows the sender: up to 80 bytes with its frame
# and 52 bytes of TCP/IP headers.
_HEARTBEAT_BYTES = 132
_WITNESS_BYTES_PER_S = 2000
# With fewer than two heartbeats per lease, one lost message ends the lease.
_HEARTBEATS_PER_LEASE = 2
_HEARTBEATS_PER_SUSPICION = 2.5
# Waiting time of a side that hears fewer than half of the members.
_MINORITY_FACTOR = 3
# Reading periods for fleets up to `_LIST_HOSTS`; they grow with larger ones,
# so the store's load does not.
_LIST_S = 5.0
_LIST_HOSTS = 13
_REMOTE_S = 5.0
# Documents reach all hosts in 7 s; within that time hosts may hold different
# sizes of a serving set.
_SIZE_CHANGE_S = 10.0
# Bounds the kept serving sets: callers may ask for services that don't exist.
_MAX_KEPT_SETS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Times of the membership, in seconds; see the settings."""

    heartbeat_interval_s: float = 1.0
    suspect_s: float = 3.0
    lease_s: float = 3.0


@dataclasses.dataclass(slots=True)
class _Size:
    """Size of a serving set, and the one before it."""

    size: int
    before: int
    changed_s: float


class RegionalMembership(membership.Membership):
    """The view of a region, kept by its members and the store.

    Args:
        me: This host.
        store: Client of the object API.
        transport: Messages to other hosts.
        time_source: Clock; its monotonic time goes on while paused.
        rng: Source of jitter.
        table: Events `view-changed` and `peer-lost` are emitted here.
        timing: Intervals and terms.
        seeds: Peer addresses by host name, for a start without the store.

    Attributes:
        digest: Returns the digest of the documents and orders in force.
        digest_seen: Is told host and digest of each heartbeat and answer.
        domain_out: Tells whether a failure domain is out.
        writes: Views that this host wrote.
        takeovers: Times that this host replaced the leader.
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
        self.digest_seen: abc.Callable[[str, int], None] = lambda *_: None
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
        self._remote: dict[str, wire.View] = {}
        self._remote_silent: set[str] = set()
        self._leases = leases.LeaseTable(timing.lease_s)
        self._heard: dict[str, float] = {}
        self._incarnations: dict[str, int] = {}
        self._opinions: dict[str, tuple[float, frozenset[str]]] = {}
        self._known_by: set[str] = set()
        self._candidates: dict[str, tuple[wire.Member, float]] = {}
        self._list = host_list.HostList()
        self._leaving: set[str] = set()
        self._suspected: frozenset[str] = frozenset()
        self._refusing: frozenset[str] = frozenset()
        self._out: frozenset[str] = frozenset()
        # Serving sets are looked up for each call, so they are kept until
        # something that they depend on changes.
        self._sets: dict[tuple[str, int], list[wire.Member]] = {}
        self._sizes: dict[str, _Size] = {}
        self._owners: dict[tuple[str, str, int], str] = {}
        self._started_s = time_source.monotonic()
        self._ticked_s = self._started_s
        self._written_s = float('-inf')
        self._listening = False
        # Whether this process may acknowledge epochs, see `_check_ready`.
        self._ready = False
        self._ready_acks: dict[str, int] = {}
        self._asking: set[str] = set()
        self._tasks = tasks.TaskOwner('membership')
        for host, address in self._seeds.items():
            if host != me.host:
                transport.learn(host, address)
        table.connect('domain-changed', lambda **_: self._refresh())
        transport.on(wire.Heartbeat, self._on_heartbeat)
        transport.on(wire.ViewNotice, self._on_view)
        transport.on(wire.ViewPull, self._on_pull)

    @property
    def me(self) -> wire.Member:
        """This host."""
        return self._me

    @property
    def view(self) -> wire.View | None:
        """The adopted view, or None before the first."""
        return self._view

    @property
    def listed(self) -> dict[str, stores.ListedHost]:
        """The last host list of the platform."""
        return self._list.listed

    def live_members(self) -> list[wire.Member]:
        """Returns the members of all regions that are not suspected."""
        local = [
            self._current(member)
            for member in self._members.values()
            if member.host not in self._suspected
        ]
        remote = [
            self._current(member)
            for view in self._remote.values()
            for member in view.members
            if member.host not in self._remote_silent
        ]
        return local + remote

    def is_member(self) -> bool:
        """Tells whether the view holds this host under its own address."""
        member = self._members.get(self._me.host)
        return (
            member is not None and member.peer_address == self._me.peer_address
        )

    def serving_set(self, service: str, size: int) -> list[wire.Member]:
        """Returns the hosts of this region that serve a service."""
        key = (service, size)
        if key not in self._sets:
            if len(self._sets) >= _MAX_KEPT_SETS:
                self._sets.clear()
            self._sets[key] = self._find_set(service, size)
        return list(self._sets[key])

    def lease_valid(self) -> bool:
        """Tells whether this host's lease is valid at this instant."""
        return self._leases.valid(self._clock.monotonic()) and self.is_member()

    def gains_allowed(self) -> bool:
        """Tells whether what the current epoch gave is usable."""
        return self._leases.gains_allowed(self._clock.monotonic())

    def owner(self, service: str, target: str, size: int) -> str:
        """Returns the host that owns a target while it is cold, or ''.

        Returns '' for some seconds after a change of `size` if the owner
        differs under both sizes, because other hosts may not know the change.
        """
        owner = self._owner(service, target, size)
        now_s = self._clock.monotonic()
        known = self._sizes.get(service)
        if known is None:
            self._sizes[service] = _Size(size, size, float('-inf'))
        elif known.size != size:
            self._sizes[service] = _Size(size, known.size, now_s)
        known = self._sizes[service]
        if now_s - known.changed_s >= _SIZE_CHANGE_S:
            return owner
        before = self._owner(service, target, known.before)
        return owner if owner == before else ''

    def mark_leaving(self, host: str) -> None:
        """Leaves a host that announced its stop out of serving sets."""
        self._leaving.add(host)
        self._sets.clear()

    def note_reach(self, host: str, reachable: bool) -> None:
        """Leaves a host whose process is gone out of serving sets at once.

        It has no effect on leases and views, which only heartbeats decide.
        """
        changed = (
            self._refusing - {host} if reachable else (self._refusing | {host})
        )
        if changed != self._refusing:
            self._refusing = changed
            self._sets.clear()

    async def run(self) -> None:
        """Takes part in the membership until `stop` is called."""
        await self._tasks.run(
            self._repeat(self._tick, lambda: _TICK_S),
            self._repeat(self._lead, lambda: _TICK_S),
            self._repeat(self._beat_all, self._interval),
            self._repeat(self._read_list, self._list_s),
            self._repeat(self._pull_remote, self._far_s),
        )

    async def stop(self) -> None:
        """Ends `run`; other hosts find out by the missing heartbeats."""
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
                logging.info('membership: step failed, cause=%s', exc)
            except Exception:
                # The loops must go on: without heartbeats the host is lost.
                logging.exception('membership: step failed')
            jitter = self._rng.uniform(0.95, 1.0)
            await self._clock.sleep(interval() * jitter)

    def _interval(self) -> float:
        fair_s = len(self._members) * _HEARTBEAT_BYTES / _WITNESS_BYTES_PER_S
        longest_s = self._timing.lease_s / _HEARTBEATS_PER_LEASE
        return min(max(self._timing.heartbeat_interval_s, fair_s), longest_s)

    def _suspect_s(self) -> float:
        return max(
            self._timing.suspect_s,
            _HEARTBEATS_PER_SUSPICION * self._interval(),
        )

    def _fleet_factor(self) -> float:
        hosts = len(self._members) + sum(
            len(view.members) for view in self._remote.values()
        )
        return max(1.0, hosts / _LIST_HOSTS)

    def _list_s(self) -> float:
        return _LIST_S * self._fleet_factor()

    def _far_s(self) -> float:
        return _REMOTE_S

    async def _tick(self) -> None:
        self._check_pause()
        now_s = self._clock.monotonic()
        if self._view is None:
            return
        self._acknowledge_self(now_s)
        self._leases.check_gains(now_s, self._gone())
        self._refresh()

    def _acknowledge_self(self, now_s: float) -> None:
        # Also counts for the previous witnesses, so membership is no
        # condition here.
        if self._ready:
            self._leases.acknowledged(
                self._me.host,
                self._view.epoch,
                now_s,
                joined=self.is_member(),
            )

    def _check_pause(self) -> None:
        """Shifts the times of silence after a pause of this process.

        A process that was paused heard nobody, so it must not suspect
        anybody before it has listened again.
        """
        now_s = self._clock.monotonic()
        gap_s = now_s - self._ticked_s - _TICK_S
        self._ticked_s = now_s
        if gap_s > self._timing.suspect_s / 2:
            logging.warning('membership: paused, gap_s=%.1f', gap_s)
            for host in self._heard:
                self._heard[host] += gap_s

    # Heartbeats.

    async def _beat_all(self) -> None:
        for host in self._beat_targets():
            if host not in self._asking:
                self._tasks.spawn(self._beat(host))

    def _beat_targets(self) -> set[str]:
        view = self._view
        if view is None:
            return set()
        hosts = {view.leader}
        if self.is_member():
            hosts.update(view.witnesses)
            if not self.gains_allowed():
                hosts.update(view.previous_witnesses)
        elif self._members:
            # Any member knows whether the view has changed.
            hosts.add(self._rng.choice(sorted(self._members)))
        hosts.discard(self._me.host)
        return hosts

    async def _beat(self, host: str) -> bool:
        """Sends a heartbeat and tells whether it was answered."""
        view = self._view
        sent_s = self._clock.monotonic()
        member = self._me
        if host in self._known_by:
            member = self._short()
        beat = wire.Heartbeat(
            member=member,
            epoch=0 if view is None else view.epoch,
            digest=self.digest(),
        )
        self._asking.add(host)
        try:
            ack = await self._transport.request(
                host, beat, timeout_s=_REQUEST_S
            )
        except errors.PeerError:
            self._known_by.discard(host)
            return False
        finally:
            self._asking.discard(host)
        if not isinstance(ack, wire.HeartbeatAck):
            return False
        self._take_ack(host, ack, sent_s)
        return True

    def _short(self, region: str = '') -> wire.Member:
        """Returns this host without what receivers know from its view."""
        return wire.Member('', self._me.incarnation, '', '', '', region)

    def _take_ack(
        self, host: str, ack: wire.HeartbeatAck, sent_s: float
    ) -> None:
        now_s = self._clock.monotonic()
        self._heard_from(host, ack.incarnation)
        if ack.joined:
            self._known_by.add(host)
        else:
            self._known_by.discard(host)
        self._opinions[host] = (now_s, frozenset(ack.suspects))
        self._leases.acknowledged(host, ack.epoch, sent_s, joined=ack.joined)
        if sent_s >= self._earliest_ready_s():
            self._ready_acks[host] = ack.epoch
        self._check_ready()
        self._leases.check_gains(now_s, self._gone())
        if self._view is not None and ack.epoch > self._view.epoch:
            self._tasks.spawn(self._pull(host))
        self.digest_seen(host, ack.digest)

    async def _on_heartbeat(
        self, sender: str, beat: wire.Heartbeat
    ) -> wire.Message | None:
        member = beat.member
        if member.host not in ('', sender):
            return None
        view = self._view
        if member.region in ('', self._me.region):
            self._heard_from(sender, member.incarnation)
            self._consider(member)
            if beat.epoch > (0 if view is None else view.epoch):
                self._tasks.spawn(self._pull(sender))
        self.digest_seen(sender, beat.digest)
        mine = self._members.get(sender)
        return wire.HeartbeatAck(
            host='',
            incarnation=self._me.incarnation,
            epoch=view.epoch if view is not None and self._ready else 0,
            digest=self.digest(),
            joined=mine is not None
            and member.peer_address in ('', mine.peer_address),
            suspects=tuple(sorted(self._silent())),
        )

    def _heard_from(self, host: str, incarnation: int) -> None:
        self._heard[host] = self._clock.monotonic()
        if self._incarnations.get(host) != incarnation:
            self._incarnations[host] = incarnation
            self._sets.clear()
        self._list.heard(host)

    def _consider(self, member: wire.Member) -> None:
        """Remembers a host that wants to join."""
        if not member.peer_address:
            return
        known = self._members.get(member.host)
        if known is None or known.peer_address != member.peer_address:
            self._transport.learn(member.host, member.peer_address)
            now_s = self._clock.monotonic()
            self._candidates[member.host] = (member, now_s)

    def _silent(self) -> set[str]:
        """Returns the members that this host should hear but does not."""
        if not self._listening:
            return set()
        limit_s = self._clock.monotonic() - self._suspect_s()
        return {
            host
            for host in self._members
            if host != self._me.host and self._heard.get(host, 0.0) < limit_s
        }

    def _find_suspected(self, now_s: float) -> frozenset[str]:
        fresh_s = now_s - self._suspect_s()
        listeners = self._listeners()
        opinions = [
            suspects
            for host, (at_s, suspects) in self._opinions.items()
            if at_s >= fresh_s and host in listeners
        ]
        if self._listening:
            opinions.append(frozenset(self._silent()))
        return frozenset(
            host
            for host in set().union(*opinions)
            if sum(host in item for item in opinions) * 2 > len(opinions)
            and self._heard.get(host, 0.0) < fresh_s
        )

    def _listeners(self) -> set[str]:
        """Returns the members that receive the heartbeats of all members.

        Others suspect nobody because they hear nobody, so what they say
        about a host must not count.
        """
        view = self._view
        if view is None:
            return set()
        return {view.leader, *view.witnesses} & self._members.keys()

    # Readiness of a witness.

    def _earliest_ready_s(self) -> float:
        return self._started_s + leases.CLOCK_MARGIN * self._timing.lease_s

    def _check_ready(self) -> None:
        """Lets this process acknowledge epochs when it can't have forgotten.

        A restarted witness does not know which epoch it had adopted. It may
        acknowledge again when a majority of the witnesses, itself not
        counted, confirmed its epoch, or after a read of the store; both only
        later than `lease_s` after its start, when no host counts on an
        acknowledgement of its former process any more.
        """
        view = self._view
        if self._ready or view is None:
            return
        agreeing = sum(
            self._ready_acks.get(host) == view.epoch
            for host in view.witnesses
            if host != self._me.host
        )
        if agreeing >= leases.majority(len(view.witnesses)):
            self._ready = True

    # Views.

    async def _on_view(self, sender: str, notice: wire.ViewNotice) -> None:
        self._take_view(notice.view)

    async def _on_pull(
        self, sender: str, pull: wire.ViewPull
    ) -> wire.Message | None:
        return None if self._view is None else wire.ViewNotice(self._view)

    async def _pull(self, host: str) -> None:
        key = f'view {host}'
        if key in self._asking:
            return
        self._asking.add(key)
        try:
            answer = await self._transport.request(
                host, wire.ViewPull(), timeout_s=_REQUEST_S
            )
        except errors.PeerError as exc:
            logging.info('membership: view not pulled, cause=%s', exc)
            return
        finally:
            self._asking.discard(key)
        if isinstance(answer, wire.ViewNotice):
            self._take_view(answer.view)

    def _take_view(self, view: wire.View) -> None:
        if view.region == self._me.region:
            self._adopt(view)
            return
        known = self._remote.get(view.region)
        if known is None or view.epoch > known.epoch:
            self._remote[view.region] = view
            for member in view.members:
                self._transport.learn(member.host, member.peer_address)

    def _adopt(self, view: wire.View) -> None:
        """Takes over a newer view of this region; ignores any other."""
        if self._view is not None and view.epoch <= self._view.epoch:
            return
        now_s = self._clock.monotonic()
        lost = set(self._members) - {member.host for member in view.members}
        led = self._view.leader if self._view is not None else ''
        self._view = view
        self._members = {member.host: member for member in view.members}
        self._owners.clear()
        self._sets.clear()
        self._leases.adopt(view)
        self._listen(led, now_s)
        for member in view.members:
            if member.host != self._me.host:
                self._transport.learn(member.host, member.peer_address)
                self._heard.setdefault(member.host, now_s)
        for host in lost:
            self._forget(host)
        for host in list(self._candidates):
            if host in self._members:
                del self._candidates[host]
        if not self.is_member():
            self._known_by.clear()
        self._check_ready()
        self._acknowledge_self(now_s)
        self._refresh()
        self._tasks.spawn(self._beat_all())
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
                self._tasks.spawn(self._notify(host, view))

    def _listen(self, led: str, now_s: float) -> None:
        """Starts the times of silence of hosts that were not heard so far."""
        view = self._view
        before = self._listening
        self._listening = self._me.host in (view.leader, *view.witnesses)
        if self._listening and not before:
            for host in self._members:
                self._heard[host] = now_s
        if view.leader != led:
            self._heard[view.leader] = now_s

    def _forget(self, host: str) -> None:
        incarnation = self._incarnations.pop(host, 0)
        self._heard.pop(host, None)
        self._opinions.pop(host, None)
        self._leaving.discard(host)
        self._events.emit('peer-lost', host=host, incarnation=incarnation)

    async def _notify(self, host: str, view: wire.View) -> None:
        try:
            await self._transport.send(host, wire.ViewNotice(view))
        except errors.PeerError as exc:
            # The next heartbeat of that host finds the newer epoch.
            logging.info('membership: view not sent, cause=%s', exc)

    # Leading.

    async def _lead(self) -> None:
        self._check_pause()
        now_s = self._clock.monotonic()
        if now_s - self._written_s < _MIN_WRITE_INTERVAL_S:
            return
        view = self._view
        if view is None:
            await self._start(now_s)
            return
        if not self._ready and now_s >= self._earliest_ready_s():
            await self._read_view(now_s)
        if not self.is_member():
            await self._rejoin(view, now_s)
        elif view.leader == self._me.host:
            await self._propose(view, now_s)
        else:
            await self._take_over(view, now_s)

    async def _start(self, now_s: float) -> None:
        """Finds the first view: from the store, else from peers."""
        self._written_s = now_s
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
            logging.info('membership: asking peers, cause=%s', exc)
            hosts = sorted({*self._seeds, *self._list.listed} - {self._me.host})
            asked = self._rng.sample(hosts, min(len(hosts), _START_PEERS))
            await asyncio.gather(*[self._pull(host) for host in asked])
            return
        self._ready = True
        self.writes += 1
        self._adopt(view)

    async def _read_view(self, now_s: float) -> None:
        """Adopts the view of the store, which also makes a witness ready."""
        if now_s - self._written_s < self._timing.suspect_s / 2:
            return
        self._written_s = now_s
        stored = await self._store.get(views.object_name(self._me.region))
        if stored is not None:
            stored_view = views.decode(stored.value)
            self._adopt(stored_view)
            if (
                now_s >= self._earliest_ready_s()
                and stored_view.epoch == self._view.epoch
            ):
                self._ready = True

    async def _propose(self, view: wire.View, now_s: float) -> None:
        """Writes the next view if hosts were lost or want to join."""
        after_s = self._suspect_s()
        if not self._hears_half():
            after_s *= _MINORITY_FACTOR
        lost = {
            host
            for host in self._members
            if host != self._me.host and now_s - self._heard[host] >= after_s
        }
        self._leases.check_gains(now_s, self._gone())
        new = self._next(view, now_s, lost)
        if not views.same_content(view, new):
            await self._write(view, new, now_s)

    def _next(
        self,
        view: wire.View,
        now_s: float,
        lost: set[str],
        join: abc.Sequence[wire.Member] = (),
    ) -> wire.View:
        self._refresh()
        return views.next_view(
            view,
            leader=self._me.host,
            remove=lost,
            join=[*join, *self._joining(now_s, lost)],
            passive=self._out,
            leaving=self._list.leaving(),
            settled=self._leases.settled,
        )

    def _joining(self, now_s: float, lost: set[str]) -> list[wire.Member]:
        """Returns the hosts that asked to join within the last seconds."""
        fresh_s = now_s - self._suspect_s()
        joining = []
        for host, (member, at_s) in list(self._candidates.items()):
            known = self._members.get(host)
            if at_s < fresh_s or (
                known is not None and known.peer_address == member.peer_address
            ):
                del self._candidates[host]
            # Two processes of one name: the one in the view stays.
            elif known is None or host in lost:
                joining.append(member)
        return joining

    def _hears_half(self) -> bool:
        limit_s = self._clock.monotonic() - self._suspect_s()
        heard = sum(
            host == self._me.host or self._heard.get(host, 0.0) >= limit_s
            for host in self._members
        )
        return heard * 2 >= len(self._members)

    async def _take_over(self, view: wire.View, now_s: float) -> None:
        """Becomes the leader if the leader and the hosts before are silent."""
        silent_s = now_s - self._heard.get(view.leader, now_s)
        hosts = tree.order(view.leader, list(self._members))
        rank = hosts.index(self._me.host) - (hosts[0] == view.leader)
        if silent_s < self._suspect_s() + rank * _RANK_DELAY_S:
            return
        await self._probe()
        if self._view is not view or self._others_hear(view.leader, now_s):
            return
        silent_s = now_s - self._heard.get(view.leader, now_s)
        if silent_s < self._suspect_s():
            return
        lost = {view.leader}
        if not self._hears_half():
            if silent_s < _MINORITY_FACTOR * self._suspect_s():
                return
            limit_s = self._clock.monotonic() - self._suspect_s()
            lost |= {
                host
                for host in self._members
                if host != self._me.host and self._heard[host] < limit_s
            }
        logging.warning('membership: leader silent, leader=%s', view.leader)
        new = self._next(view, now_s, lost)
        if await self._write(view, new, now_s):
            self.takeovers += 1

    def _others_hear(self, host: str, now_s: float) -> bool:
        """Tells whether most listeners heard from do not suspect a host."""
        fresh_s = now_s - self._suspect_s()
        listeners = self._listeners() - {host}
        opinions = [
            host in suspects
            for listener, (at_s, suspects) in self._opinions.items()
            if at_s >= fresh_s and listener in listeners
        ]
        return bool(opinions) and sum(opinions) * 2 < len(opinions)

    async def _probe(self) -> None:
        """Asks all members, because most send heartbeats to others only."""
        hosts = [host for host in self._members if host != self._me.host]
        await asyncio.gather(*[self._beat(host) for host in hosts])

    async def _rejoin(self, view: wire.View, now_s: float) -> None:
        """Looks for a newer view, and replaces one without living members."""
        await self._read_view(now_s)
        if self._view is not view or self.is_member():
            return
        # A partition looks the same, but then the platform lists the members.
        if set(self._members) <= self._gone():
            lost = set(self._members)
            new = self._next(view, now_s, lost, join=[self._me])
            await self._write(view, new, now_s)

    async def _write(
        self, view: wire.View, new: wire.View, now_s: float
    ) -> bool:
        """Replaces a view by the next one, if the store still holds it.

        A write whose answer was lost shows up as a newer view at the next
        attempt, because every attempt reads first.
        """
        self._written_s = now_s
        name = views.object_name(self._me.region)
        stored = await self._store.get(name)
        version = 0
        if stored is not None:
            version = stored.version
            stored_view = views.decode(stored.value)
            if stored_view.epoch != view.epoch:
                # Newer: taken over. Older: read from a lagging copy.
                self._adopt(stored_view)
                return False
        try:
            await self._store.put(
                name, views.encode(new), expected_version=version
            )
        except errors.VersionConflict:
            logging.info('membership: another host wrote, epoch=%d', new.epoch)
            return False
        self.writes += 1
        self._ready = True
        self._adopt(new)
        return True

    # Host list and other regions.

    async def _read_list(self) -> None:
        objects = await self._store.list('hosts/')
        listed = [
            msgspec.json.decode(item.value, type=stores.ListedHost)
            for item in objects
        ]
        used = set(self._members)
        if self._view is not None:
            used.update(self._view.witnesses, self._view.previous_witnesses)
        used.discard(self._me.host)
        leaving = self._list.leaving()
        self._list.update(listed, used, self._clock.monotonic())
        if self._list.leaving() != leaving:
            self._sets.clear()
        for item in listed:
            # The view is newer than the list for its own members.
            if item.host not in self._members and item.host != self._me.host:
                self._transport.learn(item.host, item.peer_address)

    def _gone(self) -> set[str]:
        return self._list.gone(self._clock.monotonic())

    async def _pull_remote(self) -> None:
        """Looks for a newer view in one host of each other region."""
        by_region: dict[str, set[str]] = {}
        for item in self._list.listed.values():
            by_region.setdefault(item.region, set()).add(item.host)
        for region, view in self._remote.items():
            hosts = {member.host for member in view.members}
            by_region.setdefault(region, set()).update(hosts)
        by_region.pop(self._me.region, None)
        for region, hosts in sorted(by_region.items()):
            await self._check_remote(region, self._rng.choice(sorted(hosts)))
        others = self._seeds.keys() - self._members.keys() - {self._me.host}
        if not by_region and others and self._view is not None:
            await self._pull(self._rng.choice(sorted(others)))

    async def _check_remote(self, region: str, host: str) -> None:
        known = self._remote.get(region)
        beat = wire.Heartbeat(
            member=self._short(self._me.region),
            epoch=0,
            digest=self.digest(),
        )
        try:
            ack = await self._transport.request(
                host, beat, timeout_s=_REQUEST_S
            )
        except errors.PeerError:
            self._remote_silent.add(host)
            return
        if not isinstance(ack, wire.HeartbeatAck):
            return
        self._remote_silent.discard(host)
        self._incarnations[host] = ack.incarnation
        if known is None or ack.epoch > known.epoch:
            await self._pull(host)
        self.digest_seen(host, ack.digest)

    # Helpers.

    def _find_set(self, service: str, size: int) -> list[wire.Member]:
        passed_over = self._suspected | self._leaving | self._list.leaving()
        passed_over |= self._refusing
        live = [
            self._current(member)
            for member in self._members.values()
            if member.host not in passed_over
            and member.failure_domain not in self._out
        ]
        return rendezvous.spread(service, live, size)

    def _refresh(self) -> None:
        """Recomputes what serving sets depend on."""
        suspected = self._find_suspected(self._clock.monotonic())
        domains = {m.failure_domain for m in self._members.values()}
        out = frozenset(name for name in domains if self.domain_out(name))
        if (suspected, out) != (self._suspected, self._out):
            self._suspected, self._out = suspected, out
            self._sets.clear()

    def _owner(self, service: str, target: str, size: int) -> str:
        key = (service, target, size)
        if key not in self._owners:
            self._owners[key] = self._find_owner(service, target, size)
        return self._owners[key]

    def _find_owner(self, service: str, target: str, size: int) -> str:
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

    def _current(self, member: wire.Member) -> wire.Member:
        """Returns a member with its last known incarnation."""
        incarnation = self._incarnations.get(member.host, member.incarnation)
        if member.host == self._me.host:
            incarnation = self._me.incarnation
        if incarnation == member.incarnation:
            return member
        return msgspec.structs.replace(member, incarnation=incarnation)
