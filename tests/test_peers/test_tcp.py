"""Tests of the TCP transport on loopback sockets."""

import asyncio
import random

import pytest

from ragwortchute import clock
from ragwortchute import codecs
from ragwortchute import errors
from ragwortchute import peers
from ragwortchute import wire
from ragwortchute.codecs import capnp  # noqa: F401
from ragwortchute.peers import frames
from ragwortchute.peers import tcp
from tests import fakes

_KEY = b'a key of the deployment'


def _incompressible(size):
    """Returns a message that a codec can't compress."""
    return wire.Hello('x', 1, 'r', 'd', random.Random(1).randbytes(size))


class _Proxy:
    """TCP proxy that transforms the frames from a client to a server.

    The function `transform` receives the index and the bytes of a frame. It
    returns the bytes to forward, empty to close the connection, or None to stop
    reading from the client.
    """

    def __init__(self, port, transform):
        self.port = port
        self.transform = transform
        self.index = 0
        self.stopped = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, '127.0.0.1', 0)
        return self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        server_reader, server_writer = await asyncio.open_connection(
            '127.0.0.1', self.port
        )
        copy_task = asyncio.create_task(self.copy(server_reader, writer))
        try:
            while True:
                mac, payload = await frames.read(reader, 1 << 24)
                raw = len(payload).to_bytes(4, 'big') + mac + payload
                raw = self.transform(self.index, raw)
                self.index += 1
                if raw is None:
                    await self.stopped.wait()
                    return
                server_writer.write(raw)
                if not raw:
                    return
        except (EOFError, errors.FrameError, OSError):
            pass
        finally:
            server_writer.close()
            copy_task.cancel()
            writer.close()

    async def copy(self, reader, writer):
        while buf := await reader.read(65536):
            writer.write(buf)
        writer.close()


class _Pair:
    """Two transports `a` and `b`, optionally with a proxy in front of `b`."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.closers = []
        self.got = []

    def transport(self, host, key=_KEY):
        transport = tcp.TcpTransport(
            fakes.make_member(host),
            key,
            codecs.REGISTRY.get('capnp')(),
            self.clock,
            random.Random(1),
        )
        self.closers.append(transport.close)
        return transport

    async def setup(self, transform=None, key=_KEY):
        self.a = self.transport('a', key)
        self.b = self.transport('b')
        self.b.on(wire.SlotRequest, self.answer)
        self.port = await self.b.start('127.0.0.1:0')
        port = self.port
        if transform is not None:
            self.proxy = _Proxy(port, transform)
            port = await self.proxy.start()
        self.a.set_peer_address('b', f'127.0.0.1:{port}')
        return self

    async def answer(self, host, message):
        self.got.append((host, message.count))
        return wire.SlotGrant(loan_id=message.count, term_ms=0, slots=())

    async def request_loan(self, count, timeout_s=5.0):
        message = wire.SlotRequest('a', 's', count)
        answer = await self.a.request('b', message, timeout_s=timeout_s)
        return answer.loan_id

    async def close(self):
        if hasattr(self, 'proxy'):
            self.proxy.stopped.set()
            self.proxy.server.close()
        for closer in self.closers:
            await closer()


@pytest.fixture
async def pair():
    pair = _Pair()
    yield pair
    await pair.close()


def _corrupt(raw):
    return raw[:-1] + bytes([raw[-1] ^ 1])


class TestFrames:
    """Unauthenticated, damaged and replayed frames must have no effect."""

    async def test_wrong_key_is_rejected_before_any_handler(self, pair):
        await pair.setup(key=b'another key')
        with pytest.raises(errors.PeerUnreachable):
            await pair.request_loan(1)
        assert pair.got == []
        assert pair.b.counts.dropped_frames == 1

    async def test_replayed_frame_is_handled_once(self, pair):
        await pair.setup(lambda i, raw: raw * 2 if i == 1 else raw)
        assert await pair.request_loan(7) == 7
        await _until(lambda: pair.b.counts.dropped_frames == 1)
        assert pair.got == [('a', 7)]

    async def test_damaged_frame_is_dropped_and_the_next_one_handled(
        self, pair
    ):
        await pair.setup(lambda i, raw: _corrupt(raw) if i == 1 else raw)
        await pair.a.send('b', wire.SlotRequest('a', 's', 1))
        assert await pair.request_loan(2) == 2
        assert pair.got == [('a', 2)]
        assert pair.b.counts.dropped_frames == 1

    async def test_connection_closes_after_ten_invalid_frames(self, pair):
        await pair.setup(lambda i, raw: _corrupt(raw) if 0 < i < 11 else raw)
        for count in range(9):
            await pair.a.send('b', wire.SlotRequest('a', 's', count))
        with pytest.raises(errors.PeerTimeout):
            await pair.request_loan(9)
        assert pair.b.counts.dropped_frames == 10
        assert await pair.request_loan(10) == 10
        assert pair.a.counts.connects == 2

    async def test_truncated_frame_closes_only_its_connection(self, pair):
        def cut(index, raw):
            if index == 1:
                pair.proxy.stopped.set()
                pair.half = raw[: len(raw) // 2]
                return pair.half
            return None if index == 2 else raw

        await pair.setup(cut)
        first = asyncio.create_task(pair.request_loan(1))
        await _until(lambda: pair.proxy.index == 2)
        with pytest.raises(errors.PeerError):
            await pair.request_loan(2)
        with pytest.raises(errors.PeerTimeout):
            await first
        await _until(lambda: pair.b.counts.dropped_frames == 1)
        assert await pair.request_loan(3) == 3
        assert pair.got == [('a', 3)]

    async def test_undecodable_message_is_dropped(self, pair):
        await pair.setup()
        link = pair.a._link('b', False)
        conn = await link.connection()
        conn._queue.append(conn._signer.sign(frames.Kind.MESSAGE, 0, b'\xff'))
        conn._queued_bytes += 1
        assert await pair.request_loan(4) == 4
        assert pair.b.counts.dropped_frames == 1

    async def test_oversized_frame_is_rejected_by_the_sender(self, pair):
        await pair.setup()
        message = _incompressible(2 << 20)
        with pytest.raises(errors.FrameError, match='exceeds'):
            await pair.a.send('b', message)
        assert await pair.request_loan(1) == 1

    async def test_address_of_another_host_is_rejected(self, pair):
        await pair.setup()
        pair.a.set_peer_address('c', f'127.0.0.1:{pair.port}')
        with pytest.raises(errors.PeerUnreachable):
            await pair.a.send('c', wire.ViewPull())


class TestRequests:
    """An answer must complete its own request and no other."""

    async def test_unanswered_request_sends_no_frame(self, pair):
        """Guards against refusals that exceed the traffic budget of a host."""
        await pair.setup()
        assert await pair.request_loan(1) == 1
        sent = pair.b.counts.sent_messages

        async def unanswered(host, message):
            return peers.UNANSWERED

        pair.b.on(wire.SlotRequest, unanswered)
        with pytest.raises(errors.PeerTimeout):
            await pair.request_loan(2, timeout_s=0.05)
        assert pair.b.counts.sent_messages == sent
        pair.b.on(wire.SlotRequest, pair.answer)
        assert await pair.request_loan(3) == 3

    async def test_late_answer_never_reaches_another_request(self, pair):
        await pair.setup()
        release = asyncio.Event()

        async def answer(host, message):
            if message.count == 1:
                await release.wait()
            return wire.SlotGrant(message.count, 0, ())

        pair.b.on(wire.SlotRequest, answer)
        # The timeout below must not include the time to connect.
        assert await pair.request_loan(3) == 3
        with pytest.raises(errors.PeerTimeout):
            await pair.request_loan(1, timeout_s=0.05)
        second = asyncio.create_task(pair.request_loan(2))
        release.set()
        assert await second == 2
        await _until(lambda: pair.a.counts.late_answers == 1)

    async def test_answers_out_of_order_reach_their_requests(self, pair):
        await pair.setup()
        events = [asyncio.Event() for _ in range(5)]

        async def answer(host, message):
            await events[message.count].wait()
            return wire.SlotGrant(message.count, 0, ())

        pair.b.on(wire.SlotRequest, answer)
        pending = [asyncio.create_task(pair.request_loan(i)) for i in range(5)]
        for event in reversed(events):
            await asyncio.sleep(0)
            event.set()
        assert await asyncio.gather(*pending) == [0, 1, 2, 3, 4]

    async def test_failing_handler_fails_only_its_request(self, pair):
        await pair.setup()

        async def fail(host, message):
            raise ValueError('fault')

        pair.b.on(wire.TargetPull, fail)
        with pytest.raises(errors.PeerTimeout):
            await pair.a.request('b', wire.TargetPull('s'), timeout_s=5)
        assert await pair.request_loan(1) == 1

    async def test_requests_fail_when_the_connection_breaks(self, pair):
        await pair.setup()

        async def hang(host, message):
            pair.got.append(message)
            await asyncio.Event().wait()

        pair.b.on(wire.SlotRequest, hang)
        pending = asyncio.create_task(pair.request_loan(1, timeout_s=60))
        await _until(lambda: pair.got)
        await pair.b.close()
        with pytest.raises(errors.PeerTimeout):
            await pending


class TestConnections:
    """A slow or unreachable peer must not delay traffic to other peers."""

    async def test_peer_that_stops_reading_fills_a_bounded_queue(self, pair):
        await pair.setup(lambda i, raw: None if i else raw)
        message = _incompressible(200_000)
        with pytest.raises(errors.PeerUnreachable, match='queue is full'):
            for _ in range(400):
                await pair.a.send('b', message)
                await asyncio.sleep(0)
        assert pair.a.counts.queue_full == 1
        assert pair.a.counts.sent_bytes < 40_000_000
        other = pair.transport('c')
        port = await other.start('127.0.0.1:0')
        other.on(wire.SlotRequest, pair.answer)
        pair.a.set_peer_address('c', f'127.0.0.1:{port}')
        request = wire.SlotRequest('a', 's', 3)
        answer = await pair.a.request('c', request, timeout_s=5)
        assert answer.loan_id == 3

    async def test_reconnects_after_the_backoff(self, pair):
        await pair.setup()
        assert await pair.request_loan(1) == 1
        await pair.b.close()
        await _until(lambda: not pair.a._links['b', False]._conn)
        # The process check of the link may have made the first attempt.
        with pytest.raises(
            errors.PeerUnreachable, match='no connection|waiting'
        ):
            await pair.request_loan(2)
        with pytest.raises(errors.PeerUnreachable, match='waiting'):
            await pair.request_loan(3)
        restarted = pair.transport('b')
        restarted.on(wire.SlotRequest, pair.answer)
        await restarted.start(f'127.0.0.1:{pair.port}')
        await pair.clock.advance(0.2)
        assert await pair.request_loan(4) == 4

    async def test_bulk_uses_a_separate_connection(self, pair):
        await pair.setup()
        await pair.request_loan(1)
        message = wire.SlotRequest('a', 's', 2)
        await pair.a.request('b', message, timeout_s=5, bulk=True)
        assert pair.a.counts.connects == 2
        assert pair.a.counts.sent_messages == 1
        assert pair.a.counts.bulk_sent_bytes > 0
        assert pair.a.incarnations['b'] == pair.b.me.incarnation
        assert pair.b.incarnations['a'] == pair.a.me.incarnation

    async def test_close_leaves_no_task(self, pair):
        await pair.setup()
        await pair.request_loan(1)
        await pair.a.close()
        await pair.b.close()
        assert not pair.a._tasks
        assert not pair.b._tasks


class TestProcessGone:
    """A killed process must be detected before its heartbeats are missed."""

    async def test_refused_connection_and_return_are_reported(self, pair):
        await pair.setup()
        notified = []
        pair.a.on_reachability_change = lambda host, up: notified.append(
            (host, up)
        )
        assert await pair.request_loan(1) == 1
        assert notified == []
        await pair.b.close()
        await _until(lambda: ('b', False) in notified)
        restarted = pair.transport('b')
        await restarted.start(f'127.0.0.1:{pair.port}')
        await self._advance_until(pair, lambda: notified[-1] == ('b', True))

    async def test_broken_connection_alone_is_not_reported_as_lost(self, pair):
        """Guards against taking a connection reset for a lost process."""
        await pair.setup()
        notified = []
        pair.a.on_reachability_change = lambda host, up: notified.append(
            (host, up)
        )
        assert await pair.request_loan(1) == 1
        for conn in list(pair.b._inbound):
            conn.abort()
        await _until(lambda: notified)
        assert notified == [('b', True)]

    async def _advance_until(self, pair, condition):
        async with asyncio.timeout(5):
            while not condition():
                await pair.clock.advance(0.5)
                await asyncio.sleep(0.005)


async def _until(condition):
    """Waits for a condition, at most 5 s."""
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110 - polls sockets of two sides
            await asyncio.sleep(0.005)
