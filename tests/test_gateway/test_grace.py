"""Tests of the decision which requests can end before a stopping host ends."""

import asyncio

import pytest

from ragwortchute.gateway import attempts
from ragwortchute.gateway import grace
from ragwortchute.gateway.http import http_messages
from standins import platform_targets
from tests.test_gateway import rig as rigs

NOW_S = 100.0


def call(timeout_s):
    req = http_messages.Request('GET', '/r/x', 'example', [], [], NOW_S, None)
    route = rigs.route(timeout_s=timeout_s)
    return attempts.Call(req, b'id', route, 'svc', NOW_S + timeout_s)


class TestGracePeriod:
    """Requests that can't be expected to end in time must be refused."""

    @pytest.fixture
    def period(self):
        period = grace.GracePeriod()
        period.ends_s = NOW_S + 3.0
        return period

    def note(self, period, *durations_s):
        for duration_s in durations_s:
            period.note_duration(rigs.route(), duration_s)

    def test_all_can_end_unless_the_host_stops(self):
        assert grace.GracePeriod().can_end(call(1e6), NOW_S)

    def test_one_whose_deadline_comes_first_can(self, period):
        self.note(period, 60.0)
        assert period.can_end(call(2.9), NOW_S)

    def test_first_one_on_a_route_may_take_all_of_its_time(self, period):
        assert not period.can_end(call(3.1), NOW_S)

    @pytest.mark.parametrize(('usual_s', 'can'), [(1.9, True), (2.1, False)])
    def test_it_may_take_longer_than_the_others(self, period, usual_s, can):
        self.note(period, 0.1, usual_s)
        assert period.can_end(call(30.0), NOW_S) == can

    @pytest.mark.parametrize('others', [7, 30, 63])
    def test_single_hung_request_refuses_no_others(self, period, others):
        self.note(period, *[0.1] * others, 30.0)
        assert period.can_end(call(30.0), NOW_S)

    def test_old_durations_are_forgotten(self, period):
        self.note(period, *[9.0] * 64, *[0.1] * 64)
        assert period.can_end(call(30.0), NOW_S)


class TestDispatcher:
    """A stopping host must refuse at once what it would cut off (issue 33)."""

    @pytest.fixture
    async def rig(self, start):
        rig = await start(
            platform_targets.TargetServer('t0'),
            platform_targets.TargetServer('t1'),
            routes=[rigs.route(timeout_s=8.0, attempts=2)],
        )
        rig.grace_period.note_duration(rigs.route(), 2.5)
        loop = asyncio.get_running_loop()
        rig.grace_period.ends_s = loop.time() + 1.0
        return rig

    async def test_request_is_refused_and_has_not_run(self, rig):
        resp = await rig.request(deadline_ms=8000)
        assert resp.status == 503
        assert float(resp.headers['retry-after']) < 0.1
        assert not any(target.runs for target in rig.targets)

    async def test_request_that_ends_before_is_served(self, rig):
        assert (await rig.request(deadline_ms=500)).status == 200

    async def test_failure_is_delivered_and_not_repeated(self, rig):
        # The time runs out while the first target is at work.
        for target in rig.targets:
            target.fault = 'error'
            target.work_s = 0.3
        rig.grace_period.ends_s += 3.0
        task = asyncio.create_task(rig.request(deadline_ms=8000))
        await asyncio.sleep(0.03)
        rig.grace_period.ends_s -= 3.0
        assert (await task).status == 500
        assert sum(len(target.runs) for target in rig.targets) == 1

    async def test_rejections_are_no_durations(self, rig):
        # They take no time, whatever the work of a request takes.
        rig.grace_period.ends_s += 100.0
        for target in rig.targets:
            target.fault = 'shed'
        for _ in range(20):
            await rig.request(deadline_ms=8000)
        rig.grace_period.ends_s -= 100.0
        for target in rig.targets:
            target.fault = ''
        assert (await rig.request(deadline_ms=8000)).status == 503
        assert not any(target.runs for target in rig.targets)
