"""Simulated hosts that start and discover each other, and keep a quota.

Unlike `quota_model`, hosts know each other by the real membership, which they
join by the host list of the store.
"""

import collections
import random

import msgspec

from ragwortchute.gateway import application
from ragwortchute.gateway import model
from ragwortchute.gateway.organisations import quota_part
from ragwortchute.gateway.organisations import quotas
from ragwortchute.gateway.peers import membership
from ragwortchute.gateway.store import registration
from tests.test_gateway import event_queue
from tests.test_gateway import quota_model
from tests.test_gateway import rig

DEAD_S = 5.4
# Shortest and longest time until the host list is read.
LIST_S = (0.02, 0.07)
# Heartbeats are sent at an interval that varies by this share.
BEAT_VARIATION = 0.1


class Start(msgspec.Struct, frozen=True):
    """How the simulated hosts start.

    Attributes:
        hosts: Number of hosts.
        rate_per_s: Rate of the organisation, which is its burst, too.
        load: Requests per second as a share of the rate.
        over_s: Hosts start at random times in this time.
        late: Share of the hosts that start `late_s` later.
        late_s: How much later.
        configured_s: Longest time after its start until a host has a
            configuration. Callers come to hosts that have one.
        cut_s: Time until which the regions can't reach each other.
        dead: Listed hosts that don't start, by their place in the list.
        killed: Times and the shares of the hosts that are killed then.
        restart_s: Time after which these start again.
        loss: Share of the messages that are lost.
        duration_s: Time that is simulated.
        sent_before: Requests of the organisation in the second before, which
            was served by earlier processes of the hosts.
    """

    hosts: int
    rate_per_s: float
    load: float
    over_s: float = 0.3
    late: float = 0.0
    late_s: float = 2.0
    configured_s: float = 0.0
    cut_s: float = 0.0
    dead: tuple[int, ...] = ()
    killed: tuple[tuple[float, float], ...] = ()
    restart_s: float = 7.0
    loss: float = 0.0
    duration_s: float = 15.0
    sent_before: int = 0


class _Transport(membership.Transport):
    """Transport of one host in the simulated network."""

    def __init__(self, net, number):
        self._net = net
        self._number = number

    def send(self, ip, port, data):
        self._net.send(self._number, port, data)


class _Host:
    """One process of a host."""

    def __init__(self, net, number, incarnation):
        domain = quota_model.DOMAINS[number % len(quota_model.DOMAINS)]
        entry = rig.host(
            f'h{number:03}',
            'a1',
            peer_port=number,
            incarnation=incarnation,
        )
        entry = msgspec.structs.replace(
            entry, failure_domain=domain, region=domain[0]
        )
        self.started_s = net.now_s
        self.members = membership.Membership(
            entry,
            _Transport(net, number),
            rig.MemoryLog(),
            random.Random(net.rng.random()),
            DEAD_S,
        )
        self.members.peers.keeps_silent = True
        self.configuration = None
        self.registered = False
        self.contact_s = None
        self.quotas = quotas.HostQuotas(
            entry,
            quota_model.BOUNDS,
            self.members.parts.send,
            lambda now_s: quota_part.known_hosts(
                self.members, self.is_settled(now_s), now_s
            ),
            lambda: self.configuration,
            rig.MemoryLog(),
            random.Random(net.rng.random()),
        )
        self.members.parts.register('quota', self.quotas.handle, early=True)

    def is_settled(self, now_s):
        settled_s = now_s - self.members.peers.last_discovery_s
        return settled_s > application.DISCOVERY_SETTLE_S and self.registered


class Network(event_queue.EventQueue):
    """Hosts, their network and their callers.

    Args:
        start: How the hosts start.
        seed: Seed of all randomness.
    """

    def __init__(self, start, seed):
        super().__init__()
        self.start = start
        self.rng = random.Random(seed)
        self.hosts = {}
        self.sent_bytes = collections.Counter()
        self.received_s = []
        self.admitted_s = []
        self.refused = []
        self.organisation = model.Organisation(
            'hot',
            frozenset(),
            None,
            start.rate_per_s,
            max(1.0, start.rate_per_s),
        )
        domains = len(quota_model.DOMAINS)
        self.listed = [
            _Host(self, number, 0).members.me
            for number in range(
                min(start.hosts, registration.LISTED_PER_DOMAIN * domains)
            )
        ]
        for number in range(start.hosts):
            if number in start.dead:
                continue
            late_s = start.late_s * (self.rng.random() < start.late)
            self.after(
                late_s + self.rng.random() * start.over_s,
                lambda number=number: self.boot(number),
            )
        self.after(0.0, self.request)
        for at_s, share in start.killed:
            self.after(at_s, lambda share=share: self.kill(share))

    def kill(self, share):
        for number in self.rng.sample(
            sorted(self.hosts), round(share * len(self.hosts))
        ):
            del self.hosts[number]
            self.after(
                self.start.restart_s, lambda number=number: self.boot(number)
            )

    def boot(self, number):
        host = _Host(self, number, round(1000 * (1 + self.now_s)))
        self.hosts[number] = host
        self.after(
            self.rng.uniform(*LIST_S), lambda: self.read_list(number, host)
        )
        self.after(
            self.rng.random() * self.start.configured_s,
            lambda: self.configure(host),
        )
        self.beat(number, host)
        self.tick(number, host)

    def configure(self, host):
        host.configuration = {'hot': self.organisation}

    def beat(self, number, host):
        if self.hosts.get(number) is host:
            host.members.send_heartbeats(self.now_s)
            varied = 1 + BEAT_VARIATION * (2 * self.rng.random() - 1)
            self.after(
                membership.HEARTBEAT_INTERVAL_S * varied,
                lambda: self.beat(number, host),
            )

    def tick(self, number, host):
        if self.hosts.get(number) is host:
            host.quotas.tick(self.now_s)
            self.note_contact(host)
            self.after(quotas.TICK_S, lambda: self.tick(number, host))

    def note_contact(self, host):
        if host.contact_s is None and host.quotas._shards[0].has_contact(
            self.now_s, throttled=False
        ):
            host.contact_s = self.now_s - host.started_s

    def read_list(self, number, host):
        host.members.note_listed(self.listed, self.now_s)
        self.announce(number, host)

    def announce(self, number, host):
        if self.hosts.get(number) is not host or host.registered:
            return
        waited_s = self.now_s - host.started_s
        if (
            host.members.joined(self.now_s)
            or waited_s > registration.REPLY_TIMEOUT_S
        ):
            host.registered = True
            return
        host.members.announce_start(self.now_s)
        self.after(
            registration.ANNOUNCE_INTERVAL_S,
            lambda: self.announce(number, host),
        )

    def send(self, sender, number, data):
        self.sent_bytes[sender] += len(data) + 28
        domains = [
            quota_model.DOMAINS[item % len(quota_model.DOMAINS)]
            for item in (sender, number)
        ]
        delay_s = quota_model.REGION_DELAY_S
        if domains[0][0] != domains[1][0]:
            delay_s = quota_model.FAR_DELAY_S
            if self.now_s < self.start.cut_s:
                return
        if self.rng.random() >= self.start.loss:
            self.after(
                self.rng.uniform(*delay_s),
                lambda: self.arrive(sender, number, data),
            )

    def arrive(self, sender, number, data):
        host = self.hosts.get(number)
        if host is not None:
            host.members.on_datagram(data, self.now_s, ('127.0.0.1', sender))

    def request(self):
        load_per_s = self.start.load * self.start.rate_per_s
        self.after(self.rng.expovariate(load_per_s), self.request)
        ready = [
            host
            for host in self.hosts.values()
            if host.configuration is not None
        ]
        if not ready:
            return
        host = self.rng.choice(ready)
        quotas_ = host.quotas
        alone = quotas_.refused_alone
        wait_s = quotas_.admit(self.organisation, self.now_s)
        self.received_s.append(self.now_s)
        if not wait_s:
            self.admitted_s.append(self.now_s)
        else:
            self.refused.append((self.now_s, quotas_.refused_alone > alone))

    def run(self):
        """Runs the start and returns this network."""
        while self.next_s < self.start.duration_s:
            self.step()
        return self

    def refused_share(self):
        """Returns the share of the requests that were refused."""
        return len(self.refused) / max(1, len(self.received_s))

    def worst(self):
        """Returns the largest share of the bound that a window contained.

        Requests that were sent at the rate before the start count as well.
        """
        rng = random.Random(1)
        before_s = [-1.0 * rng.random() for _ in range(self.start.sent_before)]
        sent_s = sorted(
            at_s + rng.random() * quota_model.SEND_DELAY_S
            for at_s in [*before_s, *self.admitted_s]
        )
        burst = max(1.0, self.start.rate_per_s)
        allowed = quota_model.BOUNDS.largest(self.start.rate_per_s, burst)
        return quota_model.most_in_window(sent_s)[0] / allowed
