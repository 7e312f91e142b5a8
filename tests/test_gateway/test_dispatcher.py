"""Tests of the way of a request to targets and back."""

import asyncio

import pytest

from ragwortchute.gateway import dispatcher
from ragwortchute.gateway import http_server
from ragwortchute.gateway import model
from standins import platform_targets
from tests.test_gateway import rig as rigs

WRITE = rigs.route(idempotent=False)
# Answers that say that a request has not run.
PROMISES = (408, 421, 429, 503)


def servers(count, **fields):
    return [
        platform_targets.TargetServer(f't{number}', **fields)
        for number in range(count)
    ]


@pytest.fixture
async def start():
    started = []

    async def run(*targets, routes=(), limits=None):
        rig = rigs.Rig(*targets, limits=limits)
        started.append(rig)
        await rig.start(*routes)
        return rig

    yield run
    for rig in started:
        await rig.stop()


class TestAnswers:
    """A caller must get the whole answer to its own request, or a failure."""

    async def test_answer_is_returned_unchanged(self, start):
        rig = await start(*servers(1))
        answer = await rig.request(method='POST', body=b'hello')
        assert answer.status == 200
        assert answer.body == b'answer of t0 hello'
        assert answer.headers['x-server-stamp'] == 'stamp.t0'

    async def test_failure_of_a_target_keeps_its_status(self, start):
        (target,) = servers(1)
        target.fault = 'error'
        rig = await start(target)
        answer = await rig.request()
        assert (answer.status, answer.body) == (500, b'failed')
        assert answer.headers['x-server-stamp'] == 'stamp.t0'

    @pytest.mark.parametrize('fault', ['late', 'extra'])
    async def test_second_answer_reaches_nobody(self, start, fault):
        # A target answers twice; the copy must not become the answer to the
        # next request on that connection.
        (target,) = servers(1)
        target.fault = fault
        rig = await start(target)
        for number in range(20):
            body = b'%d' % number
            answer = await rig.request(method='POST', body=body)
            assert answer.status == 200
            assert answer.body == b'answer of t0 ' + body

    @pytest.mark.parametrize(
        'fault', ['truncate', 'garbage', 'encoded', 'no-id', 'reset']
    )
    async def test_broken_answer_is_never_a_success(self, start, fault):
        (target,) = servers(1)
        target.fault = fault
        rig = await start(target, routes=[WRITE])
        answer = await rig.request(method='POST', body=b'x')
        assert answer.status == 502

    async def test_answer_without_length_is_whole_at_its_end(self, start):
        (target,) = servers(1)
        target.fault = 'unframed'
        rig = await start(target, routes=[WRITE])
        answer = await rig.request(method='PUT', body=b'x')
        assert (answer.status, answer.body) == (200, b'answer of t0 x')


class TestAtMostOnce:
    """A request that may not repeat must not run twice."""

    @pytest.mark.parametrize(
        'fault',
        ['lose', 'truncate', 'garbage', 'error', 'encoded', 'no-id', 'hang'],
    )
    async def test_request_runs_once_whatever_the_target_does(
        self, start, fault
    ):
        targets = servers(3)
        for target in targets:
            target.fault = fault
        rig = await start(*targets, routes=[WRITE])
        # PUT: a client library may take the method for repeatable.
        answer = await rig.request(method='PUT', deadline_ms=150)
        assert sum(len(target.runs) for target in targets) == 1
        assert answer.status not in PROMISES

    async def test_shed_request_goes_to_another_target(self, start):
        targets = servers(2)
        targets[0].fault = 'shed'
        rig = await start(*targets, routes=[WRITE])
        for _ in range(4):
            answer = await rig.request(method='POST')
            assert answer.status == 200
        assert len(targets[0].runs) == 0
        assert len(targets[1].runs) == 4

    async def test_refusal_after_sheds_says_not_run(self, start):
        targets = servers(3)
        for target in targets:
            target.fault = 'shed'
        rig = await start(*targets, routes=[WRITE])
        answer = await rig.request(method='POST')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        assert sum(len(target.arrivals) for target in targets) == 2

    async def test_kept_connection_that_broke_is_not_written_to(self, start):
        (target,) = servers(1)
        rig = await start(target, routes=[WRITE])
        await rig.request(method='POST')
        for writer in list(target._writers):
            writer.transport.abort()
        answer = await rig.request(method='POST')
        assert answer.status == 200
        assert len(target.runs) == 2


class TestRepeats:
    """Repeats must help, and stay within attempts and budget."""

    @pytest.mark.parametrize('fault', ['lose', 'truncate', 'garbage', 'error'])
    async def test_idempotent_request_is_repeated_elsewhere(self, start, fault):
        targets = servers(2)
        targets[0].fault = fault
        rig = await start(*targets)
        for _ in range(3):
            assert (await rig.request()).status == 200

    async def test_attempts_bound_the_targets(self, start):
        targets = servers(4)
        for target in targets:
            target.fault = 'lose'
        rig = await start(*targets, routes=[rigs.route(attempts=3)])
        answer = await rig.request()
        assert answer.status == 502
        assert sum(len(target.runs) for target in targets) == 3

    async def test_budget_bounds_repeats(self, start):
        # Every target sheds: without the budget each request arrives twice.
        targets = servers(4)
        for target in targets:
            target.fault = 'shed'
        limits = dispatcher.Limits(retry_ratio=0.2, retry_slack=5.0)
        rig = await start(*targets, limits=limits)
        for _ in range(40):
            await rig.request()
        arrivals = sum(len(target.arrivals) for target in targets)
        assert 40 < arrivals <= 40 + 0.2 * 40 + 5

    async def test_slow_answer_is_hedged(self, start):
        targets = servers(2)
        targets[0].fault = 'hang'
        # The one that hangs looks better.
        targets[1].slowness = 2.0
        rig = await start(*targets)
        for _ in range(4):
            assert (await rig.request()).status == 200
        assert rig.stats.hedges >= 1
        await asyncio.sleep(0.05)
        # The one that lost is cancelled.
        assert {run.ended for run in targets[0].runs} == {'dropped'}

    async def test_request_that_may_not_repeat_is_not_hedged(self, start):
        targets = servers(2)
        for target in targets:
            target.work_s = 0.3
        rig = await start(*targets, routes=[WRITE])
        assert (await rig.request(method='POST')).status == 200
        assert sum(len(target.runs) for target in targets) == 1


class TestDeadlines:
    """No request may wait or work longer than its caller does."""

    async def test_target_gets_what_is_left(self, start):
        (target,) = servers(1)
        rig = await start(target)
        await rig.request(deadline_ms=700)
        assert 500 < target.runs[0].deadline_ms <= 700

    async def test_timeout_of_the_route_bounds_the_wait(self, start):
        (target,) = servers(1)
        target.fault = 'hang'
        rig = await start(target, routes=[rigs.route(timeout_s=0.1)])
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        answer = await rig.request(deadline_ms=5000)
        assert answer.status == 504
        assert loop.time() - started_s < 0.5
        assert target.runs[0].deadline_ms <= 100

    async def test_new_route_is_not_refused_by_a_guess(self, start):
        # The objective is longer than the timeout: nothing is known of the
        # work of a route that was just added, and the target is free.
        (target,) = servers(1)
        target.slowness = 2.0
        route = rigs.route(objective_s=1.0, timeout_s=0.4)
        rig = await start(target, routes=[route])
        answer = await rig.request(deadline_ms=1000)
        assert answer.status == 200

    async def test_overload_is_refused_at_once(self, start):
        # All slots and queues are full for longer than the deadline.
        (target,) = servers(1, slots=1, queue=50, work_s=0.4)
        rig = await start(target, routes=[rigs.route(objective_s=1.0)])
        rig.dispatcher.work_times.learn(rigs.route(), 0.4)
        first = [
            asyncio.create_task(rig.request(deadline_ms=900)) for _ in range(2)
        ]
        await asyncio.sleep(0.05)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        answer = await rig.request(deadline_ms=300)
        assert answer.status == 503
        assert loop.time() - started_s < 0.2
        await asyncio.gather(*first)


class TestPlaces:
    """Nothing may reach a target that must not get it."""

    async def test_domain_taken_out_gets_nothing(self, start):
        targets = [
            platform_targets.TargetServer('t0', failure_domain='a1'),
            platform_targets.TargetServer('t1', failure_domain='a2'),
        ]
        rig = await start(*targets)
        rig.knowledge.set_out(['a1'], 2)
        for _ in range(5):
            assert (await rig.request()).status == 200
        assert not targets[0].arrivals

    async def test_homes_bind(self, start):
        targets = [
            platform_targets.TargetServer('t0', failure_domain='a1'),
            platform_targets.TargetServer('t1', failure_domain='b1'),
        ]
        rig = await start(*targets, routes=[rigs.route(homes=('b',))])
        for _ in range(5):
            assert (await rig.request()).status == 200
        assert not targets[0].arrivals

    async def test_no_target_is_refused_at_once(self, start):
        rig = await start(*servers(2))
        rig.knowledge.set_out(['a1'], 2)
        answer = await rig.request()
        assert answer.status == 503

    async def test_other_service_at_the_address_runs_nothing(self, start):
        # The address of a target that is gone was given to another one.
        targets = servers(2)
        rig = await start(*targets)
        targets[0].name = 'other'
        for _ in range(5):
            assert (await rig.request()).status == 200
        assert not targets[0].runs

    async def test_unhealthy_target_gets_nothing(self, start):
        targets = servers(2)
        targets[0].healthy = False
        rig = await start(*targets)
        for _ in range(5):
            assert (await rig.request()).status == 200
        assert not targets[0].arrivals

    async def test_weights_divide_the_requests(self, start):
        targets = [
            platform_targets.TargetServer('t0', service='svc'),
            platform_targets.TargetServer('t1', service='other'),
        ]
        parts = (model.Part('svc', 3.0), model.Part('other', 1.0))
        route = rigs.route(parts=parts)
        rig = await start(*targets, routes=[route])
        services = dict(rigs.configuration().services)
        services['other'] = model.Service('other', '/health', 100, 0.0, 0.0)
        rig.knowledge.set_configuration(
            2, model.Configuration(2, (route,), services, model.Limits())
        )
        for _ in range(200):
            assert (await rig.request()).status == 200
        assert 0.65 < len(targets[0].runs) / 200 < 0.85


class TestColdTargets:
    """A cold target must not get more than its pace."""

    async def test_cold_target_gets_its_pace(self, start):
        # One and a half times ten requests a second and five more are borne;
        # a host of four may send its part of three quarters of that.
        targets = servers(1)
        targets[0].cold_s = 3.0
        rig = await start(*targets)
        statuses = [(await rig.request()).status for _ in range(30)]
        assert len(targets[0].arrivals) == 3
        assert statuses[:3] == [200, 200, 200]
        assert set(statuses[3:]) == {503}

    async def test_warm_targets_take_the_rest(self, start):
        targets = servers(2)
        targets[0].cold_s = 3.0
        rig = await start(*targets)
        for _ in range(30):
            assert (await rig.request()).status == 200
        assert len(targets[0].arrivals) <= 3


class TestBeforeTheConfiguration:
    """A host without a configuration must not say that a route is absent."""

    async def ask_before_reading(self, waits_s):
        """Starts a host that has read the store only after a while."""
        (target,) = servers(1)
        rig = rigs.Rig(target)
        await target.start()
        await rig.listener.start('127.0.0.1', 0)
        asking = asyncio.create_task(rig.request())
        await asyncio.sleep(waits_s)
        rig.knowledge.set_configuration(1, rigs.configuration())
        rig.knowledge.set_targets([rig.entry(target)], 1)
        rig.knowledge.set_out((), 1)
        answer = await asking
        await rig.stop()
        return answer.status

    async def test_request_waits_for_the_first_reading(self):
        # After a loss of power every host that a caller turns to has just
        # started, and callers turn only once.
        assert await self.ask_before_reading(0.2) == 200

    async def test_host_without_a_store_refuses_at_once(self):
        # Some time after the start the store is known to be away; the refusal
        # must come without any wait.
        rig = rigs.Rig()
        rig.dispatcher._started_s -= dispatcher.START_HOLD_S
        headers = [(b'x-request-deadline-ms', b'3000')]
        gone = asyncio.get_running_loop().create_future()
        serving = rig.dispatcher.serve(
            http_server.Request('GET', '/r/x', 'example', headers, b'', 0, gone)
        )
        with pytest.raises(StopIteration) as stopped:
            serving.send(None)
        assert stopped.value.value.status == 503

    async def test_refusal_instead_of_not_found(self):
        rig = rigs.Rig()
        await rig.listener.start('127.0.0.1', 0)
        answer = await rig.request()
        await rig.stop()
        assert answer.status == 503

    async def test_unknown_route_is_not_found(self, start):
        rig = await start(*servers(1))
        assert (await rig.request('/other/')).status == 404


class TestCallersThatLeave:
    """Targets must not work for callers that have left."""

    async def leave(self, rig, method):
        _, writer = await asyncio.open_connection(
            '127.0.0.1', rig.listener.port
        )
        writer.write(
            f'{method} /r/x HTTP/1.1\r\nHost: example\r\nX-Request-Id: i\r\n'
            'X-Request-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n'.encode()
        )
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.15)

    async def test_work_that_may_repeat_is_cancelled(self, start):
        (target,) = servers(1, work_s=0.4)
        rig = await start(target)
        await self.leave(rig, 'GET')
        assert [run.ended for run in target.runs] == ['dropped']

    async def test_other_work_is_finished(self, start):
        (target,) = servers(1, work_s=0.15)
        rig = await start(target, routes=[WRITE])
        await self.leave(rig, 'POST')
        await asyncio.sleep(0.1)
        assert [run.ended for run in target.runs] == ['done']
