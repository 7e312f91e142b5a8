"""Tests of refusals that a target writes once more."""

import asyncio

import pytest

from tests.test_gateway import rig as rigs
from tests.test_gateway import test_dispatcher


class TestRepeatedRefusals:
    """An earlier refusal must not be taken for the current request's.

    A target wrote the refusal of a health request, which has no id, once more
    on a reused connection. The caller was told that its request had not run
    while it ran, or it was sent to a second target (issue 30, REFUSED, TWICE).
    """

    @pytest.mark.parametrize('of_probe', [True, False])
    @pytest.mark.parametrize('count', [1, 3])
    async def test_request_gets_its_own_answer(self, start, of_probe, count):
        targets = test_dispatcher.servers(count)
        rig = await start(*targets, routes=[test_dispatcher.WRITE])
        for target in targets:
            target.fault = 'shed'
            target.rejects_probes = of_probe
        for _ in range(2 * count):
            assert (await rig.request(method='POST')).status == 503
        for target in targets:
            target.fault = ''
            target.repeats_refusals = True
        for number in range(8):
            body = b'%d' % number
            answer = await rig.request(method='POST', body=body)
            assert answer.status == 200
            assert answer.body.endswith(b' ' + body)
        assert sum(len(target.runs) for target in targets) == 8
        assert rig.stats.attempts['answer-skipped']

    async def test_refusal_without_an_id_is_no_promise(self, start):
        # A request without an id can't tell a refusal of its own from others.
        (target,) = test_dispatcher.servers(1)
        rig = await start(target, routes=[test_dispatcher.WRITE])
        target.fault = 'shed'
        target.rejects_probes = True
        assert (await rig.request(method='POST')).status == 503
        target.fault = ''
        target.repeats_refusals = True
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', rig.listener.port
        )
        writer.write(
            b'POST /r/x HTTP/1.1\r\nHost: example\r\nContent-Length: 0\r\n\r\n'
        )
        answer = await rigs.read_response(reader)
        writer.close()
        assert len(target.runs) == 1
        assert answer.status not in test_dispatcher.NOT_EXECUTED
