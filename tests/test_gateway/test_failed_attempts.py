"""Tests of the memory that failed attempts of requests take."""

import asyncio

import pytest

from ragwortchute.gateway.selection import crash_checks
from standins import platform_targets
from tests.test_gateway import rig as rigs

BODY = bytes(100_000)


class TestBodies:
    """No body may be kept without being counted.

    A check whether a target crashed kept the request for a second after its
    memory had been returned, and a request that was tried again its failure.
    """

    async def test_check_does_not_keep_the_request(self, start, monkeypatch):
        monkeypatch.setattr(crash_checks, 'CHECK_DELAY_S', 0.2)
        target = platform_targets.TargetServer('t0')
        target.crash_path = '/r/x'
        rig = await start(target, routes=[rigs.route(idempotent=False)])
        served = []
        serve = rig.listener.handler

        def note(req):
            served.append(req)
            return serve(req)

        rig.listener.handler = note
        assert (await rig.request(method='POST', body=BODY)).status == 502
        assert not served[0].body_bytes
        await asyncio.sleep(0.3)
        assert 'crash-suspect' in rig.log.kinds()

    @pytest.mark.parametrize(('left_bytes', 'runs'), [(10_000, 2), (0, 1)])
    async def test_failure_is_counted(self, start, left_bytes, runs):
        targets = [platform_targets.TargetServer(name) for name in 'ab']
        for target in targets:
            target.fault = 'error'
        rig = await start(*targets)
        used_bytes = rigs.MAX_ANSWERS_BYTES // 2 - left_bytes
        assert rig.answers.keep(used_bytes)
        # Without memory it is delivered instead of being kept for a retry.
        assert (await rig.request()).status == 500
        assert sum(len(target.runs) for target in targets) == runs
        assert rig.answers.kept_bytes == used_bytes
