"""Tests of the listener for callers over a real socket."""

import asyncio
import contextlib
import json

import aiohttp
import pytest
from returns import result

from ragwortchute import calls
from ragwortchute import clock as clocks
from ragwortchute import serving
from ragwortchute.callers import application
from tests import path_fakes

CLOCK = clocks.SystemClock()
KEY = {'Idempotency-Key': 'k'}


class Host:
    """An entry host whose dispatch is set up by the test.

    Attributes:
        calls: The dispatched calls, in order.
        hold: Dispatches wait until it is set, if given.
        cancelled: Number of cancelled dispatches.
        answer: Returned by dispatches.
    """

    def __init__(self) -> None:
        self.directory = path_fakes.FakeDirectory()
        self.recorder = path_fakes.FakeRecorder()
        self.calls: list[calls.Call] = []
        self.hold: asyncio.Event | None = None
        self.cancelled = 0
        self.answer = calls.Answer(200, [('x-a', 'b')], b'body')

    async def dispatch(self, call):
        self.calls.append(call)
        try:
            if self.hold is not None:
                await self.hold.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return result.Success(self.answer)

    @contextlib.asynccontextmanager
    async def serve(self):
        self.app = application.CallerApplication(
            directory=self.directory,
            dispatch=self.dispatch,
            recorder=self.recorder,
            clock=CLOCK,
            limits=application.Limits(
                max_body_bytes=1000, max_calls=2, max_buffered_bytes=1200
            ),
        )
        self.server = serving.HttpServer(
            self.app, '127.0.0.1', 0, max_head_bytes=4096, stop_s=5
        )
        await self.server.start()
        url = f'http://127.0.0.1:{self.server.port}'
        async with aiohttp.ClientSession(url) as self.session:
            try:
                yield self
            finally:
                if self.hold is not None:
                    self.hold.set()
                await self.server.stop()

    async def request(self, method='GET', path='/call/billing/a', **kwargs):
        async with self.session.request(method, path, **kwargs) as resp:
            return resp, await resp.read()

    async def refusal(self, *args, **kwargs):
        """Sends a request that must be refused with `not-run`."""
        resp, body = await self.request(*args, **kwargs)
        assert resp.content_type == 'application/problem+json'
        assert resp.headers['ragwortchute-refusal'] == '1'
        problem = json.loads(body)
        assert problem['outcome'] == 'not-run'
        assert problem['status'] == resp.status
        return resp, problem

    async def raw(self, *parts: bytes) -> bytes:
        """Sends bytes on a new connection; returns all bytes received on it."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.server.port
        )
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.01)
        data = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        return data


class TestCalls:
    """Calls that reach the dispatcher."""

    async def test_dispatched_call_has_only_end_to_end_headers(self):
        """Guards against internal headers and altered paths at targets."""
        async with Host().serve() as host:
            resp, body = await host.request(
                'PUT',
                '/call/billing/a%20b/c?q=1&r=%26',
                data=b'payload',
                skip_auto_headers=('Accept', 'Accept-Encoding', 'User-Agent'),
                headers={
                    'Ragwortchute-Tenant': 'ten',
                    'Ragwortchute-Deadline-Ms': '99999',
                    'Ragwortchute-Evil': '1',
                    'Target-Shed': '1',
                    'Deadline-Ms': '5',
                    'Request-Id': 'forged',
                    'Connection': 'x-hop',
                    'X-Hop': '1',
                    'X-Own': 'v',
                },
            )
        assert (resp.status, body, resp.headers['x-a']) == (200, b'body', 'b')
        call = host.calls[0]
        assert call.path == '/a%20b/c?q=1&r=%26'
        assert call.body == b'payload'
        assert call.tenant == 'ten'
        assert call.headers == [
            ('x-own', 'v'),
            ('content-type', 'application/octet-stream'),
        ]
        assert call.idempotent
        assert call.deadline_s <= CLOCK.monotonic() + 2.0

    async def test_call_with_key_goes_through_the_recorder(self):
        """Guards against dispatching a call with a key past the recorder."""
        async with Host().serve() as host:
            headers = {
                **KEY,
                'Ragwortchute-Origin': 'tok',
                'Ragwortchute-First-Send': '1',
            }
            await host.request('POST', headers=headers)
            host.directory.reason = 'wrong-host'
            await host.request('POST', headers={'Idempotency-Key': 'other'})
        call = host.calls[0]
        assert (call.key, call.origin_token, call.first_send) == (
            'k',
            'tok',
            True,
        )
        assert len(host.calls) == 1
        refusal = host.recorder.outcomes['other'].failure()
        assert refusal.reason == 'wrong-host'

    async def test_chunked_body_is_read_completely(self):
        """Guards against losing part of a body whose length is unknown."""

        async def parts():
            yield b'one'
            yield b'two'

        async with Host().serve() as host:
            await host.request('PUT', data=parts())
        assert host.calls[0].body == b'onetwo'

    async def test_head_and_empty_answers(self):
        """Guards against answers whose framing a caller misinterprets."""
        async with Host().serve() as host:
            host.answer = calls.Answer(200, [('content-length', '9')], b'')
            resp, _ = await host.request('HEAD')
            assert resp.headers['content-length'] == '9'
            resp, body = await host.request('HEAD', '/call/none/a')
            assert (resp.status, body) == (404, b'')
            host.answer = calls.Answer(200, [('x-a', 'b\r\nx-c: d')], b'')
            resp, _ = await host.request()
            assert (resp.status, resp.headers.get('x-c')) == (500, None)
            host.answer = calls.Answer(204, [], b'')
            resp, body = await host.request('DELETE')
            assert (resp.status, body) == (204, b'')

    async def test_disconnect_cancels_only_idempotent_calls(self):
        """Guards against wasted dispatches and against incomplete records.

        A call with a key continues, so that a resend finds its answer.
        """
        async with Host().serve() as host:
            host.hold = asyncio.Event()
            for method in ('GET', 'POST'):
                task = asyncio.create_task(host.request(method, headers=KEY))
                await path_fakes.until(lambda: host.calls)
                host.calls.clear()
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
            await path_fakes.until(lambda: not host.server.connections)
            assert host.app.running == 1
            assert host.cancelled == 1
            host.hold.set()
            await path_fakes.until(lambda: 'k' in host.recorder.outcomes)
        assert host.app.dump()['refused'] == {'caller-gone': 1}

    async def test_unexpected_error_is_unknown(self):
        """Guards against `not-run` for a call that may have run."""
        async with Host().serve() as host:
            host.answer = None
            resp, body = await host.request()
        assert resp.status == 500
        assert json.loads(body)['outcome'] == 'unknown'

    async def test_stop_waits_for_running_calls_and_uploads(self):
        """Guards against a planned stop that aborts a request."""
        async with Host().serve() as host:
            host.hold = asyncio.Event()
            task = asyncio.create_task(host.request())
            await path_fakes.until(lambda: host.calls)
            upload = asyncio.create_task(
                host.raw(
                    b'PUT /call/billing/a HTTP/1.1\r\nhost: h\r\n'
                    b'content-length: 9\r\n\r\n',
                    *[b'abc'] * 3,
                )
            )
            await path_fakes.until(lambda: host.app.running == 2)
            stop = asyncio.create_task(host.server.stop())
            await asyncio.sleep(0.05)
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection('127.0.0.1', host.server.port)
            host.hold.set()
            resp, body = await task
            assert (resp.status, body) == (200, b'body')
            assert resp.headers['connection'] == 'close'
            assert (await upload).endswith(b'\r\n\r\nbody')
            await stop

    @pytest.mark.parametrize('sent', [9, None])
    async def test_stop_answers_a_request_in_transit(self, sent):
        """Guards against dropping a request that arrives during a stop."""
        line = b'GET /call/billing/%d HTTP/1.1\r\nhost: h\r\n\r\n'
        async with Host().serve() as host:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', host.server.port
            )
            writer.write(line % 1)
            await reader.readuntil(b'body')
            writer.write((line % 2)[:sent])
            if sent:
                await asyncio.sleep(0.02)
            stop = asyncio.create_task(host.server.stop())
            await asyncio.sleep(0)
            if sent:
                writer.write((line % 2)[sent:])
            data = await reader.read()
            writer.close()
            await stop
        assert data.startswith(b'HTTP/1.1 200')
        assert b'connection: close' in data
        assert [call.path for call in host.calls] == ['/1', '/2']


class TestRefusals:
    """Calls that are refused before dispatch."""

    async def test_host_that_accepts_no_new_calls(self):
        """Guards against dispatching a call on a host that must refuse it."""
        async with Host().serve() as host:
            for reason in ('wrong-host', 'domain-out'):
                host.directory.reason = reason
                resp, problem = await host.refusal()
                assert (resp.status, problem['reason']) == (421, reason)
                assert problem['addresses']['hosts'][0]['host'] == 'h2'
            host.directory.leaving = True
            resp, problem = await host.refusal()
            assert (resp.status, problem['reason']) == (503, 'leaving')
            assert resp.headers['connection'] == 'close'
            host.directory.ready = False
            _, problem = await host.refusal()
            assert problem['reason'] == 'not-ready'
        assert host.calls == []

    async def test_home_regions_are_checked_before_the_body(self):
        """Guards against reading a body that must not enter this region."""
        async with Host().serve() as host:
            host.directory.homes = ('visayas',)
            data = await host.raw(
                b'PUT /call/billing/a HTTP/1.1\r\nhost: h\r\n'
                b'connection: close\r\nexpect: 100-continue\r\n'
                b'content-length: 900\r\n\r\n'
            )
            host.directory.homes = ('visayas', 'luzon')
            await host.request()
        assert data.startswith(b'HTTP/1.1 421')
        assert b'"reason":"home-regions"' in data
        assert len(host.calls) == 1

    @pytest.mark.parametrize(
        'value', ['0', '-5', 'soon', '1.5', '9' * 30, '', '٣']
    )
    async def test_invalid_deadline(self, value):
        """Guards against a deadline in the past or without a useful limit."""
        async with Host().serve() as host:
            resp, problem = await host.refusal(
                headers={'Ragwortchute-Deadline-Ms': value}
            )
        assert (resp.status, problem['reason']) == (400, 'deadline-invalid')

    @pytest.mark.parametrize(
        ('path', 'status'),
        [
            ('/call/other/a', 404),
            ('/call/billing', 400),
            ('/call/bill%69ng/a', 400),
            ('/call/billing/a%2fb', 400),
            ('/call/billing//a', 400),
            ('/call/billing/a/%2e%2e/b', 400),
            ('/call/billing/./b', 400),
            ('/call/billing/%00', 400),
            ('/call/billing/%ff', 400),
            ('/other', 404),
        ],
    )
    async def test_invalid_paths(self, path, status):
        """Guards against a path that a target resolves to another route."""
        async with Host().serve() as host:
            data = await host.raw(
                b'GET %s HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n'
                % path.encode()
            )
        assert data.startswith(b'HTTP/1.1 %d ' % status)
        assert host.calls == []

    async def test_limits(self):
        """Guards against unbounded memory for the requests of callers."""

        async def endless():
            while True:
                yield b'x' * 400

        async with Host().serve() as host:
            resp, problem = await host.refusal('PUT', data=b'x' * 1001)
            assert (resp.status, problem['reason']) == (413, 'body-too-large')
            resp, problem = await host.refusal('PUT', data=endless())
            assert resp.status == 413
            resp, problem = await host.refusal(
                headers=[(f'x-{number}', '1') for number in range(70)]
            )
            assert (resp.status, problem['reason']) == (431, 'too-many-headers')
            resp, problem = await host.refusal(headers={'x-a': 'y' * 5000})
            assert (resp.status, problem['reason']) == (431, 'head-too-large')
            data = await host.raw(b'GET / HTTP/1.1\r\nx: ', *[b'y' * 1500] * 4)
            assert data.startswith(b'HTTP/1.1 431')
            resp, problem = await host.refusal('POST')
            assert (resp.status, problem['reason']) == (400, 'key-missing')
            assert host.calls == []
            host.hold = asyncio.Event()
            tasks = [asyncio.create_task(host.request()) for _ in range(2)]
            await path_fakes.until(lambda: len(host.calls) == 2)
            _, problem = await host.refusal()
            assert problem['reason'] == 'too-many-calls'
            host.hold.set()
            await asyncio.gather(*tasks)
            host.hold = asyncio.Event()
            task = asyncio.create_task(host.request('PUT', data=b'x' * 900))
            await path_fakes.until(lambda: len(host.calls) == 3)
            _, problem = await host.refusal('PUT', data=b'x' * 400)
            assert problem['reason'] == 'too-many-bytes'
            host.hold.set()
            await task
            assert host.app.buffered_bytes == 0

    async def test_slow_body(self):
        """Guards against a body that is never completed."""
        async with Host().serve() as host:
            data = await host.raw(
                b'PUT /call/billing/a HTTP/1.1\r\nhost: h\r\n'
                b'ragwortchute-deadline-ms: 40\r\ncontent-length: 9\r\n\r\nx'
            )
        assert data.startswith(b'HTTP/1.1 408')
        assert host.app.buffered_bytes == 0
        assert host.calls == []


class TestIdleConnections:
    """Connections without a complete request."""

    @pytest.mark.parametrize('data', [b'', b'GET /call/bil'])
    async def test_closed_after_the_timeout(self, data, monkeypatch):
        """Guards against idle connections that occupy memory."""
        monkeypatch.setattr(serving, 'HEAD_TIMEOUT_S', 0.05)
        async with Host().serve() as host:
            got = await host.raw(data)
            await path_fakes.until(lambda: not host.server.connections)
        assert got == b''


class TestAmbiguousSyntax:
    """Requests that servers interpret differently."""

    @pytest.mark.parametrize(
        'rest',
        [
            b'content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
            b'content-length: 5\r\ncontent-length: 6\r\n\r\nhello',
            b'content-length: +5\r\n\r\nhello',
            b'content-length: 0x5\r\n\r\nhello',
            b'transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n\r\n'
            b'5\r\nhello\r\n0\r\n\r\n',
            b'transfer-encoding: xchunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n',
            b'transfer-encoding: chunked, x\r\n\r\n5\r\nhello\r\n0\r\n\r\n',
            b'transfer-encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n',
            b'transfer-encoding: chunked\r\n\r\n-5\r\nhello\r\n0\r\n\r\n',
            b'transfer-encoding: chunked\r\n\r\n5\nhello\r\n0\r\n\r\n',
            b'transfer-encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n',
            b'x: a\r\n transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
            b'x: a\nb: c\r\n\r\n',
            b'connection: upgrade\r\nupgrade: websocket\r\n\r\n',
            b'connection: upgrade\r\nupgrade: h2c\r\n'
            b'content-length: 5\r\n\r\nhello',
            b'idempotency-key: a\r\nidempotency-key: b\r\n\r\n',
        ],
    )
    async def test_ambiguous_framing_is_refused(self, rest):
        """Guards against request smuggling through the listener."""
        async with Host().serve() as host:
            data = await host.raw(
                b'PUT /call/billing/a HTTP/1.1\r\nhost: h\r\n' + rest,
                b'GET /call/billing/b HTTP/1.1\r\nhost: h\r\n'
                b'connection: close\r\n\r\n',
            )
        assert b'HTTP/1.1 200' not in data.split(b'not-run')[0]
        assert b'"outcome":"not-run"' in data
        assert all(call.path == '/b' for call in host.calls)

    async def test_garbage_after_a_request(self):
        """Guards against a refusal in place of the answer to a running call."""
        async with Host().serve() as host:
            host.hold = asyncio.Event()
            task = asyncio.create_task(
                host.raw(
                    b'GET /call/billing/a HTTP/1.1\r\nhost: h\r\n\r\n',
                    b'\0garbage\r\n\r\n',
                )
            )
            await path_fakes.until(lambda: host.calls)
            await asyncio.sleep(0.05)
            host.hold.set()
            data = await task
        assert data.startswith(b'HTTP/1.1 200')
        assert data.endswith(b'\r\n\r\nbody')

    async def test_pipelined_requests(self):
        """Guards against answers out of the order of their requests."""
        async with Host().serve() as host:
            line = b'GET /call/billing/%d HTTP/1.1\r\nhost: h\r\n%s\r\n'
            data = await host.raw(
                line % (1, b'') + line % (2, b'connection: close\r\n')
            )
        assert data.count(b'HTTP/1.1 200') == 2
        assert [call.path for call in host.calls] == ['/1', '/2']


class TestAddresses:
    """Address queries."""

    async def test_answer_and_unknown_service(self):
        """Guards against an answer that callers can't decode."""
        async with Host().serve() as host:
            resp, body = await host.request(
                path='/addresses?service=billing&method=GET&path=/a'
            )
            assert resp.content_type == 'application/json'
            answer = json.loads(body)
            assert answer['lifetime_ms'] == 5000
            assert answer['hosts'][0]['host'] == 'h2'
            resp, _ = await host.refusal(path='/addresses?service=none')
            assert resp.status == 404


class TestAccessLog:
    """The access line of each call."""

    async def test_call_with_home_regions_is_logged_without_path(
        self, monkeypatch
    ):
        """Guards against logging keys, and paths of calls with home regions."""
        lines = []
        monkeypatch.setattr(
            application.logging, 'info', lambda *args: lines.append(args[-1])
        )
        async with Host().serve() as host:
            host.app._access_log = True
            await host.request(path='/call/billing/open?q=secret')
            host.directory.homes = ('luzon',)
            await host.request('POST', '/call/billing/private', headers=KEY)
        logged = [json.loads(line) for line in lines if 'route' in str(line)]
        assert [line.get('path') for line in logged] == ['/open', None]
        assert logged[1]['route'] == 'pay'
        assert 'secret' not in str(lines)
        assert '"k"' not in str(lines)
