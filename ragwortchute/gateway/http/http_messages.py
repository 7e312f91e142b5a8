"""Requests of callers and responses to them, without a connection."""

import asyncio
from collections import abc
import http

import msgspec

from ragwortchute.gateway.http import body_stream

# Headers that concern one connection and are not forwarded.
HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)

# Headers that are not forwarded as they are: they concern one connection, or
# are set anew on each.
_DROPPED_HEADERS = HOP_BY_HOP | {b'host', b'content-length', b'expect'}

_REASONS = {status.value: status.phrase for status in http.HTTPStatus}


class Request(msgspec.Struct, eq=False):
    """A complete HTTP request.

    Attributes:
        method: Method.
        target: Path with query, as sent.
        host: Host name in lower case, without a port.
        headers: Names in lower case and values, without hop-by-hop headers.
        body_parts: Parts of the body, decoded from chunks.
        arrived_s: Loop time at which the request was complete.
        disconnected: Future that is done once the caller's connection is lost.
        accepts_chunks: Whether the caller understands an answer in chunks.
        trailer_names: Names of the headers that came behind the body.
        organisation: Name of the organisation that the host which relayed the
            request has found, empty if none.
    """

    method: str
    target: str
    host: str
    headers: list[tuple[bytes, bytes]]
    body_parts: list[bytes]
    arrived_s: float
    disconnected: asyncio.Future[None]
    accepts_chunks: bool = True
    trailer_names: frozenset[bytes] = frozenset()
    organisation: str = ''

    def __repr__(self) -> str:
        # Headers may hold keys.
        return f'Request({self.method} {self.host} {self.path})'

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, None if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    @property
    def body(self) -> bytes:
        """The whole body; this copies a long one."""
        return b''.join(self.body_parts)

    @property
    def body_bytes(self) -> int:
        """Length of the body."""
        return sum(len(part) for part in self.body_parts)

    @property
    def path(self) -> str:
        """Path without the query string."""
        return self.target.partition('?')[0]


def build_request(
    method: bytes,
    url: bytes,
    headers: list[tuple[bytes, bytes]],
    arrived_s: float,
    disconnected: asyncio.Future[None],
) -> Request:
    """Returns a request, still without its body, from what was parsed.

    Args:
        method: Method.
        url: Request target.
        headers: All headers, names in lower case.
        arrived_s: Loop time at which the request was complete.
        disconnected: Future that is done once the connection is lost.

    Raises:
        ValueError: The target is no path, or there is not one `Host` header.
    """
    hosts = [value for name, value in headers if name == b'host']
    if len(hosts) != 1:
        raise ValueError('request needs exactly one Host header')
    if not url.startswith(b'/'):
        raise ValueError('request target is not a path')
    tokens = _connection_tokens(headers)
    host = hosts[0].decode('latin-1').strip().lower()
    return Request(
        method.decode('ascii'),
        url.decode('latin-1'),
        host.rpartition(':')[0] if ':' in host else host,
        [
            (name, value)
            for name, value in headers
            if name not in _DROPPED_HEADERS and name not in tokens
        ],
        [],
        arrived_s,
        disconnected,
    )


def encode_head(
    method: bytes, url: bytes, version: str, headers: list[tuple[bytes, bytes]]
) -> bytes:
    """Returns the head of a request as it may have been sent.

    Args:
        method: Method.
        url: Request target.
        version: Version of HTTP, such as `1.1`.
        headers: Names and values.
    """
    lines = [b'%s %s HTTP/%s' % (method, url, version.encode('ascii'))]
    lines += [name + b': ' + value for name, value in headers]
    return b'\r\n'.join([*lines, b'', b''])


def _connection_tokens(headers: list[tuple[bytes, bytes]]) -> set[bytes]:
    """Returns the names of further headers that concern one connection."""
    return {
        token.strip()
        for name, value in headers
        if name == b'connection'
        for token in value.lower().split(b',')
    }


class Response(msgspec.Struct):
    """An HTTP response whose head is complete.

    Attributes:
        status: HTTP status code.
        headers: Names and values, without `Connection` and `Content-Length`.
        body: Body.
        close: Whether the connection is closed after this response.
        rest: Body that is still arriving; `body` is empty then.
    """

    status: int
    headers: abc.Sequence[tuple[bytes, bytes]] = ()
    body: bytes = b''
    close: bool = False
    rest: body_stream.BodyStream | None = None

    def drop_rest(self) -> None:
        """Notes that the caller takes no more of a body that arrives."""
        if self.rest is not None:
            self.rest.leave()


def retry_after(wait_s: float) -> tuple[bytes, bytes]:
    """Returns the header that names the time until a request may be repeated.

    Args:
        wait_s: The time in seconds.
    """
    return b'retry-after', f'{wait_s:.3f}'.encode()


def encode(resp: Response) -> bytes:
    """Encodes the head and body of a response."""
    return encode_response_head(resp, len(resp.body)) + resp.body


def encode_response_head(
    resp: Response, length: int | None, *, chunked: bool = False
) -> bytes:
    """Encodes the head of a response.

    Args:
        resp: The response.
        length: Length of its body in bytes, None if it is not known.
        chunked: Whether the body is sent in chunks.
    """
    reason = _REASONS.get(resp.status, 'Unknown')
    lines = [f'HTTP/1.1 {resp.status} {reason}\r\n'.encode()]
    for name, value in resp.headers:
        lines.append(name + b': ' + value + b'\r\n')
    if resp.close:
        lines.append(b'connection: close\r\n')
    if length is not None:
        lines.append(b'content-length: %d\r\n' % length)
    elif chunked:
        lines.append(b'transfer-encoding: chunked\r\n')
    lines.append(b'\r\n')
    return b''.join(lines)
