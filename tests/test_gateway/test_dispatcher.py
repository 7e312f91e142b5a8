"""Tests of the dispatch of requests to targets."""

import asyncio

import pytest

from ragwortchute.gateway import host_settings
from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.http import intake
from ragwortchute.gateway.selection import candidates
from ragwortchute.gateway.selection import requirements
from standins import platform_targets
from tests.test_gateway import rig as rigs

WRITE = rigs.route(idempotent=False)
# Statuses that allow a caller to assume that a request was not executed.
NOT_EXECUTED = (408, 421, 429, 503)


def servers(count, **fields):
    return [
        platform_targets.TargetServer(f't{number}', **fields)
        for number in range(count)
    ]


class TestAnswers:
    """A caller must get the whole answer to its own request, or a failure."""

    async def test_answer_is_returned_unchanged(self, start):
        rig = await start(*servers(1))
        answer = await rig.request(method='POST', body=b'hello')
        assert answer.status == 200
        assert answer.body == b'answer of t0 hello'
        assert answer.headers['x-server-stamp'] == 'stamp.t0'

    async def test_error_status_of_a_target_is_forwarded(self, start):
        (target,) = servers(1)
        target.fault = 'error'
        rig = await start(target)
        answer = await rig.request()
        assert (answer.status, answer.body) == (500, b'failed')
        assert answer.headers['x-server-stamp'] == 'stamp.t0'

    @pytest.mark.parametrize('status', [408, 429, 503])
    @pytest.mark.parametrize('idempotent', [True, False])
    async def test_status_not_run_after_a_run_is_not_forwarded(
        self, start, status, idempotent
    ):
        # The caller would send the request again, and it would run twice
        # (review, case 2).
        targets = servers(2)
        for target in targets:
            target.fault = 'error'
            target.error_status = status
        rig = await start(*targets, routes=[rigs.route(idempotent=idempotent)])
        answer = await rig.request(method='POST')
        assert answer.status == 502
        assert 'x-server-stamp' not in answer.headers
        runs = sum(len(target.runs) for target in targets)
        assert runs == (2 if idempotent else 1)

    @pytest.mark.parametrize('fault', ['late', 'extra'])
    async def test_duplicate_answer_is_discarded(self, start, fault):
        # A target answers twice. The second answer must not be taken for the
        # answer to the next request on that connection.
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

    async def test_answer_without_length_ends_with_the_connection(self, start):
        (target,) = servers(1)
        target.fault = 'unframed'
        rig = await start(target, routes=[WRITE])
        answer = await rig.request(method='PUT', body=b'x')
        assert (answer.status, answer.body) == (200, b'answer of t0 x')


class TestAtMostOnce:
    """A request that is not idempotent must not be executed twice."""

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
        # Client libraries may retry a PUT on their own, as the method is
        # idempotent by its definition.
        answer = await rig.request(method='PUT', deadline_ms=150)
        assert sum(len(target.runs) for target in targets) == 1
        assert answer.status not in NOT_EXECUTED

    async def test_shed_request_goes_to_another_target(self, start):
        targets = servers(2)
        targets[0].fault = 'shed'
        rig = await start(*targets, routes=[WRITE])
        for _ in range(4):
            answer = await rig.request(method='POST')
            assert answer.status == 200
        assert len(targets[0].runs) == 0
        assert len(targets[1].runs) == 4

    async def test_refusal_after_sheds_has_status_503(self, start):
        targets = servers(3)
        for target in targets:
            target.fault = 'shed'
        rig = await start(*targets, routes=[WRITE])
        answer = await rig.request(method='POST')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        assert sum(len(target.arrivals) for target in targets) == 2

    async def test_broken_kept_connection_is_not_used(self, start):
        (target,) = servers(1)
        rig = await start(target, routes=[WRITE])
        await rig.request(method='POST')
        for writer in list(target._writers):
            writer.transport.abort()
        answer = await rig.request(method='POST')
        assert answer.status == 200
        assert len(target.runs) == 2


class TestRetries:
    """Retries must succeed and stay within the attempts and the budget."""

    @pytest.mark.parametrize('fault', ['lose', 'truncate', 'garbage', 'error'])
    async def test_idempotent_request_is_retried_elsewhere(self, start, fault):
        targets = servers(2)
        targets[0].fault = fault
        rig = await start(*targets)
        for _ in range(3):
            assert (await rig.request()).status == 200

    async def test_attempts_limit_the_targets(self, start):
        targets = servers(4)
        for target in targets:
            target.fault = 'lose'
        rig = await start(*targets, routes=[rigs.route(attempts=3)])
        answer = await rig.request()
        assert answer.status == 502
        assert sum(len(target.runs) for target in targets) == 3

    async def test_budget_limits_retries(self, start):
        # All targets shed: without the budget each request would be sent twice.
        targets = servers(4)
        for target in targets:
            target.fault = 'shed'
        limits = host_settings.FleetLimits(retry_ratio=0.2, retry_slack=5.0)
        rig = await start(*targets, limits=limits)
        for _ in range(40):
            await rig.request()
        arrivals = sum(len(target.arrivals) for target in targets)
        assert 40 < arrivals <= 40 + 0.2 * 40 + 5

    async def test_slow_answer_is_hedged(self, start):
        targets = servers(2)
        targets[0].fault = 'hang'
        # The target that hangs is selected first because it appears faster.
        targets[1].slowness = 2.0
        rig = await start(*targets)
        for _ in range(4):
            assert (await rig.request()).status == 200
        assert rig.stats.hedges >= 1
        await asyncio.sleep(0.05)
        # The attempt that did not answer first is cancelled.
        assert {run.ended for run in targets[0].runs} == {'dropped'}

    async def test_non_idempotent_request_is_not_hedged(self, start):
        targets = servers(2)
        for target in targets:
            target.work_s = 0.3
        rig = await start(*targets, routes=[WRITE])
        assert (await rig.request(method='POST')).status == 200
        assert sum(len(target.runs) for target in targets) == 1


class TestDeadlines:
    """No request may wait or be processed longer than its caller waits."""

    async def test_target_gets_the_remaining_time(self, start):
        (target,) = servers(1)
        rig = await start(target)
        await rig.request(deadline_ms=700)
        assert 500 < target.runs[0].deadline_ms <= 700

    async def test_timeout_of_the_route_limits_the_wait(self, start):
        (target,) = servers(1)
        target.fault = 'hang'
        rig = await start(target, routes=[rigs.route(timeout_s=0.1)])
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        answer = await rig.request(deadline_ms=5000)
        assert answer.status == 504
        assert loop.time() - started_s < 0.5
        assert target.runs[0].deadline_ms <= 100

    async def test_initial_estimate_does_not_refuse_a_new_route(self, start):
        # The processing time of a new route is guessed from its objective,
        # which here is longer than the timeout. The target is free.
        (target,) = servers(1)
        target.slowness = 2.0
        route = rigs.route(objective_s=1.0, timeout_s=0.4)
        rig = await start(target, routes=[route])
        answer = await rig.request(deadline_ms=1000)
        assert answer.status == 200

    async def test_overload_is_refused_at_once(self, start):
        # The only slot is busy for longer than the deadline.
        (target,) = servers(1, slots=1, queue=50, work_s=0.4)
        rig = await start(target, routes=[rigs.route(objective_s=1.0)])
        rig.dispatcher.work_times.record(rigs.route(), 0.4)
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


class TestEligibleTargets:
    """Requests may reach eligible targets only."""

    async def test_excluded_domain_gets_no_requests(self, start):
        targets = [
            platform_targets.TargetServer('t0', failure_domain='a1'),
            platform_targets.TargetServer('t1', failure_domain='a2'),
        ]
        rig = await start(*targets)
        rig.state.set_domains_out(['a1'], 2)
        for _ in range(5):
            assert (await rig.request()).status == 200
        assert not targets[0].arrivals

    async def test_targets_outside_the_homes_get_no_requests(self, start):
        targets = [
            platform_targets.TargetServer('t0', failure_domain='a1'),
            platform_targets.TargetServer('t1', failure_domain='b1'),
        ]
        rig = await start(*targets, routes=[rigs.route(homes=('b',))])
        for _ in range(5):
            assert (await rig.request()).status == 200
        assert not targets[0].arrivals

    async def test_request_without_a_target_is_refused(self, start):
        rig = await start(*servers(2))
        rig.state.set_domains_out(['a1'], 2)
        answer = await rig.request()
        assert answer.status == 503

    async def test_new_target_at_an_old_address_gets_no_requests(self, start):
        # The address of a target that has stopped was assigned to another one.
        targets = servers(2)
        rig = await start(*targets)
        targets[0].name = 'other'
        for _ in range(5):
            assert (await rig.request()).status == 200
        assert not targets[0].runs

    async def test_unhealthy_target_gets_no_requests(self, start):
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
        weighted = (
            model.WeightedService('svc', 3.0),
            model.WeightedService('other', 1.0),
        )
        route = rigs.route(services=weighted)
        rig = await start(*targets, routes=[route])
        services = dict(rigs.configuration().services)
        services['other'] = model.Service('other', '/health', 100, 0.0, 0.0)
        rig.state.set_configuration(
            2, model.Configuration(2, (route,), services, model.Limits())
        )
        for _ in range(200):
            assert (await rig.request()).status == 200
        assert 0.65 < len(targets[0].runs) / 200 < 0.85


class TestColdTargets:
    """A cold target must not get more requests than its rate limit."""

    async def test_cold_target_gets_requests_up_to_its_limit(self, start):
        # The limit is 1.5 * 10 + 5 = 20 requests per second, of which 75 % are
        # used. Each of four hosts may send 15 // 4 = 3 of these.
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
    """A host without a configuration must not answer with 404."""

    async def request_before_state(self, delay_s):
        """Sends a request to a host that reads the store after a delay."""
        (target,) = servers(1)
        rig = rigs.Rig(target)
        await target.start()
        await rig.listener.start('127.0.0.1', 0)
        requesting = asyncio.create_task(rig.request())
        await asyncio.sleep(delay_s)
        rig.state.set_configuration(1, rigs.configuration())
        rig.state.set_targets([rig.entry(target)], 1)
        rig.state.set_domains_out((), 1)
        answer = await requesting
        await rig.stop()
        return answer.status

    async def test_request_waits_for_the_first_read_of_the_store(self):
        # After a power failure all hosts have just started, and callers try
        # only one other host after a refusal.
        assert await self.request_before_state(0.2) == 200

    async def test_host_without_a_store_refuses_at_once(self):
        # Once the wait at the start is over, the store must be considered
        # down and the refusal must come without any wait.
        rig = rigs.Rig()
        rig.dispatcher._intake._started_s -= intake.STARTUP_WAIT_S
        headers = [(b'x-request-deadline-ms', b'3000')]
        gone = asyncio.get_running_loop().create_future()
        serving = rig.dispatcher.serve(
            http_messages.Request(
                'GET', '/r/x', 'example', headers, [], 0, gone
            )
        )
        with pytest.raises(StopIteration) as stopped:
            serving.send(None)
        assert stopped.value.value.status == 503

    async def test_request_is_refused_instead_of_not_found(self):
        rig = rigs.Rig()
        await rig.listener.start('127.0.0.1', 0)
        answer = await rig.request()
        await rig.stop()
        assert answer.status == 503

    async def test_outdated_host_refuses_instead_of_sending(self, start):
        rig = await start(*servers(1))
        rig.outdated = True
        for path in ('/r/x', '/dropped/x'):
            answer = await rig.request(path)
            assert answer.status == 503
            assert float(answer.headers['retry-after']) > 0
        assert not rig.targets[0].arrivals
        rig.outdated = False
        assert (await rig.request()).status == 200

    async def test_unknown_route_is_not_found(self, start):
        rig = await start(*servers(1))
        assert (await rig.request('/other/')).status == 404


class TestRemoteTargets:
    """The link between regions is for what the own region can't serve."""

    def targets(self, **fields):
        near = servers(4, **fields)
        far = platform_targets.TargetServer('far', failure_domain='b1')
        return [*near, far]

    async def test_rejections_do_not_lead_to_another_region(self, start):
        # Load: all targets of the region reject a part of the requests.
        targets = self.targets()
        rig = await start(*targets)
        now_s = asyncio.get_running_loop().time()
        for target in rig.state.targets.values():
            for _ in range(8):
                target.note_reported_failure(now_s, 0.5)
        for _ in range(20):
            assert (await rig.request()).status == 200
        assert not targets[-1].probes

    async def test_slow_region_leads_to_another_region(self, start):
        targets = self.targets(slots=1, queue=50, work_s=0.3)
        rig = await start(*targets)
        rig.dispatcher.work_times.record(rigs.route(), 0.3)
        statuses = await asyncio.gather(*(rig.request() for _ in range(8)))
        assert targets[-1].runs
        assert [answer.status for answer in statuses].count(200) >= 6


class TestCancelledSelection:
    """A selection that is cancelled must not keep connections."""

    async def test_connections_return_to_their_pools(self, start, monkeypatch):
        monkeypatch.setattr(candidates, 'LOCAL_PROBE_TIMEOUT_S', 0.9)
        targets = servers(3)
        rig = await start(*targets)
        answers = []
        asked = asyncio.Semaphore(0)

        def withhold(*args):
            answers.append(args)
            asked.release()

        for target in targets:
            target.write_health = target._write
            target._write = withhold
        required = requirements.Requirements(
            list(rig.state.targets.values()), 0.1, 0.2, 1.0
        )
        task = asyncio.create_task(rig.selector.select(required))
        async with asyncio.timeout(0.8):
            for _ in targets:
                await asked.acquire()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert task.cancelled()
        for target, args in zip(targets, answers, strict=True):
            target.write_health(*args)
        await asyncio.sleep(0.02)
        for target in rig.state.targets.values():
            assert target.pool.has_idle


class TestCallersThatDisconnect:
    """Targets must not process requests of callers that are gone."""

    async def disconnect(self, rig, method):
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

    async def test_idempotent_request_is_cancelled(self, start):
        (target,) = servers(1, work_s=0.4)
        rig = await start(target)
        await self.disconnect(rig, 'GET')
        assert [run.ended for run in target.runs] == ['dropped']

    async def test_non_idempotent_request_is_finished(self, start):
        (target,) = servers(1, work_s=0.15)
        rig = await start(target, routes=[WRITE])
        await self.disconnect(rig, 'POST')
        await asyncio.sleep(0.1)
        assert [run.ended for run in target.runs] == ['done']
