"""Tests that hosts do what targets say in their answers."""

import asyncio

import msgspec
import pytest

from standins import platform_targets
from tests.test_gateway import host_deployment
from tests.test_gateway import rig as rigs
from tests.test_gateway import test_application


@pytest.fixture
async def deployment():
    deployment = host_deployment.Deployment()
    yield deployment
    await deployment.stop()


@pytest.fixture
async def rig():
    rig = rigs.Rig(
        platform_targets.TargetServer('t'), platform_targets.TargetServer('u')
    )
    await rig.start()
    yield rig
    await rig.stop()


async def send(rig, requests):
    return [(await rig.request()).status for _ in range(requests)]


class TestLeaving:
    """A target that says that it leaves must get no further request."""

    async def leave(self, rig):
        leaving = rig.targets[0]
        leaving.leaving = True
        await send(rig, 30)
        assert leaving.arrivals
        return leaving

    async def test_no_request_follows_the_statement(self, rig):
        leaving = await self.leave(rig)
        assert len(leaving.arrivals) == 1
        assert set(await send(rig, 20)) == {200}

    async def test_statement_outlives_the_entry_of_the_target(self, rig):
        # Entries expire while the store is away, and come back as they were.
        leaving = await self.leave(rig)
        entry = rig.entry(leaving)
        rig.state.remove_target(entry.name, 2)
        rig.state.set_target(entry, 3)
        await send(rig, 20)
        assert len(leaving.arrivals) == 1

    async def test_new_incarnation_starts_anew(self, rig):
        leaving = await self.leave(rig)
        leaving.leaving = False
        entry = msgspec.structs.replace(rig.entry(leaving), born_ms=2)
        rig.state.set_target(entry, 3)
        await send(rig, 30)
        assert len(leaving.arrivals) > 1

    async def test_other_hosts_are_told(self, deployment):
        await deployment.start('a1', 'a1', 'a2', 'a2')
        hosts = deployment.hosts
        await deployment.until(lambda: all(host.ready for host in hosts))
        first = hosts[0].state.targets['t0']
        now_s = asyncio.get_running_loop().time()
        hosts[0].statements.note_leaving(first.entry, now_s)
        await deployment.until(
            lambda: all(
                host.statements.is_leaving(first.key) for host in hosts
            ),
            2.0,
        )

    async def test_host_that_relayed_a_request_is_told(self, deployment):
        await deployment.start('a1', 'b1')
        hosts = deployment.hosts
        await deployment.until(lambda: all(host.ready for host in hosts))
        await deployment.until(
            lambda: all(len(host.hosts()) == 2 for host in hosts)
        )
        hosts[1].membership.on_statements = lambda *_: None
        for target in deployment.targets:
            target.leaving = True
        resp = await test_application.TestRelay().request(hosts[1])
        assert resp.status == 200
        assert 'x-ragwortchute-target' not in resp.headers
        keys = [target.key for target in hosts[1].state.targets.values()]
        assert any(hosts[1].statements.is_leaving(key) for key in keys)


class TestPause:
    """A target that asks for a pause must get nothing until its end."""

    async def pause(self, rig, *targets, seconds='0.8'):
        for target in targets:
            target.fault = 'shed'
            target.retry_after = seconds
        await send(rig, 30)

    async def test_no_request_until_the_end(self, rig):
        paused = rig.targets[0]
        await self.pause(rig, paused)
        assert len(paused.arrivals) == 1
        assert set(await send(rig, 20)) == {200}
        paused.fault = ''
        await asyncio.sleep(0.8)
        await send(rig, 60)
        assert len(paused.arrivals) > 1

    async def test_refusal_names_the_earliest_end(self, rig):
        await self.pause(rig, *rig.targets, seconds='20')
        resp = await rig.request()
        assert resp.status == 503
        assert 18 <= float(resp.headers['retry-after']) <= 34
        assert rig.stats.refusals['target-paused'] > 0
        assert sum(len(target.arrivals) for target in rig.targets) == 2

    async def test_request_that_meets_all_pauses_is_told_of_them(self, rig):
        # It was told to return at once, as it had no attempt left.
        for target in rig.targets:
            target.fault = 'shed'
            target.retry_after = '20'
        waits = [(await rig.request()).headers['retry-after'] for _ in range(4)]
        assert all(18 <= float(wait) <= 34 for wait in waits)
        assert len(set(waits)) == 4

    async def test_first_requests_after_it_are_few(self, rig):
        await self.pause(rig, *rig.targets, seconds='0.3')
        for target in rig.targets:
            target.fault = ''
            target.work_s = 0.3
            target.arrivals.clear()
        await asyncio.sleep(0.3)
        responses = await asyncio.gather(*(rig.request() for _ in range(20)))
        assert [len(target.arrivals) for target in rig.targets] == [1, 1]
        assert sum(resp.status == 200 for resp in responses) == 2
        for target in rig.targets:
            target.work_s = 0.005
        responses = await asyncio.gather(*(rig.request() for _ in range(8)))
        assert {resp.status for resp in responses} == {200}

    async def test_rejected_request_after_it_is_followed_by_another(self, rig):
        await self.pause(rig, *rig.targets, seconds='0.1')
        for target in rig.targets:
            target.retry_after = ''
        await asyncio.sleep(0.1)
        assert await send(rig, 5) == [503] * 5
        for target in rig.targets:
            target.fault = ''
        assert await send(rig, 2) == [503] * 2
        await asyncio.sleep(0.5)
        assert await send(rig, 5) == [200] * 5

    @pytest.mark.parametrize('value', ['-1', 'nan', 'inf', 'soon', '1e300'])
    async def test_invalid_pause_changes_nothing(self, rig, value):
        await self.pause(rig, rig.targets[0], seconds=value)
        assert 'header-malformed' in rig.log.kinds()
        rig.targets[0].fault = ''
        await send(rig, 60)
        assert len(rig.targets[0].arrivals) > 1


class TestHealthAnswers:
    """What a target says in answers to health requests must count, too."""

    @pytest.fixture(autouse=True)
    def statements(self, rig):
        rig.targets[0].states_in_health = True

    async def test_leaving_target_gets_no_request(self, rig):
        rig.targets[0].leaving = True
        await send(rig, 30)
        assert not rig.targets[0].arrivals

    async def test_limit_holds_from_the_first_one_on(self, rig):
        rig.targets[0].limit_per_s = 0.5
        await send(rig, 30)
        assert len(rig.targets[0].arrivals) <= 1

    async def test_paused_target_is_not_probed(self, rig):
        paused = rig.targets[0]
        paused.fault = 'shed'
        paused.rejects_probes = True
        paused.retry_after = '5'
        await send(rig, 30)
        assert paused.probes == 1
        assert not paused.arrivals

    async def test_one_without_a_limit_does_not_end_it(self, rig):
        target = rig.state.targets['t']
        now_s = asyncio.get_running_loop().time()
        rig.statements.note_limit(target.entry, 3.0, now_s)
        conn, reading = await target.probe()
        conn.abort()
        rig.reader.note_constraints(target, reading.constraints, now_s)
        assert rig.statements.limit_per_s(target.key, now_s) == 3.0

    async def test_rejected_health_request_is_not_of_another_target(self, rig):
        target = rig.targets[0]
        target.fault = 'shed'
        target.rejects_probes = True
        await send(rig, 10)
        assert not rig.state.targets['t'].misdirected
        target.fault = ''
        await asyncio.sleep(1.2)
        await send(rig, 30)
        assert target.arrivals


class TestMetrics:
    """Operators must see which targets hosts leave out, and why."""

    async def test_pauses_and_leaving_targets_are_shown(self, deployment):
        await deployment.start('a1', targets=2)
        host = deployment.hosts[0]
        await deployment.until(lambda: host.ready)
        now_s = asyncio.get_running_loop().time()
        host.pauses.start(host.state.targets['t0'].entry, 5.0, now_s)
        host.statements.note_leaving(host.state.targets['t1'].entry, now_s)
        assert host.target_report.pauses_s() == {
            't0': pytest.approx(5.0, abs=0.2)
        }
        assert host.target_report.leaving() == {'t1': 1.0}
