"""Quotas of organisations over all hosts.

Load: each host gets a few requests a second, those of most organisations one
now and then, while one organisation may jump to several times its rate. Hosts
admit requests without asking, and report counts to a coordinator a few times a
second; it announces which share of the requests is to be admitted. Hosts
without contact use a part of their equal share.
"""

import asyncio
import collections
from collections import abc
import random

from ragwortchute import errors
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import model
from ragwortchute.gateway import organisations
from ragwortchute.gateway.organisations import quota_accounts
from ragwortchute.gateway.organisations import quota_limits
from ragwortchute.gateway.organisations import quota_messages
from ragwortchute.gateway.organisations import quota_roles
from ragwortchute.gateway.organisations import quota_use
from ragwortchute.gateway.peers import shares

# Interval of the task, and the number of intervals between two reports.
TICK_S = 0.1
TICKS_PER_REPORT = 2
# A host that starts reports at each tick, up to this one, until it has heard of
# a coordinator: how many hosts there are is not known before.
START_TICKS = 30
# A host that has nothing to report shows that it is there after this time.
EMPTY_REPORT_S = 0.5
# Organisations without a request for this long are not followed until the next
# one, and after the longer time forgotten. The coordinator drops their counts
# earlier.
IDLE_S = 5.0
FORGET_S = 4 * quota_accounts.RETENTION_S
# Replies to hosts without contact: as many as hosts that start at once, and per
# second.
MAX_REPLIES = 2.0 * quota_roles.HOSTS_PER_SHARD
REPLIES_PER_S = 20.0
# Hosts of each other region that the coordinator sends announcements to.
REGION_SENDS = 2
# Organisations whose use is shown in metrics.
MAX_GAUGES = 100


# Organisations by name.
Organisations = abc.Mapping[str, model.Organisation]
# Sends a payload to hosts, without a guarantee of delivery.
SendCallback = abc.Callable[[list[str], str, bytes], None]


class HostQuotas(organisations.Quotas):
    """Quotas of organisations at one host.

    Args:
        me: Entry of this host.
        bounds: Bound on the requests of an organisation.
        send: Sends a message to other hosts.
        hosts: Returns the hosts of the deployment at a loop time in seconds.
        organisations_: Returns the organisations in force by name, None if
            there is no configuration yet.
        log: Event log.
        rng: Source of randomness.

    Attributes:
        admitted: Requests admitted.
        refused: Requests refused as announced.
        refused_alone: Requests refused without contact to a coordinator.
        reports_sent: Reports sent.
        announcements_sent: Announcements sent or passed on.
    """

    __slots__ = (
        '_askers',
        '_bounds',
        '_contact',
        '_coordinates',
        '_followed',
        '_hosts',
        '_limits',
        '_limited_s',
        '_limits_by_name',
        '_log',
        '_me',
        '_measured_s',
        '_organisations',
        '_read_organisations',
        '_read_hosts',
        '_reported_s',
        '_replies',
        '_reports',
        '_rng',
        '_send',
        '_shards',
        '_swept_s',
        '_ticks',
        '_uses',
        'admitted',
        'announcements_sent',
        'refused',
        'refused_alone',
        'reports_sent',
    )

    def __init__(
        self,
        me: model.HostEntry,
        bounds: quota_limits.Bounds,
        send: SendCallback,
        hosts: abc.Callable[[float], quota_roles.Hosts],
        organisations_: abc.Callable[[], Organisations | None],
        log: eventlog.EventLog,
        rng: random.Random,
    ) -> None:
        self._me = me
        self._bounds = bounds
        self._send = send
        self._read_hosts = hosts
        self._hosts = quota_roles.Hosts()
        self._log = log
        self._rng = rng
        self._read_organisations = organisations_
        self._organisations: Organisations | None = None
        self._limits: dict[int, quota_limits.Limit] = {}
        self._limits_by_name: dict[str, quota_limits.Limit] = {}
        self._uses: dict[str, quota_use.Use] = {}
        self._followed: dict[str, quota_use.Use] = {}
        self._swept_s = float('-inf')
        # Loop time since which this host knows limits.
        self._limited_s = float('inf')
        self._shards = [self._make_shard(0)]
        self._contact: dict[int, bool] = {}
        self._coordinates: dict[int, bool] = {}
        self._reports = 0
        self._replies = shares.TokenBucket(MAX_REPLIES)
        # Hosts, by shard, that got a provisional reply. They get another one
        # once the accounts of this host are not provisional any more.
        self._askers = collections.defaultdict(set)
        self._reported_s: dict[int, float] = {}
        self._ticks = rng.randrange(TICKS_PER_REPORT)
        self._measured_s: float | None = None
        self.admitted = 0
        self.refused = 0
        self.refused_alone = 0
        self.reports_sent = 0
        self.announcements_sent = 0

    def admit(self, organisation: model.Organisation, now_s: float) -> float:
        """See base class.

        The time differs between callers, so that those who wait return spread
        over the time in which there is credit for all of them.
        """
        if organisation.rate_per_s <= 0:
            return 0.0
        use = self._uses.get(organisation.name)
        if use is None or use.organisation is not organisation:
            use = self._use(organisation)
        if use.is_idle:
            self._follow(use)
        if use.take_returned(now_s):
            self.admitted += 1
            return 0.0
        shard = self._shards[use.limit.key % len(self._shards)]
        if shard.has_contact(now_s, throttled=use.throttled):
            hosts = len(self._hosts.names)
            wait_s = use.admit(now_s, shard.announced_s, hosts)
            self.refused += wait_s > 0
        else:
            wait_s = self._admit_alone(use, shard, now_s)
            self.refused_alone += wait_s > 0
        self.admitted += wait_s == 0
        return wait_s

    def _admit_alone(
        self, use: quota_use.Use, shard: quota_roles.Shard, now_s: float
    ) -> float:
        """Admits a request without contact to a coordinator."""
        fresh = shard.announced_s == float('-inf')
        if fresh and use.admit_at_start(now_s, now_s - self._limited_s):
            return 0.0
        hosts = shard.hosts
        if not fresh or self._hosts.settled:
            hosts = max(hosts, len(self._hosts.names))
        return use.admit_alone(now_s, hosts, fresh=fresh)

    def give_back(self, organisation: model.Organisation, now_s: float) -> None:
        """See base class."""
        use = self._uses.get(organisation.name)
        if use is not None and organisation.rate_per_s > 0:
            use.give_back(now_s)
            self.admitted -= 1
            if use.is_idle:
                self._follow(use)

    def _set_organisations(self, organisations_: Organisations | None) -> None:
        """Sets the organisations of the configuration in force."""
        self._organisations = organisations_
        organisations_ = organisations_ or {}
        limits = [
            self._limit(organisation)
            for organisation in organisations_.values()
            if organisation.rate_per_s > 0
        ]
        self._limits_by_name = {limit.name: limit for limit in limits}
        self._limits = {limit.key: limit for limit in limits}

    def _limit(self, organisation: model.Organisation) -> quota_limits.Limit:
        """Returns the limit of an organisation, the known one if it holds."""
        limit = self._limits_by_name.get(organisation.name)
        if (
            limit is not None
            and limit.rate_per_s == organisation.rate_per_s
            and limit.burst == organisation.burst
        ):
            return limit
        return quota_limits.make_limit(organisation, self._bounds)

    async def run(self) -> None:
        """Reports, coordinates and announces until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.tick(loop.time())
            await asyncio.sleep(TICK_S)

    def tick(self, now_s: float) -> None:
        """Does what is due; called every `TICK_S`.

        Args:
            now_s: Loop time in seconds.
        """
        organisations_ = self._read_organisations()
        if organisations_ is not self._organisations:
            self._set_organisations(organisations_)
        if self._limits:
            self._limited_s = min(self._limited_s, now_s)
        elif organisations_ is not None:
            return
        # Without a configuration there may be limits: hosts that start find a
        # coordinator meanwhile.
        self._ticks += 1
        if self._ticks % TICKS_PER_REPORT == 0 or self._is_starting():
            self._set_hosts(self._read_hosts(now_s))
            self._report(now_s)
        for shard in self._shards:
            announcement = shard.step(self._hosts, self._limits, now_s)
            if announcement is not None:
                if announcement.provisional:
                    self._report_again(shard, now_s)
                else:
                    self._apply(shard)
                self._announce(announcement)
                if not announcement.provisional:
                    for name in self._askers.pop(shard.index, ()):
                        self._reply(shard, name, now_s)
            self._log_changes(shard, now_s)

    def _is_starting(self) -> bool:
        """Returns whether this host has started and knows no coordinator."""
        return self._ticks < START_TICKS and not self._shards[0].coordinator

    def handle(self, sender: str, payload: bytes, now_s: float) -> None:
        """Handles a message of another host.

        Args:
            sender: Name of the host.
            payload: The message.
            now_s: Loop time in seconds.
        """
        try:
            message = quota_messages.decode(payload)
        except errors.DecodeFailed as exc:
            self._log.event('peer-malformed', error=str(exc))
            return
        if isinstance(message, quota_messages.Announcement):
            self._handle_announcement(message, now_s)
            return
        if message.shard >= len(self._shards):
            return
        shard = self._shards[message.shard]
        if shard.accounts is not None:
            shard.accounts.record(sender, message, self._limits, now_s)
        if message.asks:
            self._reply(shard, sender, now_s)

    def used(self) -> dict[str, float]:
        """Returns the used part of quotas, by organisation.

        Only organisations near their quota are known, those with the least
        credit left first.
        """
        states = [
            (state.level / limit.depth, limit, state)
            for shard in self._shards
            for state in shard.states.values()
            if (limit := self._limits.get(state.key)) is not None
        ]
        states.sort(key=lambda item: item[0])
        return {
            limit.name: state.demand_per_s
            * state.admit_fraction
            / limit.rate_per_s
            for _, limit, state in states[:MAX_GAUGES]
        }

    def is_alone(self) -> bool:
        """Returns whether this host had no contact to a coordinator lately."""
        return not all(self._contact.values())

    def _make_shard(self, index: int) -> quota_roles.Shard:
        return quota_roles.Shard(index, self._me.name, self._me.incarnation)

    def _use(self, organisation: model.Organisation) -> quota_use.Use:
        """Returns the use of an organisation, with its limit up to date."""
        limit = self._limit(organisation)
        use = self._uses.get(organisation.name)
        if use is None:
            use = quota_use.Use(limit, self._rng)
            self._uses[organisation.name] = use
        use.organisation = organisation
        use.limit = limit
        return use

    def _follow(self, use: quota_use.Use) -> None:
        """Follows what is announced about an organisation from now on."""
        use.is_idle = False
        self._followed[use.limit.name] = use
        shard = self._shards[use.limit.key % len(self._shards)]
        use.note_announcement(shard.states.get(use.limit.key))

    def _set_hosts(self, hosts: quota_roles.Hosts) -> None:
        self._hosts = hosts
        count = quota_roles.shard_count(len(hosts.names))
        del self._shards[count:]
        while len(self._shards) < count:
            self._shards.append(self._make_shard(len(self._shards)))
        for shard in self._shards:
            shard.rank_hosts(hosts)

    def _report(self, now_s: float) -> None:
        """Reports counts that have changed to the coordinators."""
        changed: list[list[quota_use.Use]] = [[] for _ in self._shards]
        interval_s = TICK_S * TICKS_PER_REPORT
        if self._measured_s is not None:
            interval_s = max(TICK_S, now_s - self._measured_s)
        self._measured_s = now_s
        for name, use in [*self._followed.items()]:
            use.measure(interval_s, now_s)
            if use.reports_left:
                changed[use.limit.key % len(changed)].append(use)
            elif now_s - use.changed_s > IDLE_S:
                use.is_idle = True
                del self._followed[name]
        if now_s - self._swept_s > FORGET_S:
            self._swept_s = now_s
            for name, use in [*self._uses.items()]:
                if now_s - use.changed_s > FORGET_S:
                    del self._uses[name]
        for shard, uses in zip(self._shards, changed, strict=True):
            reported_s = self._reported_s.get(shard.index, float('-inf'))
            if shard.receiver and (
                uses
                or shard.asks(now_s)
                or now_s - reported_s >= EMPTY_REPORT_S
            ):
                self._reported_s[shard.index] = now_s
                reported = uses[: quota_messages.MAX_ENTRIES]
                self._report_to(shard, reported, now_s)
                self._move_to_end(reported)

    def _move_to_end(self, uses: list[quota_use.Use]) -> None:
        """Lets organisations that a full report left out come first next."""
        for use in uses:
            name = use.limit.name
            if self._followed.pop(name, None) is not None:
                self._followed[name] = use

    def _report_to(
        self,
        shard: quota_roles.Shard,
        uses: list[quota_use.Use],
        now_s: float,
    ) -> None:
        self._reports += 1
        report = quota_messages.Report(
            shard.index,
            self._me.incarnation,
            self._reports,
            quota_messages.pack_uses([use.report() for use in uses]),
            shard.asks(now_s),
        )
        if shard.accounts is not None:
            shard.accounts.record(self._me.name, report, self._limits, now_s)
            return
        self.reports_sent += 1
        self._send(
            [shard.receiver],
            quota_messages.PART,
            quota_messages.encode(report),
        )

    def _handle_announcement(
        self, announcement: quota_messages.Announcement, now_s: float
    ) -> None:
        if announcement.shard >= len(self._shards):
            return
        shard = self._shards[announcement.shard]
        coordinator = shard.coordinator
        name = announcement.coordinator
        if not shard.accept(announcement, now_s):
            if announcement.provisional and name != shard.coordinator:
                # The host has just started, or did not hear the other one.
                self._reply(shard, name, now_s)
            return
        if shard.coordinator != coordinator:
            self._report_again(shard, now_s)
        if not announcement.provisional:
            self._apply(shard)
        if not announcement.is_reply:
            self._pass_on(announcement)

    def _reply(self, shard: quota_roles.Shard, name: str, now_s: float) -> None:
        """Announces the state of a shard to a host without contact."""
        if self._replies.wait_s(now_s, REPLIES_PER_S, MAX_REPLIES) > 0:
            return
        announcement = shard.reply(self._limits, now_s)
        if announcement is not None:
            self._replies.spend()
            self._send_announcement([name], announcement)
            if announcement.provisional:
                self._askers[shard.index].add(name)

    def _report_again(self, shard: quota_roles.Shard, now_s: float) -> None:
        """Makes a new coordinator learn of recent requests."""
        self._reported_s.pop(shard.index, None)
        for use in self._followed.values():
            if now_s - use.changed_s < quota_accounts.SILENT_S:
                use.reports_left = max(1, use.reports_left)

    def _apply(self, shard: quota_roles.Shard) -> None:
        """Applies the states of a shard to the organisations in use."""
        for use in self._followed.values():
            key = use.limit.key
            if key % len(self._shards) == shard.index:
                use.note_announcement(shard.states.get(key))

    def _announce(self, announcement: quota_messages.Announcement) -> None:
        """Sends an announcement to all regions."""
        self._pass_on(announcement)
        names = [
            name
            for region in self._hosts.far
            for name in self._rng.sample(region, min(REGION_SENDS, len(region)))
        ]
        self._send_announcement(names, announcement)

    def _pass_on(self, announcement: quota_messages.Announcement) -> None:
        """Sends an announcement to other hosts of the region."""
        names = quota_roles.receivers(
            self._hosts.near, self._me.name, announcement.number
        )
        self._send_announcement(names, announcement)

    def _send_announcement(
        self, names: list[str], announcement: quota_messages.Announcement
    ) -> None:
        if names:
            self.announcements_sent += len(names)
            self._send(
                names,
                quota_messages.PART,
                quota_messages.encode(announcement),
            )

    def _log_changes(self, shard: quota_roles.Shard, now_s: float) -> None:
        """Logs when this host falls back to its share, or coordinates."""
        coordinates = shard.accounts is not None
        if self._coordinates.get(shard.index, False) != coordinates:
            self._coordinates[shard.index] = coordinates
            self._log.event(
                'quota-coordinator', shard=shard.index, active=coordinates
            )
        contact = shard.has_contact(now_s, throttled=False)
        if self._contact.get(shard.index, True) != contact:
            self._contact[shard.index] = contact
            self._log.event(
                'quota-contact' if contact else 'quota-alone',
                shard=shard.index,
                coordinator=shard.coordinator,
            )
