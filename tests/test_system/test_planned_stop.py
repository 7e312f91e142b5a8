"""Planned stops of host processes whose callers keep their connections."""

import asyncio
import contextlib
import signal

import pytest

from benchmarks.soak import hosts
from benchmarks.soak import run as runs
from standins import pipelining
from standins import uploading

CALLERS = 20
PREFIX = f'/{runs.READ}/'
# A stopping host accepts connections for 2.6 s, and its requests take less
# than a second.
MAX_STOP_S = 5.0


class Stop:
    """Hosts, targets, and callers of the host that is stopped."""

    def __init__(self, run):
        self.run = run
        self.host = run.hosts[0]
        self.callers = []

    def add_callers(self, count, depth, read_bytes_per_s=0.0, deadline_ms=2000):
        for _ in range(count):
            self.callers.append(
                pipelining.PipeliningCaller(
                    self.host.ip,
                    self.host.port,
                    'soak.example',
                    PREFIX,
                    depth,
                    read_bytes_per_s,
                    deadline_ms=deadline_ms,
                )
            )

    def add_uploading_callers(self, count, body_s, spread_s):
        for number in range(count):
            self.callers.append(
                uploading.UploadingCaller(
                    self.host.ip,
                    self.host.port,
                    'soak.example',
                    PREFIX,
                    8192,
                    body_s,
                    spread_s * number / count,
                )
            )

    async def play(self, before_s=1.0):
        """Stops the host under load; returns how long that takes."""
        loop = asyncio.get_running_loop()
        tasks = [asyncio.create_task(caller.run()) for caller in self.callers]
        await asyncio.sleep(before_s)
        self.stopped_s = loop.time()
        self.host.signal(signal.SIGTERM)
        await self.host.wait_ended()
        took_s = loop.time() - self.stopped_s
        for caller in self.callers:
            caller.stop()
        await asyncio.gather(*tasks)
        return took_s

    def requests(self):
        return [req for caller in self.callers for req in caller.requests]

    def ran(self):
        return {
            run.request_id for target in self.run.targets for run in target.runs
        }

    def lost(self):
        """Returns the requests that ran and have no complete answer."""
        ran = self.ran()
        return [
            (req.request_id, round(req.sent_s - self.stopped_s, 2), req.unread)
            for req in self.requests()
            if req.request_id in ran and not req.complete
        ]


@contextlib.asynccontextmanager
async def deployment(folder, timeout_s=1.0):
    run = runs.Soak(1, str(folder), [], 1)
    run.timeouts_s = (timeout_s,)
    try:
        await run.start()
        yield Stop(run)
    finally:
        await run.stop()


class TestPipelinedRequests:
    """A planned stop must lose no request that a target has run (issue 30).

    The host never saw a last request on connections with two or three requests
    outstanding. It went on reading until the end of its grace period, and then
    cut off what was running.
    """

    @pytest.mark.parametrize('depth', [2, 3])
    async def test_none_is_lost(self, tmp_path, depth):
        async with deployment(tmp_path) as stop:
            for target in stop.run.targets:
                target.slots = 20
                target.work_s = 0.1
            stop.add_callers(CALLERS, depth)
            took_s = await stop.play()
            served = sum(req.status == 200 for req in stop.requests())
            assert served > CALLERS * 10
            assert not stop.lost()
            assert took_s < MAX_STOP_S
            assert stop.host.process.returncode == 0


class TestLongAnswers:
    """A host must not exit before callers have its last answers (issue 30).

    It exited once it had handed them over. What it had not yet written was
    dropped, and with requests unread in the socket, the reset also discarded
    what the caller had not read.
    """

    async def test_slow_callers_get_all_of_them(self, tmp_path):
        async with deployment(tmp_path) as stop:
            for target in stop.run.targets:
                target.answer_bytes = 6 << 20
            stop.add_callers(4, 2, read_bytes_per_s=4e6)
            took_s = await stop.play(before_s=0.3)
            assert [req for req in stop.requests() if req.status == 200]
            assert not stop.lost()
            assert took_s < hosts.GRACE_S
            assert stop.host.process.returncode == 0


class TestUnreadAnswers:
    """A request behind an answer that is being read must not reset it.

    A host took an answer for delivered when the kernel had taken its bytes, and
    ended while callers with several requests outstanding read on (issue 33).
    """

    @pytest.mark.parametrize(
        ('depth', 'answer_bytes', 'read_bytes_per_s'),
        [(3, 1_000_000, 800_000), (2, 3_000_000, 2_000_000)],
    )
    async def test_none_is_lost(
        self, tmp_path, depth, answer_bytes, read_bytes_per_s
    ):
        async with deployment(tmp_path) as stop:
            for target in stop.run.targets:
                target.slots = 20
                target.answer_bytes = answer_bytes
            stop.add_callers(12, depth, read_bytes_per_s=read_bytes_per_s)
            took_s = await stop.play(before_s=2.0)
            assert [req for req in stop.requests() if req.status == 200]
            assert not stop.lost()
            assert took_s < hosts.GRACE_S
            assert stop.host.process.returncode == 0


class TestLateRequests:
    """A stopping host must pass on no request that can't end in time.

    It passed them on until the end of its grace period, and then cut them off
    without an answer, also those that may not repeat (issue 33).
    """

    @pytest.fixture
    async def stop(self, tmp_path):
        async with deployment(tmp_path, timeout_s=8.0) as stop:
            for target in stop.run.targets:
                target.slots = 20
            yield stop

    async def test_late_bodies_are_refused(self, stop):
        for target in stop.run.targets:
            target.work_s = 2.5
        stop.add_uploading_callers(20, 2.0, spread_s=4.5)
        await stop.play(before_s=7.0)
        assert any(req.status == 200 for req in stop.requests())
        assert not stop.lost()

    async def test_long_work_is_refused_when_too_little_time_is_left(
        self, stop
    ):
        for target in stop.run.targets:
            target.work_s = 4.5
        stop.add_callers(20, 1, deadline_ms=8000)
        await stop.play(before_s=7.5)
        assert any(req.status == 200 for req in stop.requests())
        assert not stop.lost()
