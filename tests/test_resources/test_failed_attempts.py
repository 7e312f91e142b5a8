"""Tests of the memory that failed attempts of requests take."""

import asyncio

import pytest

from ragwortchute.gateway import answer_memory
from ragwortchute.gateway import crash_checks
from standins import platform_targets
from tests.test_gateway import rig as rigs
from tests.test_gateway import test_streamed_answers

BODY = bytes(100_000)
ANSWER_BYTES = 60_000


class FailingTarget(platform_targets.TargetServer):
    """Target whose answers are failures with a body.

    Of several, all but the first that gets a request take their time.
    """

    asked = False

    def _work(self, path):
        work_s = 0.3 if FailingTarget.asked else 0.005
        FailingTarget.asked = True
        return platform_targets.Work(work_s)

    async def _respond(self, writer, id_headers, text):
        headers = {**id_headers, 'x-server-stamp': f'stamp.{self.name}'}
        self._write(writer, 500, headers, bytes(ANSWER_BYTES))
        return True


@pytest.fixture
async def start():
    started = []

    async def run(*targets, **route):
        rig = rigs.Rig(*targets)
        started.append(rig)
        await rig.start(rigs.route(**route))
        rig.served = []
        serve = rig.dispatcher.serve

        async def note(req):
            rig.served.append(req)
            return await serve(req)

        rig.listener.handler = note
        return rig

    yield run
    for rig in started:
        await rig.stop()


class TestRequestBodies:
    """No body may be kept once its memory has been returned.

    A check whether a target crashed kept the request for a second, and a long
    answer kept it until its end.
    """

    async def test_check_does_not_keep_it(self, start, monkeypatch):
        monkeypatch.setattr(crash_checks, 'CHECK_DELAY_S', 0.2)
        target = platform_targets.TargetServer('t0')
        target.crash_path = '/r/x'
        rig = await start(target, idempotent=False)
        answer = await rig.request(method='POST', body=BODY)
        assert answer.status == 502
        (req,) = rig.served
        assert not req.body_bytes
        assert rig.listener.bodies.used_bytes == 0
        # The check that runs still reports the request.
        assert 'crash-suspect' not in rig.log.kinds()
        await asyncio.sleep(0.3)
        assert 'crash-suspect' in rig.log.kinds()

    async def test_long_answer_does_not_keep_it(self, start):
        target = test_streamed_answers.LongTarget('t0', 'chunks', parts=200)
        rig = await start(target)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', rig.listener.port
        )
        writer.write(
            b'POST /r/x HTTP/1.1\r\nHost: example\r\nX-Request-Id: a\r\n'
            b'Content-Length: %d\r\n\r\n%b' % (len(BODY), BODY)
        )
        await reader.readuntil(b'\r\n\r\n')
        (req,) = rig.served
        assert rig.answers.shares == 1
        assert not req.body_bytes
        writer.transport.abort()


class TestAnswerBodies:
    """The failure that is delivered if a retry fails, too, must be counted."""

    async def start_failing(self, start, monkeypatch):
        monkeypatch.setattr(FailingTarget, 'asked', False)
        return await start(FailingTarget('t0'), FailingTarget('t1'))

    async def test_kept_while_tried_again(self, start, monkeypatch):
        rig = await self.start_failing(start, monkeypatch)
        task = asyncio.create_task(rig.request())
        async with asyncio.timeout(5):
            while not rig.answers.kept_bytes:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        assert rig.answers.kept_bytes > ANSWER_BYTES
        answer = await task
        assert (answer.status, len(answer.body)) == (500, ANSWER_BYTES)
        assert rig.answers.kept_bytes == 0

    async def test_without_memory_it_is_delivered(self, start, monkeypatch):
        rig = await self.start_failing(start, monkeypatch)
        assert rig.answers.keep(rigs.MAX_ANSWERS_BYTES // 2 - ANSWER_BYTES)
        answer = await rig.request()
        assert (answer.status, len(answer.body)) == (500, ANSWER_BYTES)
        assert sum(len(target.runs) for target in rig.targets) == 1

    def test_long_answers_have_the_rest(self):
        memory = answer_memory.AnswerMemory(400_000)
        shares = [answer_memory.Share(memory) for _ in range(4)]
        assert memory.share_bytes == 100_000
        assert memory.keep(200_000)
        assert not memory.keep(1)
        assert memory.share_bytes == 50_000
        memory.release(200_000)
        assert memory.share_bytes == 100_000
        for share in shares:
            share.end()
