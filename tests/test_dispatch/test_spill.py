"""Tests of forwarding calls to other regions."""

import pytest
from returns import result

from ragwortchute import budgets
from ragwortchute import calls
from ragwortchute import clock as clocks
from ragwortchute import wire
from ragwortchute.dispatch import spill
from tests import fakes

LOCAL = 'luzon-makati-0'
REMOTE = 'visayas-cebu-0'


class _Region:
    """A host of a region whose dispatcher answers or refuses all calls."""

    def __init__(self, network, clock, host, remote_hosts):
        self.runs = []
        self.can_serve = True
        self.link_budget = budgets.LinkBudget(clock, 10_000)
        transport = network.transport(host)
        self.spill = spill.SpillDispatcher(
            dispatch=self.dispatch,
            transport=transport,
            clock=clock,
            region=fakes.make_member(host, host[:-2]).region,
            can_serve=lambda service: self.can_serve,
            remote_hosts=lambda service: remote_hosts,
            link_budget=self.link_budget,
        )
        transport.on(wire.CallForward, self.spill.on_spill)

    async def dispatch(self, call):
        self.runs.append(call)
        if self.can_serve:
            return result.Success(calls.Answer(200, [], b'answer'))
        return result.Failure(
            calls.Refusal(calls.Outcome.NOT_RUN, 'no-target', 'dispatch', 503)
        )


class _Setup:
    def __init__(self):
        self.clock = clocks.ManualClock()
        self.network = fakes.FakeNetwork()
        remote_member = fakes.make_member(REMOTE, 'visayas-cebu')
        self.local = _Region(self.network, self.clock, LOCAL, [remote_member])
        self.remote = _Region(self.network, self.clock, REMOTE, [])

    def call(self, body=b'{}', homes=()):
        return calls.Call(
            call_id='c1',
            service='dispatch',
            method='POST',
            path='/jobs',
            headers=[],
            body=body,
            tenant='',
            deadline_s=self.clock.monotonic() + 2.0,
            idempotent=False,
            homes=homes,
        )


@pytest.fixture
def setup():
    return _Setup()


class TestSpill:
    """Calls are forwarded only if needed, permitted and within the budget."""

    async def test_local_target_is_preferred(self, setup):
        """Guards against forwarding calls that local targets can serve."""
        outcome = await setup.local.spill.run(setup.call())
        assert outcome.unwrap().body == b'answer'
        assert setup.remote.runs == []

    async def test_other_region_serves_what_this_one_can_not(self, setup):
        """Guards against refusing calls that only another region can serve."""
        setup.local.can_serve = False
        outcome = await setup.local.spill.run(setup.call())
        assert outcome.unwrap().body == b'answer'
        assert len(setup.remote.runs) == 1
        assert setup.local.runs == []

    async def test_homes_keep_a_call_and_its_content_here(self, setup):
        """Guards against data that leaves the home regions of a call."""
        setup.local.can_serve = False
        outcome = await setup.local.spill.run(setup.call(homes=('luzon',)))
        assert outcome.failure().outcome is calls.Outcome.NOT_RUN
        assert setup.network.log == []

    async def test_forwarded_call_outside_its_homes_is_refused(self, setup):
        """Guards against serving a call outside its home regions.

        The sender may have an older document.
        """
        message = wire.CallForward(setup.call(homes=('luzon',)), 1000, 'spill')
        answer = await setup.remote.spill.on_spill(LOCAL, message)
        assert answer.refusal.outcome is calls.Outcome.NOT_RUN
        assert setup.remote.runs == []

    async def test_call_is_not_forwarded_twice(self, setup):
        """Guards against calls that are forwarded in a circle."""
        setup.local.can_serve = False
        setup.remote.can_serve = False
        outcome = await setup.local.spill.run(setup.call())
        assert outcome.failure().outcome is calls.Outcome.NOT_RUN
        assert len(setup.remote.runs) == 1

    async def test_link_budget_bounds_the_bytes(self, setup):
        """Guards against forwarded calls that exceed the link budget."""
        setup.local.can_serve = False
        big = setup.call(body=b'x' * 9_000)
        assert isinstance(await setup.local.spill.run(big), result.Success)
        refused = await setup.local.spill.run(big)
        assert refused.failure().reason == 'link-budget'
        assert refused.failure().outcome is calls.Outcome.NOT_RUN
        await setup.clock.advance(1.0)
        assert isinstance(await setup.local.spill.run(big), result.Success)

    async def test_lost_answer_is_unknown(self, setup):
        """Guards against running a call again that the other region ran.

        The answer of the other region is lost.
        """
        setup.local.can_serve = False
        setup.network.lose_answers.add((REMOTE, LOCAL))
        outcome = await setup.local.spill.run(setup.call())
        assert outcome.failure().outcome is calls.Outcome.UNKNOWN
        assert len(setup.remote.runs) == 1
        assert setup.local.runs == []

    async def test_unreachable_region_is_not_run(self, setup):
        """Guards against outcome `unknown` for a call that was never sent."""
        setup.local.can_serve = False
        setup.network.down.add(REMOTE)
        outcome = await setup.local.spill.run(setup.call())
        assert outcome.failure().outcome is calls.Outcome.NOT_RUN
