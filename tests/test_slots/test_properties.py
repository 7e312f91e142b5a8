"""Property-based tests of the limits of targets under random faults."""

import asyncio
import functools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from ragwortchute import wire
from tests.test_slots import cluster as cluster_

HOSTS = ('h0', 'h1', 'h2')
TARGETS = ('t0', 't1')
_SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=15,
    stateful_step_count=20,
    # Shrinking a failure would take minutes, and the fixed seed reproduces it.
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)


def driven(method):
    """Runs an asynchronous rule in the event loop of the state machine."""

    @functools.wraps(method)
    def run(self, **kwargs):
        self.runner.run(method(self, **kwargs))

    return run


class SlotMachine(stateful.RuleBasedStateMachine):
    """Applies requests and faults to a cluster in random order.

    The invariants are checked on the requests that each process really runs,
    which no single host knows.
    """

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.cluster = cluster_.Cluster(targets=len(TARGETS))
        self.runner.run(self.cluster.__aenter__())
        self.running = []
        self.leases = []
        self.epoch = 1

    async def run(self, seconds):
        await self.cluster.clock.advance(seconds)

    def send_some(self, count, host):
        for _ in range(count):
            request = self.cluster.send(host)
            if request:
                self.running.append(request)

    def teardown(self):
        self.runner.run(self.cluster.__aexit__())
        self.runner.close()

    @stateful.rule()
    @driven
    async def warm_up(self):
        """Warms up the targets, as far as the present faults permit."""
        for request in self.running:
            self.cluster.answer(request)
        self.running.clear()
        await self.cluster.drive(cluster_.RAMP_S * 1.3, check=self.cold_limits)
        await self.run(0.3)

    @stateful.rule(host=st.sampled_from(HOSTS))
    @driven
    async def take(self, host):
        lease = self.cluster.take(host)
        if lease:
            self.leases.append(lease)

    @stateful.rule()
    @driven
    async def dispatch_held(self):
        """Uses leases acquired some time ago, as after a pause."""
        for lease in self.leases:
            request = self.cluster.dispatch(lease)
            if request:
                self.running.append(request)
        self.leases.clear()

    @stateful.rule(count=st.integers(1, 6), host=st.sampled_from(HOSTS))
    @driven
    async def send(self, count, host):
        self.send_some(count, host)

    @stateful.rule(count=st.integers(1, 6))
    @driven
    async def answer(self, count):
        for request in self.running[:count]:
            self.cluster.answer(request)
        del self.running[:count]

    @stateful.rule(seconds=st.sampled_from([0.005, 0.1, 0.6, 1.2, 3.0]))
    @driven
    async def wait(self, seconds):
        """Lets time pass; requests end at their deadline of 2 s."""
        await self.run(seconds)
        now_s = self.cluster.clock.monotonic()
        for request in list(self.running):
            if now_s - request.begun_s >= 2.0:
                self.running.remove(request)
                self.cluster.answer(request)

    @stateful.rule(name=st.sampled_from(TARGETS))
    @driven
    async def restart(self, name):
        self.cluster.restart(name, self.running)

    @stateful.rule(host=st.sampled_from(HOSTS), name=st.sampled_from(TARGETS))
    @driven
    async def lose_connections(self, host, name):
        kept = []
        for request in self.running:
            state = self.cluster.hosts[host].state(name)
            if request.lease.entry.state is state:
                self.cluster.lose(request)
            else:
                kept.append(request)
        self.running = kept
        self.cluster.hosts[host].upstream.break_all(name)

    @stateful.rule(host=st.sampled_from(HOSTS))
    @driven
    async def isolate(self, host):
        others = [name for name in HOSTS if name != host]
        self.cluster.network.partition([host], others)

    @stateful.rule()
    @driven
    async def heal(self):
        self.cluster.network.heal()

    @stateful.rule(owner=st.sampled_from(HOSTS), first=st.sampled_from(HOSTS))
    @driven
    async def change_view(self, owner, first):
        """Changes the owner of the targets in a new view.

        The hosts learn of it one after the other, so that for some time two
        hosts consider themselves the owner. The new owner may use the targets
        only once all hosts have learned of it.
        """
        self.epoch += 1
        owners = dict.fromkeys(TARGETS, owner)
        order = [first, *(name for name in HOSTS if name != first)]
        for host in order:
            membership = self.cluster.hosts[host].membership
            membership.gains = False
            membership.epoch = self.epoch
            membership.owners = owners
            await self.run(0.3)
            for name in HOSTS:
                self.send_some(2, name)
            self.cold_limits()
        for host in HOSTS:
            self.cluster.hosts[host].membership.gains = True

    @stateful.rule(
        lender=st.sampled_from(HOSTS),
        borrower=st.sampled_from(HOSTS),
        count=st.integers(1, 3),
        lost=st.booleans(),
    )
    @driven
    async def lend(self, lender, borrower, count, lost):
        if lender == borrower:
            return
        sent_s = self.cluster.clock.monotonic()
        request = wire.SlotRequest(borrower, cluster_.SERVICE, count)
        grant = self.cluster.hosts[lender].service.grant(request)
        await self.run(0.002)
        self.cluster.hosts[borrower].service.granted(
            lender, None if lost else grant, sent_s
        )

    @stateful.rule(size=st.integers(1, 3))
    @driven
    async def change_set(self, size):
        """Changes the serving set on one host after the other."""
        for host in self.cluster.hosts.values():
            host.membership.hosts = list(HOSTS[:size])
            await self.run(0.12)

    @stateful.invariant()
    def cold_limits(self):
        """A process never runs more requests than its age permits."""
        for target, process in self.cluster.processes.items():
            assert process.running <= self.cluster.limit(target), target

    @stateful.invariant()
    def warm_shares(self):
        """Own and borrowed slots of all hosts never exceed those of a target.

        Checked only while all hosts use the same serving set.
        """
        sets = {host.service.hosts for host in self.cluster.hosts.values()}
        if len(sets) > 1:
            return
        for target in TARGETS:
            held = sum(
                host.service.usable_slots(target)
                for host in self.cluster.hosts.values()
            )
            assert held <= self.cluster.slots, target


def test_limits_under_random_faults():
    """Guards against slots used twice under a combination of faults."""
    stateful.run_state_machine_as_test(SlotMachine, settings=_SETTINGS)
