"""Tests that callers don't determine the length of log lines."""

import types

from ragwortchute.gateway import request_log
from ragwortchute.gateway import stats
from ragwortchute.gateway.http import http_messages
from tests.test_gateway import rig as rigs
from tests.test_resources import servers

GET = b'GET %b HTTP/1.1\r\nHost: x\r\n\r\n'
MAX_FIELD_CHARS = 256


class TestRequestLog:
    """Callers must not fill the log by long identities or request targets.

    400 lines a second with an identity of 16 KB each are 6 MB a second.
    """

    async def test_long_identity_is_cut(self):
        log = rigs.MemoryLog()
        state = types.SimpleNamespace(cfg=None, cfg_revision=0)
        requests = request_log.RequestLog(log, state, stats.Stats())
        requests.log_answer(b'x' * 16_000, 503, 'overload', 0, 0.0)
        ((_, fields),) = log.lines
        assert fields['id'] == 'x' * MAX_FIELD_CHARS

    async def test_targets_of_a_connection_that_is_cut(self, serve):
        server = await serve(request_bytes=64 * servers.MIB)
        target = b'/' + b'x' * 15_000
        server.at_once[target.decode()] = http_messages.Response(404)
        _, writer = await server.connect()
        writer.write(GET % b'/slow' + GET % target * 10)
        await server.wait_handled(1)
        server.connection.abort()
        ((_, fields),) = server.log.lines
        assert all(
            len(pending.target) <= MAX_FIELD_CHARS
            for pending in fields['pending']
        )
        writer.close()
