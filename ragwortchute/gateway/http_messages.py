"""Requests of callers and responses to them, without a connection."""

import asyncio
from collections import abc
import http

import msgspec

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
    """

    method: str
    target: str
    host: str
    headers: list[tuple[bytes, bytes]]
    body_parts: list[bytes]
    arrived_s: float
    disconnected: asyncio.Future[None]

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


class Response(msgspec.Struct):
    """A complete HTTP response.

    Attributes:
        status: HTTP status code.
        headers: Names and values, without `Connection` and `Content-Length`.
        body: Body.
        close: Whether the connection is closed after this response.
    """

    status: int
    headers: abc.Sequence[tuple[bytes, bytes]] = ()
    body: bytes = b''
    close: bool = False


def encode(resp: Response) -> bytes:
    """Encodes the head and body of a response."""
    reason = _REASONS.get(resp.status, 'Unknown')
    lines = [f'HTTP/1.1 {resp.status} {reason}\r\n'.encode()]
    for name, value in resp.headers:
        lines.append(name + b': ' + value + b'\r\n')
    if resp.close:
        lines.append(b'connection: close\r\n')
    lines.append(b'content-length: %d\r\n\r\n' % len(resp.body))
    lines.append(resp.body)
    return b''.join(lines)
