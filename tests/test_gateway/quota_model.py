"""Simulated hosts that keep the quota of an organisation, without a network."""

import bisect
import collections
import itertools
import random

import msgspec

from ragwortchute.gateway import model
from ragwortchute.gateway.organisations import quota_limits
from ragwortchute.gateway.organisations import quota_roles
from ragwortchute.gateway.organisations import quotas
from tests.test_gateway import event_queue
from tests.test_gateway import rig

BOUNDS = quota_limits.Bounds()
DOMAINS = ('a1', 'a2', 'a3', 'b1', 'b2')
# One-way delays in seconds: lowest and highest within a failure domain, within
# a region and between regions.
DOMAIN_DELAY_S = (0.0003, 0.001)
REGION_DELAY_S = (0.0005, 0.0039)
FAR_DELAY_S = (0.012, 0.014)
# Longest delay of a late message.
LATE_S = 2.0
# How long a host counts as alive after its last sign, and how long a host needs
# after its start to learn of the others.
ALIVE_S = 5.4
SETTLE_S = 1.2
# Hosts of each failure domain in the host list of the store.
LISTED = 2
# Longest time from admission until a request is sent.
SEND_DELAY_S = 0.5
# UDP and IP headers, and what `heartbeats.Message` adds to a payload.
MESSAGE_BYTES = 28 + 40
# Priorities of the routes of successive requests.
PRIORITIES = (1, 0, 1, 2, 1, 1)


class Scenario(msgspec.Struct, frozen=True):
    """What happens to the simulated hosts.

    Attributes:
        hosts: Number of hosts.
        rate_per_s: Rate of the organisation.
        burst: Its burst, by default the rate, but at least 1.
        loads: Start times in seconds and requests per second from then on.
        at: Number of hosts that requests arrive at; 0 for all.
        moves_s: Times at which they arrive at other hosts, if at few.
        faults: Times and faults: `kill`, `restart`, `cut`, `scatter` (cut from
            each other, too), `mute` (their messages are lost) with the hosts
            concerned, as slices; `region`, `heal`, or `limit` with the new
            rate.
        loss: Share of the messages that are lost.
        late: Share of the messages that are late.
        duration_s: Time that is simulated.
        measure_s: Start of the time in which use and refusals are measured.
        cold: Whether all hosts start at time 0; otherwise, callers come after
            the hosts have settled.
    """

    hosts: int
    rate_per_s: float
    loads: tuple[tuple[float, float], ...]
    burst: float = 0.0
    at: int = 0
    moves_s: tuple[float, ...] = ()
    faults: tuple[tuple[float, str, object], ...] = ()
    loss: float = 0.0
    late: float = 0.0
    duration_s: float = 20.0
    measure_s: float = 0.0
    cold: bool = False


class Outcome(msgspec.Struct):
    """What was measured.

    Attributes:
        worst: Largest share of the bound that a window contained, by the time
            of sending.
        worst_admitted: The same by the time of admission.
        worst_s: Start of the window of the former.
        refused: Share of the requests that were refused.
        used: Share of the quota that was admitted.
        offered: Requests received, as a share of the quota.
        bytes_per_s: Mean bytes per second and host.
        most_bytes_per_s: The same of the host that sent most.
        far_bytes_per_s: Bytes per second between regions.
    """

    worst: float
    worst_admitted: float
    worst_s: float
    refused: float
    used: float
    offered: float
    bytes_per_s: float
    most_bytes_per_s: float
    far_bytes_per_s: float


class Model(event_queue.EventQueue):
    """Hosts, their network and their callers.

    Args:
        scenario: What happens.
        seed: Seed of all randomness.
    """

    def __init__(self, scenario, seed):
        super().__init__()
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.names = [f'h{number:03}' for number in range(scenario.hosts)]
        # Hosts that fell silent are members as long as they have not left.
        self.members = frozenset(self.names)
        self.listed = frozenset(self.names[: LISTED * len(DOMAINS)])
        self.domain = {
            name: DOMAINS[number % len(DOMAINS)]
            for number, name in enumerate(self.names)
        }
        self.group = dict.fromkeys(self.names, 0)
        self.cut_s = float('-inf')
        self.mute = {}
        self.started_s = dict.fromkeys(self.names, 0.0)
        self.died_s = {}
        self.incarnation = dict.fromkeys(self.names, 0)
        self.hosts = {}
        self.sent_bytes = collections.Counter()
        self.far_bytes = 0
        self.received = []
        self.priorities = itertools.cycle(PRIORITIES)
        self.admitted_s = []
        self.at_names = []
        self.set_limit(scenario.rate_per_s)
        for name in self.names:
            self.start(name)

    def set_limit(self, rate_per_s):
        burst = self.scenario.burst or max(1.0, rate_per_s)
        self.organisation = model.Organisation(
            'hot', frozenset(), None, rate_per_s, burst
        )
        for host in self.hosts.values():
            self.after(
                self.rng.random() * 3,
                lambda host=host, org=self.organisation: self.configure(
                    host, org
                ),
            )

    def configure(self, host, organisation):
        host.in_force = organisation
        host.configuration = {organisation.name: organisation}

    def start(self, name):
        self.incarnation[name] += 1
        self.died_s.pop(name, None)
        self.started_s[name] = self.now_s
        me = rig.host(name, 'a1', incarnation=self.incarnation[name])
        host = Host(
            me,
            BOUNDS,
            lambda names, part, payload: self.send(name, names, payload),
            lambda now_s: self.view(name, now_s),
            lambda: host.configuration,
            rig.MemoryLog(),
            random.Random(self.rng.random()),
        )
        self.hosts[name] = host
        self.configure(host, self.organisation)
        self.after(
            self.rng.random() * quotas.TICK_S, lambda: self.tick(name, host)
        )

    def tick(self, name, host):
        if self.hosts.get(name) is host:
            host.tick(self.now_s)
            self.after(quotas.TICK_S, lambda: self.tick(name, host))

    def view(self, name, now_s):
        alive = [
            other
            for other in self.names
            if now_s - self.last_sign_s(name, other) < ALIVE_S
        ]
        region = self.domain[name][0]
        far = tuple(other for other in alive if self.domain[other][0] != region)
        return quota_roles.Hosts(
            self.members,
            tuple(other for other in alive if self.domain[other][0] == region),
            (far,) if far else (),
            now_s - self.started_s[name] > SETTLE_S,
            self.listed,
        )

    def last_sign_s(self, name, other):
        if other in self.died_s:
            return self.died_s[other]
        if other in self.mute and other != name:
            return self.mute[other]
        if self.group[other] != self.group[name]:
            return self.cut_s
        return self.now_s

    def send(self, sender, names, payload):
        scenario = self.scenario
        size = len(payload) + MESSAGE_BYTES
        for name in names:
            self.sent_bytes[sender] += size
            delay_s = DOMAIN_DELAY_S
            if self.domain[name] != self.domain[sender]:
                delay_s = REGION_DELAY_S
            if self.domain[name][0] != self.domain[sender][0]:
                delay_s = FAR_DELAY_S
                self.far_bytes += size
            if (
                sender in self.mute
                or self.group[name] != self.group[sender]
                or self.rng.random() < scenario.loss
            ):
                continue
            wait_s = self.rng.uniform(*delay_s)
            if self.rng.random() < scenario.late:
                wait_s += self.rng.random() * LATE_S
                if self.rng.random() < 0.5:
                    self.deliver(name, sender, payload, wait_s / 2)
            self.deliver(name, sender, payload, wait_s)

    def deliver(self, name, sender, payload, wait_s):
        def arrive():
            host = self.hosts.get(name)
            if host is not None:
                host.handle(sender, payload, self.now_s)

        self.after(wait_s, arrive)

    def request(self):
        """Handles one request and plans the next one."""
        load = 0.0
        for start_s, rate_per_s in self.scenario.loads:
            if self.now_s >= start_s:
                load = rate_per_s
        if not load:
            self.after(0.05, self.request)
            return
        self.after(self.rng.expovariate(load), self.request)
        alive = [name for name in self.at_names if name in self.hosts]
        if not alive:
            self.choose_hosts()
            alive = self.at_names
        if not alive:
            return
        host = self.hosts[self.rng.choice(alive)]
        priority = next(self.priorities)
        wait_s = host.admit(host.in_force, self.now_s, priority)
        self.received.append(self.now_s)
        if not wait_s:
            self.admitted_s.append(self.now_s)

    def choose_hosts(self):
        alive = [name for name in self.names if name in self.hosts]
        self.at_names = alive
        if self.scenario.at:
            self.at_names = self.rng.sample(
                alive, min(len(alive), self.scenario.at)
            )

    def fault(self, kind, what):
        names = self.names[what] if isinstance(what, slice) else []
        if kind == 'kill':
            for name in names:
                self.hosts.pop(name, None)
                self.died_s[name] = self.now_s
        elif kind == 'restart':
            for name in names:
                self.start(name)
        elif kind == 'cut':
            self.cut_s = self.now_s
            for name in names:
                self.group[name] = 1
        elif kind == 'scatter':
            self.cut_s = self.now_s
            for number, name in enumerate(names):
                self.group[name] = number + 1
        elif kind == 'region':
            self.cut_s = self.now_s
            for name in self.names:
                self.group[name] = int(self.domain[name][0] == 'b')
        elif kind == 'mute':
            self.mute = dict.fromkeys(names, self.now_s)
        elif kind == 'heal':
            self.mute = {}
            self.group = dict.fromkeys(self.names, 0)
        elif kind == 'limit':
            self.set_limit(what)
        self.choose_hosts()

    def run(self):
        """Runs the scenario and returns its outcome."""
        scenario = self.scenario
        lead_s = 0.0 if scenario.cold else 4.0
        self.after(lead_s, self.choose_hosts)
        for at_s in scenario.moves_s:
            self.after(lead_s + at_s, self.choose_hosts)
        for at_s, kind, what in scenario.faults:
            self.after(
                lead_s + at_s,
                lambda kind=kind, what=what: self.fault(kind, what),
            )
        self.scenario = msgspec.structs.replace(
            scenario,
            loads=tuple(
                (lead_s + start_s, load) for start_s, load in scenario.loads
            ),
        )
        self.after(lead_s, self.request)
        end_s = lead_s + scenario.duration_s
        while self.next_s < end_s:
            self.step()
        return self.outcome(lead_s + scenario.measure_s, end_s)

    def outcome(self, start_s, end_s):
        """Returns what was measured from a start to an end time."""
        rng = random.Random(1)
        sent_s = sorted(
            at_s + rng.random() * SEND_DELAY_S for at_s in self.admitted_s
        )
        allowed = BOUNDS.largest(
            self.scenario.rate_per_s,
            self.scenario.burst or max(1.0, self.scenario.rate_per_s),
        )
        worst, worst_s = most_in_window(sent_s)
        received = sum(at_s >= start_s for at_s in self.received)
        admitted = sum(at_s >= start_s for at_s in self.admitted_s)
        return Outcome(
            worst / allowed,
            most_in_window(self.admitted_s)[0] / allowed,
            worst_s,
            1 - admitted / max(1, received),
            admitted / ((end_s - start_s) * self.scenario.rate_per_s),
            received / ((end_s - start_s) * self.scenario.rate_per_s),
            sum(self.sent_bytes.values()) / len(self.names) / end_s,
            max(self.sent_bytes.values(), default=0) / end_s,
            self.far_bytes / end_s,
        )


class Host(quotas.HostQuotas):
    """Host with the organisation that is in force there."""


def most_in_window(times_s):
    """Returns the largest number of times in a window, and its start."""
    return max(
        (
            (
                bisect.bisect_left(times_s, start_s + BOUNDS.window_s) - index,
                start_s,
            )
            for index, start_s in enumerate(times_s)
        ),
        default=(0, 0.0),
    )


def run(seed=1, **fields):
    """Runs a scenario."""
    return Model(Scenario(**fields), seed).run()
