"""Model of load on targets, driven by the decisions of real hosts.

All hosts and targets run on one event loop whose clock jumps to the next timer.
The hosts are real dispatchers with real selections; only connections, targets
and callers are simulated, so that the tests measure the decisions and not the
machine.
"""

import asyncio
import itertools
import random
import selectors

import msgspec

from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.selection import pacing
from tests.test_gateway import load_targets
from tests.test_gateway import rig as rigs

DOMAINS = ('a1', 'a2')
SAME_DOMAIN_DELAY_S = 0.0005
OTHER_DOMAIN_DELAY_S = 0.0035
WORK_SIGMA = 0.35
# This share of the requests takes this many times the mean work.
LONG_SHARE = 0.01
LONG_FACTOR = 7.0
# A caller waits for up to this share of the time that it has left.
MAX_WAIT_SHARE = 1 / 3
ORGANISATION = b'x-organisation'


class Kind(msgspec.Struct, frozen=True):
    """A kind of request; times in seconds."""

    name: str
    work_s: float
    objective_s: float
    deadline_s: float
    priority: int
    share: float
    idempotent: bool = True

    def route(self) -> model.Route:
        """Returns the route of the kind."""
        return rigs.route(
            name=self.name,
            path_prefix=f'/{self.name}/',
            idempotent=self.idempotent,
            timeout_s=self.deadline_s,
            objective_s=self.objective_s,
            priority=self.priority,
        )


KINDS = (
    Kind('lookup', 0.113, 0.333, 1.924, 0, 0.45),
    Kind('read', 0.292, 0.881, 2.736, 1, 0.25),
    Kind('command', 0.372, 1.084, 3.229, 1, 0.15, idempotent=False),
    Kind('upload', 0.349, 3.247, 4.287, 2, 0.15, idempotent=False),
)


class JumpingLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self.now_s


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, loop: JumpingLoop) -> None:
        super().__init__()
        self._jumping_loop = loop

    def select(self, timeout=None):
        """Advances the clock instead of waiting."""
        if timeout is None:
            raise RuntimeError('nothing will ever happen')
        self._jumping_loop.now_s += max(0.0, timeout)
        return []


class _Intake:
    """Intake that reads the organisation from a header, without keys."""

    def __init__(self, inner):
        self._inner = inner
        self.is_outside_homes = inner.is_outside_homes
        self.recheck = inner.recheck

    async def accept(self, req, *, relayed):
        """Returns the call for a request."""
        call = await self._inner.accept(req, relayed=relayed)
        name = req.get(ORGANISATION)
        if name is not None:
            call.organisation = model.Organisation(name.decode(), frozenset())
        return call


class Scenario(msgspec.Struct, frozen=True):
    """Load and environment of a run.

    Attributes:
        load: Work that arrives, as a multiple of the capacity.
        hosts: Number of hosts.
        targets: Number of targets, half of them with 6 slots and half with 4.
        seconds: Time for which requests arrive.
        warm_up_s: Requests of this time at the start are not measured.
        surge: Kind of which 5 times as many arrive as usual; empty for none.
        organisations: Number of organisations; 0 for none.
        large_share: Times that the first organisation sends the usual load.
        slow_targets: Every how many-th target has a fifth of its speed; 0 for
            none.
        impatient: Whether callers retry at once, up to three times.
        equal: Whether all kinds have the same priority.
        admission: Whether requests are admitted by urgency.
    """

    load: float
    hosts: int = 8
    targets: int = 16
    seconds: float = 10.0
    warm_up_s: float = 2.0
    surge: str = ''
    organisations: int = 0
    large_share: float = 7.5
    slow_targets: int = 0
    impatient: bool = False
    equal: bool = False
    admission: bool = True


class Outcome(msgspec.Struct):
    """Final answer to a caller.

    Attributes:
        kind: Kind of the request.
        organisation: Name of its organisation, empty for none.
        work_s: Its work in seconds.
        status: Status of the last answer.
        elapsed_s: Time from the first send to the final answer.
        held: Shares of its time that a host took before each refusal.
        at_s: Time of the first send.
    """

    kind: Kind
    organisation: str
    work_s: float
    status: int
    elapsed_s: float
    held: list[float]
    at_s: float

    @property
    def good(self) -> bool:
        """Whether it was answered within its deadline."""
        return self.status == 200 and self.elapsed_s <= self.kind.deadline_s

    @property
    def in_objective(self) -> bool:
        """Whether it was answered within its objective."""
        return self.status == 200 and self.elapsed_s <= self.kind.objective_s


class Figures(msgspec.Struct):
    """Figures of a group of requests; shares of `requests`."""

    requests: int
    in_objective: float
    late: float
    refused: float
    failed: float
    left_at_refusal: float

    @property
    def served(self) -> float:
        """Share that was answered."""
        return self.in_objective + self.late


def figures(outcomes) -> Figures:
    """Returns the figures of requests."""
    count = max(1, len(outcomes))
    held = [share for item in outcomes for share in item.held]
    in_objective = sum(item.in_objective for item in outcomes) / count
    good = sum(item.status == 200 for item in outcomes) / count
    refused = sum(item.status == 503 for item in outcomes) / count
    return Figures(
        len(outcomes),
        in_objective,
        good - in_objective,
        refused,
        1 - good - refused,
        1 - max(held, default=0.0),
    )


class Simulation:
    """Runs one scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._start_s = self._loop.time()
        self._numbers = itertools.count()
        self.targets = [
            load_targets.SimTarget(
                f't{number}',
                6 if number % 2 else 4,
                random.Random(f'{seed}/{number}'),
                load_targets.SLOW_FACTOR if self._is_slow(number) else 1.0,
            )
            for number in range(scenario.targets)
        ]
        self.kinds = KINDS
        if scenario.equal:
            self.kinds = tuple(
                msgspec.structs.replace(kind, priority=0) for kind in KINDS
            )
        self.hosts = [self._host(number) for number in range(scenario.hosts)]
        self.outcomes: list[Outcome] = []

    @property
    def capacity(self) -> float:
        """Seconds of work per second that all targets can do."""
        return sum(target.capacity for target in self.targets)

    def _is_slow(self, number: int) -> bool:
        step = self.scenario.slow_targets
        return bool(step) and number % step == 0

    def _host(self, number: int) -> rigs.Rig:
        rig = rigs.Rig()
        rig.rng.seed(f'{number}')
        rig.dispatcher.gate.enabled = self.scenario.admission
        rig.log.event = lambda kind, **fields: None
        rig.dispatcher._intake = _Intake(rig.dispatcher._intake)
        rig.state.set_configuration(
            1, rigs.configuration(*(kind.route() for kind in self.kinds))
        )
        domain = DOMAINS[number % len(DOMAINS)]
        entries = [
            model.TargetEntry(
                target.name,
                'svc',
                '127.0.0.1',
                1,
                # Two thirds of the targets are in the first domain.
                DOMAINS[int(index % 3 == 2)],
                target.slots,
                True,
                0.0,
                1,
            )
            for index, target in enumerate(self.targets)
        ]
        rig.state.set_targets(entries, 1)
        rig.state.set_domains_out((), 1)
        names = [f'h{index}' for index in range(self.scenario.hosts)]
        rig.send_limits.fleet = pacing.make_fleet(f'h{number}', names, True)
        rig.selector.targets = len(entries)
        for target, entry in zip(self.targets, entries, strict=True):
            known = rig.state.targets[target.name]
            known.same_domain = entry.failure_domain == domain
            known.pool = load_targets.SimPool(
                target,
                SAME_DOMAIN_DELAY_S
                if known.same_domain
                else OTHER_DOMAIN_DELAY_S,
            )
        return rig

    async def run(self) -> None:
        """Sends requests and waits until all have been answered."""
        scenario = self.scenario
        weights = [
            kind.share * (5 if kind.name == scenario.surge else 1)
            for kind in self.kinds
        ]
        mean_work_s = sum(
            weight * kind.work_s
            for weight, kind in zip(weights, self.kinds, strict=True)
        ) / sum(weights)
        rate = scenario.load * self.capacity / mean_work_s
        organisation_weights = [
            scenario.large_share if number == 0 else 1.0
            for number in range(scenario.organisations)
        ]
        tasks = []
        end_s = self._start_s + scenario.seconds
        while self._loop.time() < end_s:
            kind = self.rng.choices(self.kinds, weights)[0]
            organisation = None
            if organisation_weights:
                number = self.rng.choices(
                    range(scenario.organisations), organisation_weights
                )[0]
                organisation = model.Organisation(f'o{number}', frozenset())
            tasks.append(self._loop.create_task(self._call(kind, organisation)))
            await asyncio.sleep(self.rng.expovariate(rate))
        await asyncio.gather(*tasks)
        self._done_s = self._loop.time()

    async def _call(self, kind, organisation) -> None:
        start_s = self._loop.time()
        work_s = kind.work_s * self.rng.lognormvariate(
            -(WORK_SIGMA**2) / 2, WORK_SIGMA
        )
        if self.rng.random() < LONG_SHARE:
            work_s = kind.work_s * LONG_FACTOR
        retries = 3 if self.scenario.impatient else 1
        held = []
        for attempt in range(retries + 1):
            sent_s = self._loop.time()
            left_s = start_s + kind.deadline_s - sent_s
            resp = await self._send(kind, organisation, work_s, left_s)
            if resp.status != 503:
                break
            held.append((self._loop.time() - sent_s) / left_s)
            wait_s = float(dict(resp.headers)[b'retry-after'])
            left_s = start_s + kind.deadline_s - self._loop.time()
            if self.scenario.impatient:
                wait_s = 0.001
            if attempt == retries or wait_s > left_s * MAX_WAIT_SHARE:
                break
            await asyncio.sleep(wait_s)
        if start_s - self._start_s >= self.scenario.warm_up_s:
            self.outcomes.append(
                Outcome(
                    kind,
                    organisation.name if organisation else '',
                    work_s,
                    resp.status,
                    self._loop.time() - start_s,
                    held,
                    start_s - self._start_s,
                )
            )

    async def _send(self, kind, organisation, work_s, left_s):
        host = self.rng.choice(self.hosts)
        headers = [
            (b'x-request-id', b'%d' % next(self._numbers)),
            (b'x-request-deadline-ms', b'%d' % (left_s * 1000)),
        ]
        if organisation is not None:
            headers.append((ORGANISATION, organisation.name.encode()))
        req = http_messages.Request(
            'GET',
            f'/{kind.name}/{work_s}/{headers[0][1].decode()}',
            'example',
            headers,
            [],
            self._loop.time(),
            self._loop.create_future(),
        )
        return await host.dispatcher.serve(req)

    def kind(self, name: str) -> Figures:
        """Returns the figures of a kind."""
        return figures([o for o in self.outcomes if o.kind.name == name])

    def latency_s(self, name: str, share: float) -> float:
        """Returns the time in which a share of the answers to a kind came."""
        elapsed_s = sorted(
            item.elapsed_s
            for item in self.outcomes
            if item.kind.name == name and item.status == 200
        )
        return elapsed_s[int(share * (len(elapsed_s) - 1))]

    def organisation(self, name: str) -> Figures:
        """Returns the figures of an organisation."""
        return figures([o for o in self.outcomes if o.organisation == name])

    def all(self) -> Figures:
        """Returns the figures of all requests."""
        return figures(self.outcomes)

    @property
    def useful_work(self) -> float:
        """Work of served requests per time, as a share of the capacity."""
        seconds = self.scenario.seconds - self.scenario.warm_up_s
        done_s = sum(item.work_s for item in self.outcomes if item.good)
        return done_s / seconds / self.capacity


def simulate(scenario: Scenario, seed: int = 1) -> Simulation:
    """Runs a scenario and returns its end."""

    async def run():
        simulation = Simulation(scenario, seed)
        await simulation.run()
        return simulation

    loop = JumpingLoop()
    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()
