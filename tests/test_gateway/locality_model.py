"""Model of hosts in several failure domains that decide independently.

Hosts are real dispatchers with real selections; targets, connections, the link
between regions and callers are simulated on a clock that jumps.
"""

import asyncio
import collections
import random

import msgspec

from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.locality import crossings
from ragwortchute.gateway.locality import locality_part
from ragwortchute.gateway.selection import pacing
from tests.test_gateway import load_model
from tests.test_gateway import load_targets
from tests.test_gateway import rig as rigs

# Figures of docs/design/hard-load.md.
OTHER_DOMAIN_DELAY_S = 0.0022
OTHER_REGION_DELAY_S = 0.012
LINK_BYTES_PER_S = 30e6 / 8
SLOTS = 8
KIND = load_model.KINDS[0]
PROBE_BYTES = 600
SAMPLE_S = 0.25
# The store names a lost domain after this time.
NOTICE_S = 1.5
PROBES_PER_S = 60.0
# What happens before is not measured.
WARM_UP_S = 2.0


class Domain(msgspec.Struct, frozen=True):
    """A failure domain: targets, and requests per second of its callers."""

    name: str
    targets: int
    rate_per_s: float
    region: str = 'a'


class Scenario(msgspec.Struct, frozen=True):
    """Load and environment of a run.

    Attributes:
        domains: The failure domains.
        locality: Whether locality is on.
        hosts: Number of hosts.
        seconds: Time for which requests arrive.
        surge: Domain, start, end and factor of a higher rate.
        lost: Domain, start and end of a time without answers of its targets.
        body_bytes: Size of a request with its answer.
        link_used: Share of the link between regions that others use.
    """

    domains: tuple[Domain, ...]
    locality: bool = True
    hosts: int = 100
    seconds: float = 12.0
    surge: tuple[str, float, float, float] = ('', 0.0, 0.0, 1.0)
    lost: tuple[str, float, float] = ('', 0.0, 0.0)
    body_bytes: int = 4000
    link_used: float = 0.0


class Outcome(msgspec.Struct):
    """Final answer to a caller in a domain; times in seconds."""

    domain: str
    at_s: float
    status: int
    elapsed_s: float

    @property
    def in_objective(self) -> bool:
        """Whether it was answered within its objective."""
        return self.status == 200 and self.elapsed_s <= KIND.objective_s


class Send(msgspec.Struct):
    """A send of a host in a domain to a target in a domain."""

    at_s: float
    domain: str
    to: str
    crossing_reason: str


class _Link:
    """Link between regions: messages queue for its capacity."""

    def __init__(self, used):
        self._bytes_per_s = LINK_BYTES_PER_S * max(0.01, 1 - used)
        self._free_s = 0.0

    def delay_s(self, now_s, size):
        """Returns the delay in seconds of a message that is sent now."""
        self._free_s = max(now_s, self._free_s) + size / self._bytes_per_s
        return self._free_s - now_s + OTHER_REGION_DELAY_S


class _Connection(load_targets.SimConnection):
    """Connection over a link, to a target that may be lost."""

    __slots__ = ('pool',)

    def send(self, head, accept, body_parts=(), memory=None):
        """Sends a health request or a request."""
        is_probe = head.split(b' ', 2)[1] == b'/health'
        size = PROBE_BYTES if is_probe else self.pool.body_bytes
        self.pool.moved_bytes += size
        if self.pool.link is not None:
            self._delay_s = self.pool.link.delay_s(self._loop.time(), size)
        return super().send(head, accept)

    def _reply(self, fut, reply):
        if self._target.name not in self.pool.lost:
            super()._reply(fut, reply)


class _Pool(load_targets.SimPool):
    """Connections of a host to a target."""

    def __init__(self, target, delay_s, link, lost, body_bytes):
        super().__init__(target, delay_s)
        self.link = link
        self.lost = lost
        self.body_bytes = body_bytes
        self.moved_bytes = 0

    async def acquire(self):
        """Returns a connection; a new one takes a round trip."""
        if self._idle:
            return self._idle.pop()
        await asyncio.sleep(2 * self._delay_s)
        conn = _Connection(self._target, self._delay_s)
        conn.pool = self
        return conn


class Simulation:
    """Runs one scenario.

    Attributes:
        outcomes: Final answers to callers.
        sends: Sends to targets.
        shares: Samples of the mean share of the hosts of each domain.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self._seed = seed
        self._loop = asyncio.get_running_loop()
        self._start_s = self._loop.time()
        self._lost: set[str] = set()
        self._link = _Link(scenario.link_used)
        self._pools: list[_Pool] = []
        self.outcomes: list[Outcome] = []
        self.sends: list[Send] = []
        self.shares: dict[str, list[float]] = collections.defaultdict(list)
        self._targets = {
            f'{domain.name}-{number}': (domain, self._target(domain, number))
            for domain in scenario.domains
            for number in range(domain.targets)
        }
        self._hosts: dict[str, list[rigs.Rig]] = collections.defaultdict(list)
        for number in range(scenario.hosts):
            domain = scenario.domains[number % len(scenario.domains)]
            self._hosts[domain.name].append(self._host(number, domain))

    def _target(self, domain, number):
        name = f'{domain.name}-{number}'
        rng = random.Random(f'{self._seed}/{name}')
        return load_targets.SimTarget(name, SLOTS, rng)

    def _host(self, number, domain) -> rigs.Rig:
        rig = rigs.Rig()
        rig.rng.seed(f'{self._seed}/{number}')
        rig.dispatcher.gate.enabled = False
        regions = {item.name: item.region for item in self.scenario.domains}
        rig.state._domains = regions
        rig.state._failure_domain = domain.name
        rig.state.region = domain.region
        rig.log.event = lambda kind, **fields: self._log(domain, kind, fields)
        if self.scenario.locality:
            part = locality_part.Locality(crossings.Worth(), rig.rng, rig.log)
            rig.selector.locality = rig.dispatcher.choice.locality = part
        rig.state.set_configuration(1, rigs.configuration(KIND.route()))
        rig.state.set_targets(
            [
                model.TargetEntry(
                    name, 'svc', '::', 1, place.name, SLOTS, True, 0.0, 1
                )
                for name, (place, _) in self._targets.items()
            ],
            1,
        )
        rig.state.set_domains_out((), 1)
        names = [f'h{index}' for index in range(self.scenario.hosts)]
        rig.send_limits.fleet = pacing.make_fleet(f'h{number}', names, True)
        rig.selector.targets = len(self._targets)
        for name, (place, target) in self._targets.items():
            known = rig.state.targets[name]
            delay_s, link = load_model.SAME_DOMAIN_DELAY_S, None
            if place.region != domain.region:
                delay_s, link = OTHER_REGION_DELAY_S, self._link
            elif place is not domain:
                delay_s = OTHER_DOMAIN_DELAY_S
            known.pool = _Pool(
                target, delay_s, link, self._lost, self.scenario.body_bytes
            )
            if place is not domain:
                self._pools.append(known.pool)
        return rig

    def _log(self, domain, kind, fields):
        if kind == 'send':
            place, _ = self._targets[fields['target']]
            at_s = self._loop.time() - self._start_s
            reason = fields.get('left', '')
            self.sends.append(Send(at_s, domain.name, place.name, reason))

    async def run(self) -> None:
        """Sends requests and waits until all have been answered."""
        tasks = [
            self._loop.create_task(self._callers(domain))
            for domain in self.scenario.domains
        ]
        name, start_s, end_s = self.scenario.lost
        if name:
            targets = {
                target
                for target, (place, _) in self._targets.items()
                if place.name == name
            }
            self._at(start_s, self._lost.update, targets)
            self._at(start_s + NOTICE_S, self._set_out, (name,), 2)
            self._at(end_s, self._lost.difference_update, targets)
            self._at(end_s, self._set_out, (), 3)
        self._at(WARM_UP_S, self._start_measuring)
        for step in range(int(self.scenario.seconds / SAMPLE_S)):
            self._at(step * SAMPLE_S, self._sample)
        await asyncio.gather(*tasks)

    def _at(self, at_s, callback, *args):
        self._loop.call_at(self._start_s + at_s, callback, *args)

    def _set_out(self, domains, revision):
        for hosts in self._hosts.values():
            for rig in hosts:
                rig.state.set_domains_out(domains, revision)

    def _start_measuring(self):
        for pool in self._pools:
            pool.moved_bytes = 0

    def _sample(self):
        if not self.scenario.locality:
            return
        for name, hosts in self._hosts.items():
            shares = [
                rig.selector.locality.shares().get('svc', 0.0) for rig in hosts
            ]
            self.shares[name].append(sum(shares) / len(shares))

    async def _callers(self, domain) -> None:
        rng = random.Random(f'{self._seed}/{domain.name}')
        name, start_s, end_s, factor = self.scenario.surge
        tasks = []
        at_s = 0.0
        while at_s < self.scenario.seconds:
            rate = domain.rate_per_s
            if domain.name == name and start_s <= at_s < end_s:
                rate *= factor
            at_s += rng.expovariate(rate)
            work_s = KIND.work_s * rng.lognormvariate(
                -(load_model.WORK_SIGMA**2) / 2, load_model.WORK_SIGMA
            )
            rig = rng.choice(self._hosts[domain.name])
            await asyncio.sleep(self._start_s + at_s - self._loop.time())
            tasks.append(
                self._loop.create_task(self._call(domain, rig, work_s))
            )
        await asyncio.gather(*tasks)

    async def _call(self, domain, rig, work_s) -> None:
        start_s = self._loop.time()
        request_id = b'%s-%d' % (domain.name.encode(), start_s * 1e9)
        req = http_messages.Request(
            'GET',
            f'/{KIND.name}/{work_s}/{request_id.decode()}',
            'example',
            [
                (b'x-request-id', request_id),
                (b'x-request-deadline-ms', b'%d' % (KIND.deadline_s * 1000)),
            ],
            [bytes(self.scenario.body_bytes)],
            start_s,
            self._loop.create_future(),
        )
        resp = await rig.dispatcher.serve(req)
        elapsed_s = self._loop.time() - start_s
        at_s = start_s - self._start_s
        self.outcomes.append(Outcome(domain.name, at_s, resp.status, elapsed_s))

    @property
    def moved_bytes(self) -> int:
        """Bytes of probes, requests and answers that crossed, measured."""
        return sum(pool.moved_bytes for pool in self._pools)

    @property
    def link_bytes(self) -> int:
        """Those of them that used the link between regions."""
        pools = (pool for pool in self._pools if pool.link is not None)
        return sum(pool.moved_bytes for pool in pools)

    @property
    def probes_per_target_s(self) -> float:
        """Health requests per target and second."""
        hosts = [rig for hosts in self._hosts.values() for rig in hosts]
        probes = sum(rig.selector.probes_sent for rig in hosts)
        return probes / len(self._targets) / self.scenario.seconds

    @property
    def served(self) -> int:
        """Number of requests that were answered."""
        return sum(item.status == 200 for item in self.outcomes)

    def crossing_share(self, start_s=WARM_UP_S, end_s=1e9, domain='') -> float:
        """Returns the share of the sends that left their domain."""
        sends = [
            item
            for item in self.sends
            if start_s <= item.at_s < end_s and domain in ('', item.domain)
        ]
        return sum(item.to != item.domain for item in sends) / len(sends)

    def in_objective(self, start_s=WARM_UP_S, end_s=1e9, domain='') -> float:
        """Returns the share of the requests answered in their objective."""
        found = [
            item
            for item in self.outcomes
            if start_s <= item.at_s < end_s and domain in ('', item.domain)
        ]
        return sum(item.in_objective for item in found) / len(found)


def simulate(scenario: Scenario, seed: int) -> Simulation:
    """Runs a scenario and returns the simulation after its end."""

    async def run():
        simulation = Simulation(scenario, seed)
        await simulation.run()
        return simulation

    loop = load_model.JumpingLoop()
    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()
