"""Tests of the stand-in targets."""

import asyncio

import aiohttp
import pytest

from standins import targets


async def post(target, body=b'{}', **headers):
    url = f'http://{target.address}/jobs'
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, data=body, headers=headers) as resp,
    ):
        return resp.status, resp.headers, await resp.read()


@pytest.fixture
async def target_set():
    targets_ = targets.TargetSet(seed=3)
    yield targets_
    await targets_.stop()


class TestRunLog:
    """A log that misses an execution would hide a violated guarantee."""

    async def test_every_execution_is_counted(self, target_set):
        target = await target_set.add('t0', 4)
        for _ in range(2):
            await post(target, **{'Idempotency-Key': 'k1', 'X-Call': 'c1'})
        assert target_set.log.ran_twice() == ['k1']
        assert target_set.log.count('c1') == 2

    async def test_crashing_request_is_recorded(self, target_set):
        target = await target_set.add('t0', 4)
        before = target.incarnation
        with pytest.raises(aiohttp.ClientError):
            await post(target, b'crash-target', **{'Idempotency-Key': 'k1'})
        assert [run.key for run in target_set.log.runs] == ['k1']
        assert not target_set.log.runs[0].finished
        assert target.incarnation == before


class TestLimits:
    """A stand-in without limits could not reveal overload by the product."""

    async def test_full_target_sheds_before_running(self, target_set):
        target = await target_set.add('t0', 2)
        results = await asyncio.gather(*(post(target) for _ in range(5)))
        assert sorted(status for status, _, _ in results) == [
            200,
            200,
            503,
            503,
            503,
        ]
        assert len(target_set.log.runs) == 2
        shed = [headers for status, headers, _ in results if status == 503]
        assert all(headers['Target-Shed'] == '1' for headers in shed)

    async def test_cold_target_crashes_above_its_limit(self, target_set):
        target = await target_set.add('t0', 4, warm=False)
        results = await asyncio.gather(
            *(post(target) for _ in range(2)), return_exceptions=True
        )
        assert all(isinstance(outcome, Exception) for outcome in results)
        assert target_set.log.cold_overloads == 1

    async def test_truncated_answer_is_seen_by_the_client(self, target_set):
        target = await target_set.add('t0', 4)
        target.behaviour.truncate = True
        with pytest.raises(aiohttp.ClientPayloadError):
            await post(target)


class TestControl:
    """A misspelt setting must not look as if it were set."""

    async def test_unknown_setting_is_refused(self, target_set):
        target = await target_set.add('t0', 4)
        url = f'http://{target.address}/_standin/set?drain=1&slow_factor=4'
        async with (
            aiohttp.ClientSession() as session,
            session.get(url, timeout=aiohttp.ClientTimeout(2.0)) as resp,
        ):
            assert resp.status == 400
            assert 'drain' in await resp.text()
        assert target.behaviour.slow_factor == 1.0
