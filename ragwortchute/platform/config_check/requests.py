"""Requests as the gateway parses them, to find which a route can match."""

from typing import Any

import httptools

from ragwortchute.gateway.http import http_messages
from ragwortchute.platform import wire


class _Head:
    """Receives the parts of a head from the parser."""

    __slots__ = ('headers', 'url')

    def __init__(self) -> None:
        self.url = b''
        self.headers: list[tuple[bytes, bytes]] = []

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self.headers.append((name.lower(), value))


def parse(host: str, path: str) -> tuple[str, str] | None:
    """Returns the host name and path that the gateway reads from a request.

    Args:
        host: Host name that a caller sends.
        path: Path that a caller sends.

    Returns:
        Host name and path, or None if the gateway rejects the request.
    """
    try:
        head = _parse_head(path.encode('latin-1'), host.encode('latin-1'))
        req = _build(head)
    except (ValueError, httptools.HttpParserError):
        return None
    return req.host, req.path


def credential(key: str) -> str:
    """Returns the key that the gateway reads from a request.

    Args:
        key: Key that a caller sends.

    Returns:
        The key, empty if the gateway rejects the request.
    """
    try:
        header = b'%b: %b\r\n' % (wire.CREDENTIAL, key.encode())
        head = _parse_head(b'/', b'host', header)
        return wire.PlatformDialect().credential(_build(head))
    except (ValueError, httptools.HttpParserError):
        return ''


def _parse_head(url: bytes, host: bytes, headers: bytes = b'') -> _Head:
    head = _Head()
    httptools.HttpRequestParser(head).feed_data(
        b'GET %b HTTP/1.1\r\nhost: %b\r\n%b\r\n' % (url, host, headers)
    )
    return head


def _build(head: _Head) -> http_messages.Request:
    # No caller is connected that could be lost.
    nobody: Any = None
    return http_messages.build_request(
        b'GET', head.url, head.headers, 0.0, nobody
    )
