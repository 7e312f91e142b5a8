"""Hosts that exchange heartbeats over a simulated network."""

import collections
import random

from ragwortchute.gateway.peers import membership
from tests.test_gateway import rig as rigs


class SimulatedTransport(membership.Transport):
    """Transport of one host in the simulated network."""

    def __init__(self, net, region, port):
        self.net = net
        self.port = port
        self.region = region

    def send(self, ip, port, data):
        self.net.send(self.region, port, data, self.port)


class Network:
    """Simulated network that counts the bytes of datagrams.

    Attributes:
        hosts: Membership of each host, by port.
        dead: Ports of dead hosts.
        loss: Probability that a datagram is lost.
        bytes: Number of bytes sent.
        region_bytes: Number of bytes sent between regions.
        now_s: Simulated loop time.
    """

    def __init__(self, seed=1, dead_s=5.4):
        self.dead_s = dead_s
        self.rng = random.Random(seed)
        self.hosts = {}
        self.dead = set()
        self.queue = collections.deque()
        self.loss = 0.0
        self.bytes = 0
        self.region_bytes = 0
        self.now_s = 100.0

    def add(self, name, domain, incarnation=1):
        port = len(self.hosts) + 1
        entry = rigs.host(name, domain, peer_port=port, incarnation=incarnation)
        host = membership.Membership(
            entry,
            SimulatedTransport(self, entry.region, port),
            rigs.MemoryLog(),
            self.rng,
            self.dead_s,
        )
        self.hosts[port] = host
        return host

    def send(self, region, port, data, sender_port):
        self.bytes += len(data)
        if self.hosts[port].me.region != region:
            self.region_bytes += len(data)
        if self.rng.random() >= self.loss:
            self.queue.append((port, data, sender_port))

    def run(self, seconds):
        for _ in range(round(seconds / membership.HEARTBEAT_INTERVAL_S)):
            self.now_s += membership.HEARTBEAT_INTERVAL_S
            for port, host in self.hosts.items():
                if port not in self.dead:
                    host.send_heartbeats(self.now_s)
            while self.queue:
                port, data, sender_port = self.queue.popleft()
                if port not in self.dead:
                    self.hosts[port].on_datagram(
                        data, self.now_s, ('127.0.0.1', sender_port)
                    )

    def announce_all(self):
        """Announces each host to the hosts that were added before it."""
        known = []
        for host in self.hosts.values():
            host.add_entries(known, self.now_s)
            host.announce_start(self.now_s)
            known.append(host.me)

    def names(self, host):
        return sorted(entry.name for entry in host.available_hosts(self.now_s))


def network(per_domain, seed=1):
    """Returns a network with `per_domain` hosts in each failure domain."""
    # In large deployments, a dead host may be detected 1 s later.
    net = Network(seed, 5.4 if per_domain < 10 else 6.4)
    for domain in rigs.DOMAINS:
        for number in range(per_domain):
            net.add(f'{domain}-{number}', domain)
    net.announce_all()
    return net
