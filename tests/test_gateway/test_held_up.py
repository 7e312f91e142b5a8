"""Tests of hosts whose process is held up."""

import asyncio
import time

import pytest

from ragwortchute.gateway.selection import targets
from standins import platform_targets


class TestProbes:
    """A host that was held up must not take targets for silent.

    It refused requests with `no-answer` (KNOWN-RED 10, issue 19).
    """

    @pytest.fixture
    async def rig(self, start, monkeypatch):
        rig = await start(platform_targets.TargetServer('t0'))
        assert (await rig.request()).status == 200
        self.held_s = 0.0
        probe = targets.Target.probe

        async def probe_while_held_up(target):
            if self.held_s:
                asyncio.get_running_loop().call_soon(time.sleep, self.held_s)
            return await probe(target)

        monkeypatch.setattr(targets.Target, 'probe', probe_while_held_up)
        return rig

    async def test_targets_get_their_time_to_answer(self, rig):
        self.held_s = 0.05
        statuses = [(await rig.request()).status for _ in range(5)]
        assert statuses == [200] * 5

    async def test_host_that_is_held_up_again_and_again(self, rig, monkeypatch):
        # A caller in a stop was refused whose request no target had run
        # (KNOWN-RED 22).
        loop = asyncio.get_running_loop()
        left = 10

        def hold_up():
            nonlocal left
            time.sleep(0.023)
            left -= 1
            if left > 0:
                loop.call_later(0.0002, hold_up)

        loop.call_soon(hold_up)
        assert (await rig.request()).status == 200
        assert left < 8

    async def test_wait_for_a_silent_target_is_bounded(self, rig, monkeypatch):
        monkeypatch.setattr(rig.targets[0], '_answer_probe', lambda writer: 0)
        self.held_s = 0.05
        started_s = time.monotonic()
        assert (await rig.request()).status == 503
        assert time.monotonic() - started_s < 0.3
