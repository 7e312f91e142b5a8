"""Random bytes for the parsers of requests and of answers of targets."""

import asyncio

from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from ragwortchute import errors
from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.http import http_server
from ragwortchute.gateway.http import server_connection
from tests.test_gateway import rig as rigs

MAX_HEADER_BYTES = 2000
# Parts from which messages are put together; many make them ambiguous.
LINE_ENDS = st.sampled_from([b'\r\n', b'\r\n', b'\r\n', b'\n', b'\r'])
HEADERS = st.sampled_from(
    [
        b'Host: a',
        b'Host: b',
        b'Content-Length: 5',
        b'Content-Length: 0',
        b'Content-Length: +5',
        b'Content-Length: 5, 5',
        b'Content-Length: 99999999999999999999',
        b'Transfer-Encoding: chunked',
        b'Transfer-Encoding: identity, chunked',
        b'Transfer-Encoding : chunked',
        b'Transfer-Encoding: xchunked',
        b' folded: x',
        b'Connection: close',
        b'X-Request-Id: r1',
        b'X: \x00',
        b'Expect: 100-continue',
    ]
)
BODIES = st.sampled_from(
    [
        b'',
        b'hello',
        b'5\r\nhello\r\n0\r\n\r\n',
        b'5;x=y\r\nhello\r\n0\r\nX: y\r\n\r\n',
        b'0\r\n\r\n',
        b'-1\r\n',
        b'5\nhello\n0\n\n',
        b'GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n',
        b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n',
    ]
)


@st.composite
def messages(draw, first_lines):
    """Returns bytes of a message, possibly malformed."""
    data = draw(first_lines) + draw(LINE_ENDS)
    for header in draw(st.lists(HEADERS, max_size=5)):
        data += header + draw(LINE_ENDS)
    return data + draw(LINE_ENDS) + draw(BODIES)


REQUESTS = st.lists(
    st.one_of(
        messages(
            st.sampled_from(
                [
                    b'GET /x HTTP/1.1',
                    b'POST /x HTTP/1.1',
                    b'POST  /x HTTP/1.1',
                    b'GET http://a/x HTTP/1.1',
                    b'GET /x HTTP/9.9',
                ]
            )
        ),
        st.binary(max_size=40),
    ),
    min_size=1,
    max_size=4,
).map(b''.join)
ANSWERS = st.lists(
    st.one_of(
        messages(
            st.sampled_from(
                [
                    b'HTTP/1.1 200 OK',
                    b'HTTP/1.1 204 No Content',
                    b'HTTP/1.1 103 Early Hints',
                    b'HTTP/1.1 101 Switching Protocols',
                    b'HTTP/1.1 99999 X',
                    b'ICY 200 OK',
                ]
            )
        ),
        st.binary(max_size=40),
    ),
    min_size=1,
    max_size=4,
).map(b''.join)
# Lengths into which the bytes are cut.
CUTS = st.lists(st.integers(1, 60), max_size=6)


def pieces(data, cuts):
    """Returns the bytes in pieces of the given lengths, then the rest."""
    for length in cuts:
        piece, data = data[:length], data[length:]
        if piece:
            yield piece
    if data:
        yield data


class Transport(asyncio.Transport):
    """Transport that collects what is written."""

    def __init__(self):
        super().__init__()
        self.written = b''
        self.closing = False

    def write(self, data):
        self.written += data

    def write_eof(self):
        pass

    def can_write_eof(self):
        return True

    def is_closing(self):
        return self.closing

    def abort(self):
        self.closing = True

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


async def serve(data, cuts):
    """Returns the requests and the answers of a listener that gets bytes."""
    requests = []

    async def handle(req):
        requests.append(req)
        return http_messages.Response(200, (), req.body)

    limits = model.Limits(max_header_bytes=MAX_HEADER_BYTES, max_body_bytes=100)
    listener = http_server.Listener(
        handle, lambda: limits, rigs.MemoryLog(), 'fuzz'
    )
    conn = server_connection.ServerConnection(listener)
    transport = Transport()
    conn.connection_made(transport)
    for piece in pieces(data, cuts):
        conn.data_received(piece)
    for _ in range(3):
        await asyncio.sleep(0)
    return requests, transport.written


async def receive(data, cuts):
    """Returns the reply that a connection takes from bytes, None for none."""
    conn = http_client.ClientConnection('peer')
    transport = Transport()
    conn.connection_made(transport)
    fut = conn.send(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
    for piece in pieces(data, cuts):
        if not transport.closing:
            conn.data_received(piece)
    conn.connection_lost(None)
    try:
        return fut.result()
    except errors.TargetError:
        return None


class TestRequests:
    """Hosts and targets must agree on where each request ends."""

    @given(REQUESTS, CUTS)
    @settings(suppress_health_check=[HealthCheck.too_slow])
    def test_cuts_do_not_change_the_requests(self, data, cuts):
        whole, _ = asyncio.run(serve(data, ()))
        cut, _ = asyncio.run(serve(data, cuts))
        assert [(req.target, req.body) for req in cut] == [
            (req.target, req.body) for req in whole
        ]

    @given(REQUESTS, CUTS)
    @settings(suppress_health_check=[HealthCheck.too_slow])
    def test_requests_are_unambiguous(self, data, cuts):
        requests, written = asyncio.run(serve(data, cuts))
        for req in requests:
            names = [name for name, _ in req.headers]
            assert b'content-length' not in names
            assert b'transfer-encoding' not in names
            assert req.target.startswith('/')
            assert b'\n' not in req.target.encode('latin-1')
            for name, value in req.headers:
                assert not {10, 13, 0} & set(name + value)
        assert written.count(b'HTTP/1.1 200') <= len(requests)


class TestAnswers:
    """Bytes of a target must give one whole answer or none."""

    @given(ANSWERS, CUTS)
    @settings(suppress_health_check=[HealthCheck.too_slow])
    def test_cuts_do_not_change_the_answer(self, data, cuts):
        whole = asyncio.run(receive(data, ()))
        cut = asyncio.run(receive(data, cuts))
        assert (whole is None) == (cut is None)
        if whole is not None:
            assert (cut.status, cut.body) == (whole.status, whole.body)

    @given(ANSWERS, CUTS)
    @settings(suppress_health_check=[HealthCheck.too_slow])
    def test_answer_is_final(self, data, cuts):
        reply = asyncio.run(receive(data, cuts))
        if reply is not None:
            assert reply.status >= 200
            for name, value in reply.headers:
                assert not {10, 13, 0} & set(name + value)
