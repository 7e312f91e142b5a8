"""Tests of the HTTP client for requests to targets."""

import asyncio

import pytest

from ragwortchute import clock as clocks
from ragwortchute import errors
from ragwortchute.upstream import http
from tests import path_fakes

CLOCK = clocks.SystemClock()
LOST = errors.ConnectionLost
TRUNCATED = errors.TruncatedAnswer


async def send_all(target, count=1, listener=None, **changes):
    """Sends calls one after another and returns the answers."""
    client = http.HttpUpstream(
        CLOCK, listener=listener, max_answer_bytes=100_000
    )
    try:
        return [
            await client.send(
                'billing',
                target.document(),
                path_fakes.make_call(CLOCK, **changes),
            )
            for _ in range(count)
        ]
    finally:
        await client.close()


class TestSend:
    """Requests, answers and errors on pooled connections."""

    async def test_head_that_the_target_gets(self):
        """Guards against forwarding hop-by-hop or forged headers."""
        async with path_fakes.RawTarget().serve() as target:
            await send_all(
                target,
                headers=[
                    ('accept', 'a'),
                    ('deadline-ms', '9'),
                    ('host', 'evil'),
                    ('transfer-encoding', 'chunked'),
                    ('content-length', '99'),
                ],
            )
        lines = target.requests[0].split(b'\r\n')
        assert lines[0] == b'POST /pay HTTP/1.1'
        assert lines[1] == b'host: 127.0.0.1:%d' % target.port
        assert 4000 < int(lines[2].removeprefix(b'deadline-ms: ')) <= 5000
        assert lines[3:] == [
            b'request-id: c-1',
            b'accept: a',
            b'content-length: 2',
            b'',
            b'{}',
        ]

    async def test_answer_headers(self):
        """Guards against returning hop-by-hop or state headers to the caller.

        Cookies must not be stored, redirects not followed, and encoded bodies
        not decoded.
        """
        data = (
            b'HTTP/1.1 302 Found\r\nTarget-Incarnation: i7\r\n'
            b'Target-Load: 3/4\r\nTarget-Draining: 1\r\nSet-Cookie: a=b\r\n'
            b'Ragwortchute-Refusal: 1\r\n'
            b'Connection: x-hop\r\nX-Hop: 1\r\nContent-Encoding: gzip\r\n'
            b'Location: /other\r\nContent-Length: 4\r\n\r\nzzzz'
        )
        script = path_fakes.RawTarget(lambda number, writer: data)
        async with script.serve() as target:
            answers = await send_all(target, 2)
        got = answers[0]
        assert (got.incarnation, got.running, got.draining) == ('i7', 3, True)
        assert got.answer.status == 302
        assert got.answer.body == b'zzzz'
        assert got.answer.headers == [
            ('set-cookie', 'a=b'),
            ('content-encoding', 'gzip'),
            ('location', '/other'),
        ]
        assert b'cookie' not in target.requests[1].lower()

    async def test_connection_is_kept_and_counted(self):
        """Guards against a connection per request and wrong open counts."""
        listener = path_fakes.FakeListener()
        async with path_fakes.RawTarget().serve() as target:
            await send_all(target, 5, listener)
        await clocks.run_ready_tasks()
        assert target.connections == 1
        assert (listener.opened, listener.open) == (1, 0)

    @pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'POST'])
    async def test_no_resend_on_a_kept_connection(self, method):
        """Guards against aiohttp resending requests with idempotent methods."""
        target = path_fakes.RawTarget(
            lambda number, writer: path_fakes.OK if number == 1 else None
        )
        async with target.serve():
            with pytest.raises(LOST) as caught:
                await send_all(target, 2, method=method, body=b'')
        assert not caught.value.not_run
        assert len(target.requests) == 2
        assert target.connections == 1

    async def test_connection_closed_while_idle_is_not_used(self):
        """Guards against writing to a connection that the target closed."""
        target = path_fakes.RawTarget()
        client = http.HttpUpstream(CLOCK)
        async with target.serve():
            call = path_fakes.make_call(CLOCK)
            await client.send('billing', target.document(), call)
            target.writers[0].close()
            await target.writers[0].wait_closed()
            # The event loop has not yet read the end of file on the client.
            await client.send('billing', target.document(), call)
            await client.close()
        assert target.connections == 2
        assert len(target.requests) == 2

    async def test_unsolicited_answer_is_discarded(self):
        """Guards against taking an unsolicited answer for the next answer."""
        stale = path_fakes.OK.replace(b'ok', b'no')

        def script(number, writer):
            return path_fakes.OK + stale if number == 1 else path_fakes.OK

        target = path_fakes.RawTarget(script)
        async with target.serve():
            answers = await send_all(target, 2)
        assert [got.answer.body for got in answers] == [b'ok', b'ok']
        assert target.connections == 2

    async def test_late_answer_after_cancel_is_discarded(self):
        """Guards against returning a late answer to the next caller."""
        release = asyncio.Event()

        async def script(number, writer):
            if number == 1:
                await release.wait()
                return path_fakes.OK.replace(b'ok', b'no')
            return path_fakes.OK

        target = path_fakes.RawTarget(script)
        client = http.HttpUpstream(CLOCK)
        async with target.serve():
            call = path_fakes.make_call(CLOCK)
            task = asyncio.create_task(
                client.send('billing', target.document(), call)
            )
            await path_fakes.until(lambda: target.requests)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            release.set()
            got = await client.send('billing', target.document(), call)
            await path_fakes.until(lambda: target.ended)
            await client.close()
        assert got.answer.body == b'ok'
        assert target.connections == 2

    @pytest.mark.parametrize(
        ('data', 'kind'),
        [
            (b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort', TRUNCATED),
            (
                b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab',
                TRUNCATED,
            ),
            (
                b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
                b'2\r\nab\r\n',
                TRUNCATED,
            ),
            (b'HTTP/1.1 200 OK\r\n\r\nuntil close', errors.TargetError),
            (b'HTTP/1.1 200', LOST),
            (b'', LOST),
            (b'garbage\r\n\r\n', errors.TargetError),
            (
                b'HTTP/1.1 200 OK\r\ncontent-length: 100001\r\n\r\n',
                errors.AnswerTooLarge,
            ),
            (
                b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
                b'19000\r\n' + b'x' * 0x19000 + b'\r\n0\r\n\r\n',
                errors.AnswerTooLarge,
            ),
            (
                b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n'
                b'transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n',
                errors.TargetError,
            ),
        ],
    )
    async def test_bad_answers(self, data, kind):
        """Guards against accepting truncated, oversized or unframed answers."""

        def script(number, writer):
            writer.write(data)

        async with path_fakes.RawTarget(script).serve() as target:
            with pytest.raises(errors.TargetError) as caught:
                await send_all(target)
        assert type(caught.value) is kind
        assert not caught.value.not_run
        assert caught.value.peer == 't1'

    async def test_bodiless_answers(self):
        """Guards against waiting for a body that HEAD or 304 does not have."""
        head = b'HTTP/1.1 %d X\r\ncontent-length: 7\r\n\r\n'
        cases = [('HEAD', 200), ('GET', 304)]
        for method, status in cases:
            target = path_fakes.RawTarget(lambda n, w, s=status: head % s)
            async with target.serve():
                answers = await send_all(target, 2, method=method, body=b'')
            assert [got.answer.body for got in answers] == [b'', b'']
            assert target.connections == 1

    async def test_shed(self):
        """Guards against reporting a shed request as possibly run.

        The error must also carry the load and incarnation of the target.
        """
        data = (
            b'HTTP/1.1 503 Busy\r\ntarget-shed: 1\r\ntarget-load: 4/4\r\n'
            b'target-incarnation: i7\r\ncontent-length: 0\r\n\r\n'
        )
        target = path_fakes.RawTarget(lambda number, writer: data)
        async with target.serve():
            with pytest.raises(errors.TargetShed) as caught:
                await send_all(target)
        exc = caught.value
        assert (exc.not_run, exc.running, exc.incarnation) == (True, 4, 'i7')

    async def test_refused_connection(self):
        """Guards against reporting a refused connection as possibly sent."""
        async with path_fakes.RawTarget().serve() as target:
            pass
        with pytest.raises(errors.ConnectFailed):
            await send_all(target)

    @pytest.mark.parametrize(
        'part', [b'', b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab']
    )
    async def test_deadline_after_sending(self, part):
        """Guards against `not-run` for a request that a target received."""

        async def script(number, writer):
            writer.write(part)
            await asyncio.sleep(10)

        target = path_fakes.RawTarget(script)
        async with target.serve():
            with pytest.raises(errors.AttemptTimeout):
                await send_all(target, deadline_s=CLOCK.monotonic() + 0.05)
            await path_fakes.until(lambda: target.requests)

    @pytest.mark.parametrize(
        'changes',
        [
            {'headers': [('a', 'b\r\nc: d')]},
            {'headers': [('a\n', 'b')]},
            {'path': '/a HTTP/1.1\r\nx: y'},
            {'path': '/a b'},
            {'call_id': 'x\0'},
        ],
    )
    async def test_head_injection(self, changes):
        """Guards against values that inject lines into the request head."""
        async with path_fakes.RawTarget().serve() as target:
            with pytest.raises(errors.ConnectFailed):
                await send_all(target, **changes)
        assert target.requests == []

    async def test_before_send_runs_after_connecting(self):
        """Guards against using a slot that expired while connecting."""

        def revoked():
            raise LookupError

        target = path_fakes.RawTarget()
        client = http.HttpUpstream(CLOCK)
        call = path_fakes.make_call(CLOCK)
        async with target.serve():
            with pytest.raises(LookupError):
                await client.send(
                    'billing', target.document(), call, before_send=revoked
                )
            assert target.requests == []
            await client.send('billing', target.document(), call)
            assert target.connections == 1
            await client.close()

    async def test_target_address_change(self):
        """Guards against aborting requests when an address changes."""
        release = asyncio.Event()

        async def script(number, writer):
            await release.wait()
            return path_fakes.OK

        old, new = path_fakes.RawTarget(script), path_fakes.RawTarget()
        listener = path_fakes.FakeListener()
        client = http.HttpUpstream(CLOCK, listener=listener)
        call = path_fakes.make_call(CLOCK)
        async with old.serve(), new.serve():
            await client.keep_open('billing', old.document(), 2)
            task = asyncio.create_task(
                client.send('billing', old.document(), call)
            )
            await path_fakes.until(lambda: old.requests)
            await client.send('billing', new.document(), call)
            await path_fakes.until(lambda: listener.open == 2)
            release.set()
            assert (await task).answer.status == 200
            client.forget('billing', 't1')
            await path_fakes.until(lambda: listener.open == 0)
        await client.close()

    async def test_connections_are_bounded(self):
        """Guards against using up the connections of a target.

        A host that opened more than its share would leave none for the others.
        """
        target = path_fakes.RawTarget()
        client = http.HttpUpstream(CLOCK, connections_per_target=2)
        async with target.serve():
            await asyncio.gather(
                *(
                    client.send(
                        'billing',
                        target.document(),
                        path_fakes.make_call(CLOCK),
                    )
                    for _ in range(10)
                )
            )
            await client.close()
        assert len(target.requests) == 10
        assert target.connections == 2


class TestKeepOpen:
    """Idle connections that are opened or kept without a request."""

    async def test_opens_without_a_request(self):
        """Guards against connecting only when the first request arrives."""
        target = path_fakes.RawTarget()
        listener = path_fakes.FakeListener()
        client = http.HttpUpstream(CLOCK, listener=listener)
        async with target.serve():
            document = target.document()
            assert await client.keep_open('billing', document, 3) == 3
            assert await client.keep_open('billing', document, 2) == 3
            call = path_fakes.make_call(CLOCK)
            await client.send('billing', document, call)
            assert (listener.opened, len(target.requests)) == (3, 1)
            for writer in target.writers:
                writer.close()
            await path_fakes.until(lambda: not listener.open)
        assert await client.keep_open('billing', document, 1) == 0
        await client.close()

    async def test_shed_request_keeps_its_connection(self):
        """Guards against closing the only connection after a shed request."""
        shed = (
            b'HTTP/1.1 503 X\r\nTarget-Shed: 1\r\nTarget-Load: 4/4\r\n'
            b'Content-Length: 2\r\n\r\n{}'
        )
        target = path_fakes.RawTarget(lambda number, writer: shed)
        client = http.HttpUpstream(CLOCK)
        async with target.serve():
            for _ in range(3):
                with pytest.raises(errors.TargetShed):
                    await client.send(
                        'billing',
                        target.document(),
                        path_fakes.make_call(CLOCK),
                    )
            assert target.connections == 1
            await client.close()

    @pytest.mark.parametrize('count', [1, 3])
    async def test_cancelled_requests_leave_a_connection(self, count):
        """Guards against taking a target out of use when callers cancel.

        A host stops using a target to which it has no open connection.
        """
        open_counts = []

        class Listener(path_fakes.FakeListener):
            def connection_closed(self, service, target):
                super().connection_closed(service, target)
                open_counts.append(self.open)

        async def script(number, writer):
            await asyncio.Event().wait()

        target = path_fakes.RawTarget(script)
        listener = Listener()
        client = http.HttpUpstream(CLOCK, listener=listener)
        async with target.serve():
            tasks = [
                asyncio.create_task(
                    client.send(
                        'billing',
                        target.document(),
                        path_fakes.make_call(CLOCK),
                    )
                )
                for _ in range(count)
            ]
            await path_fakes.until(lambda: len(target.requests) == count)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await path_fakes.until(lambda: len(open_counts) == count)
            assert min(open_counts) == 1
            await client.close()
