"""Tests of the stand-in for targets of the platform."""

import asyncio

import pytest

from standins import platform_targets
from tests.test_gateway import rig as rigs


@pytest.fixture
async def target():
    target = platform_targets.TargetServer('t', slots=1)
    await target.start()
    yield target
    await target.stop()


async def request(target, path='/r/x'):
    reader, writer = await asyncio.open_connection('127.0.0.1', target.port)
    writer.write(
        f'GET {path} HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\n\r\n'.encode()
    )
    try:
        async with asyncio.timeout(1.0):
            return (await rigs.read_response(reader)).status
    except (OSError, EOFError):
        return 0
    finally:
        writer.close()


class TestFaults:
    """A fault that does something else than it says tests something else."""

    async def test_crash_leaves_no_slot_occupied(self, target):
        target.crash_path = '/r/poison'
        assert await request(target, '/r/poison') == 0
        await target.start(port=target.port)
        assert await request(target) == 200

    async def test_reset_does_not_run_the_request(self, target):
        target.fault = 'reset'
        assert await request(target) == 0
        assert (len(target.arrivals), len(target.runs)) == (1, 0)

    async def test_lost_answer_is_of_a_request_that_ran(self, target):
        target.fault = 'lose'
        assert await request(target) == 0
        assert [run.ended for run in target.runs] == ['done']
