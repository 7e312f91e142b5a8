"""Stateful test: random faults must not give a target two owners."""

import asyncio

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from tests import simulation

_HOSTS = {f'h{i}': ('luzon-a', 'luzon-b')[i % 2] for i in range(6)}
_NAMES = st.sampled_from(sorted(_HOSTS))
_DELAYS = st.sampled_from([0.0, 0.3, 1.0, 2.5, 4.0, 8.0, 15.0])
_SIDES = st.fixed_dictionaries({name: st.integers(0, 2) for name in _HOSTS})


class FaultMachine(stateful.RuleBasedStateMachine):
    """Kills, pauses and partitions hosts, and injects faults into the store.

    `Cluster.advance` checks the safety properties at every step: a target
    never has two owners in one region that hold valid leases and may act as
    owners, and the epoch of a host never decreases.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.paused = set()
        self.run(self.setup())

    def run(self, coro):
        return self.loop.run_until_complete(coro)

    async def setup(self):
        self.cluster = simulation.Cluster(_HOSTS, size=len(_HOSTS))
        self.cluster.start('h0')
        await self.cluster.advance(1)
        self.cluster.start(*sorted(_HOSTS)[1:])
        await self.cluster.advance(12)

    def advance_now(self, delay_s):
        self.run(self.cluster.advance(delay_s))

    @stateful.rule(delay_s=_DELAYS)
    def advance(self, delay_s):
        self.advance_now(delay_s)

    @stateful.rule(host=_NAMES, listed=st.booleans())
    def kill(self, host, listed):
        if host in self.cluster.hosts and len(self.cluster.hosts) > 2:
            self.paused.discard(host)
            self.run(self.kill_now(host))
            if not listed:
                self.cluster.store.remove(f'hosts/{host}')

    async def kill_now(self, host):
        self.cluster.kill(host)

    @stateful.rule(host=_NAMES)
    def restart(self, host):
        self.run(self.restart_now(host))

    async def restart_now(self, host):
        if host in self.cluster.hosts:
            self.paused.discard(host)
            self.cluster.kill(host)
        self.cluster.list_host(host)
        self.cluster.start(host)

    @stateful.rule(host=_NAMES)
    def pause(self, host):
        if host in self.cluster.hosts:
            self.cluster.pause(host)
            self.paused.add(host)

    @stateful.rule(host=_NAMES)
    def resume(self, host):
        if host in self.paused:
            self.paused.discard(host)
            self.run(self.cluster.resume(host))

    @stateful.rule(
        sides=_SIDES, store_sides=st.sets(st.integers(0, 2)), delay_s=_DELAYS
    )
    def partition(self, sides, store_sides, delay_s):
        self.cluster.network.heal()
        groups = [
            [name for name, side in sides.items() if side == group]
            for group in range(3)
        ]
        for index, group in enumerate(groups):
            for other in groups[index + 1 :]:
                self.cluster.network.partition(group, other)
        self.cluster.store.cut = {
            name for name, side in sides.items() if side not in store_sides
        }
        self.advance_now(delay_s)

    @stateful.rule(
        hosts=st.sets(_NAMES, min_size=1, max_size=3), delay_s=_DELAYS
    )
    def isolate_with_the_store(self, hosts, delay_s):
        """Isolates up to three hosts, which alone can reach the store.

        The majority of the witnesses may then be unable to reach it.
        """
        self.cluster.network.heal()
        rest = set(_HOSTS) - hosts
        self.cluster.network.partition(hosts, rest)
        self.cluster.store.cut = rest
        self.advance_now(delay_s)

    @stateful.rule(
        out=st.sets(st.sampled_from(sorted(set(_HOSTS.values()))), max_size=1),
        delay_s=_DELAYS,
    )
    def change_domains(self, out, delay_s):
        """Takes a failure domain out, which moves owners at once."""
        self.cluster.out = out
        self.advance_now(delay_s)

    @stateful.rule(left=_NAMES, right=_NAMES)
    def cut_one_way(self, left, right):
        self.cluster.network.cut.add((left, right))

    @stateful.rule()
    def heal(self):
        self.cluster.network.heal()
        self.cluster.store.cut.clear()
        self.cluster.store.stale.clear()

    @stateful.rule(down=st.booleans())
    def store_outage(self, down):
        self.cluster.store.down = down

    @stateful.rule(hosts=st.sets(_NAMES))
    def cut_store(self, hosts):
        self.cluster.store.cut = hosts

    @stateful.rule(host=_NAMES)
    def lag_store(self, host):
        self.cluster.store.make_stale(host)

    @stateful.rule()
    def lose_answer(self):
        self.cluster.store.lose_answers = 1

    def teardown(self):
        self.run(self.recover())
        self.run(self.cluster.close())
        self.loop.close()

    async def recover(self):
        """Ends all faults and checks that the region agrees on a full view."""
        cluster = self.cluster
        cluster.network.heal()
        cluster.out = set()
        cluster.store.down = False
        cluster.store.cut.clear()
        cluster.store.stale.clear()
        cluster.store.lose_answers = 0
        for host in sorted(self.paused):
            await cluster.resume(host)
        for host in _HOSTS:
            if host not in cluster.hosts:
                cluster.list_host(host)
                cluster.start(host)
        await cluster.advance(60, step_s=0.1)
        views = [cluster.view(host) for host in cluster.hosts]
        assert {view.epoch for view in views} == {views[0].epoch}
        assert {member.host for member in views[0].members} == set(_HOSTS)
        assert all(len(cluster.owners(t)) == 1 for t in cluster.targets)


@pytest.mark.filterwarnings('ignore::RuntimeWarning')
class TestFaults(FaultMachine.TestCase):
    """A target must not have two owners, and the region must recover."""

    settings = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=15,
        stateful_step_count=25,
    )
