"""Headers that the platform's callers and targets use."""

from collections import abc

from ragwortchute.gateway import dialect
from ragwortchute.gateway import http_client
from ragwortchute.gateway import http_server
from ragwortchute.gateway import model

REQUEST_ID = b'x-request-id'
DEADLINE_MS = b'x-request-deadline-ms'
EXPECT_INSTANCE = b'x-expect-instance'
INSTANCE_ID = b'x-instance-id'
NOT_EXECUTED = b'x-not-executed'
SERVER_STAMP = b'x-server-stamp'
SERVER_LOAD = b'x-server-load'
WARMUP_MS = b'x-warmup-ms'

# Set anew for each target.
_REPLACED = frozenset({DEADLINE_MS, EXPECT_INSTANCE})
# Concern the target and this host only.
_NOT_RETURNED = http_server.HOP_BY_HOP | {
    b'content-length',
    SERVER_LOAD,
    INSTANCE_ID,
    WARMUP_MS,
}


class PlatformDialect(dialect.Dialect):
    """The protocol that the platform's pages describe."""

    __slots__ = ()

    def request_id(self, req: http_server.Request) -> bytes:
        """See base class."""
        return req.get(REQUEST_ID) or b''

    def remaining_s(self, req: http_server.Request) -> float | None:
        """See base class."""
        value = req.get(DEADLINE_MS)
        if value is None:
            return None
        try:
            return max(0.0, float(value) / 1000)
        except ValueError:
            return None

    def encode(
        self,
        req: http_server.Request,
        remaining_s: float,
        entry: model.TargetEntry,
    ) -> bytes:
        """See base class."""
        parts = [
            f'{req.method} {req.target} HTTP/1.1\r\n'.encode('latin-1'),
            b'host: ' + req.host.encode('latin-1') + b'\r\n',
        ]
        for name, value in req.headers:
            if name not in _REPLACED:
                parts.append(name + b': ' + value + b'\r\n')
        parts.append(
            b'x-request-deadline-ms: %d\r\n' % max(1, int(remaining_s * 1000))
        )
        if entry is not None:
            parts.append(
                f'x-expect-instance: {entry.name}\r\n'.encode('latin-1')
            )
        if req.body or req.method not in ('GET', 'HEAD', 'DELETE', 'OPTIONS'):
            parts.append(b'content-length: %d\r\n' % len(req.body))
        parts.append(b'\r\n')
        parts.append(req.body)
        return b''.join(parts)

    def accept(
        self, req: http_server.Request
    ) -> abc.Callable[[http_client.Reply], bool]:
        """See base class."""
        request_id = self.request_id(req)

        def is_mine(reply: http_client.Reply) -> bool:
            echoed = reply.get(REQUEST_ID)
            # Answers without the identity are refused later, not skipped.
            return echoed is None or echoed == request_id

        return is_mine

    def not_run(self, reply: http_client.Reply) -> bool:
        """See base class."""
        return reply.get(NOT_EXECUTED) is not None or reply.status == 421

    def misdirected(self, reply: http_client.Reply) -> bool:
        """See base class."""
        return reply.status == 421

    def authentic(self, reply: http_client.Reply) -> bool:
        """See base class."""
        return (
            reply.get(SERVER_STAMP) is not None
            and reply.get(REQUEST_ID) is not None
            and reply.get(b'content-encoding') is None
        )

    def answer_headers(
        self, reply: http_client.Reply
    ) -> list[tuple[bytes, bytes]]:
        """See base class."""
        return [
            (name, value)
            for name, value in reply.headers
            if name not in _NOT_RETURNED
        ]

    def encode_probe(self, path: str, entry: model.TargetEntry) -> bytes:
        """See base class."""
        head = f'GET {path} HTTP/1.1\r\nhost: {entry.ip}:{entry.port}\r\n\r\n'
        return head.encode('latin-1')

    def accept_probe(
        self, entry: model.TargetEntry
    ) -> abc.Callable[[http_client.Reply], bool]:
        """See base class."""

        def is_health(reply: http_client.Reply) -> bool:
            # A late answer to an earlier request carries its identity.
            return reply.get(REQUEST_ID) is None

        return is_health

    def reading(
        self,
        reply: http_client.Reply,
        entry: model.TargetEntry,
        taken_s: float,
    ) -> dialect.Reading | None:
        """See base class."""
        instance = reply.get(INSTANCE_ID)
        if instance is None or instance != entry.name.encode('latin-1'):
            return None
        return _reading(reply, taken_s, reply.status == 200)

    def load(
        self,
        reply: http_client.Reply,
        entry: model.TargetEntry,
        taken_s: float,
    ) -> dialect.Reading | None:
        """See base class."""
        if reply.get(SERVER_LOAD) is None:
            return None
        return _reading(reply, taken_s, True)


def _reading(
    reply: http_client.Reply, taken_s: float, healthy: bool
) -> dialect.Reading:
    cold_s = 0.0
    warmup = reply.get(WARMUP_MS)
    if warmup is not None:
        try:
            cold_s = float(warmup) / 1000
        except ValueError:
            cold_s = 0.0
    load = reply.get(SERVER_LOAD)
    if load is None:
        return dialect.Reading(taken_s, healthy, cold_s=cold_s)
    try:
        figures = [int(item) for item in load.split(b',')]
        running, waiting, slots = figures[:3]
    except ValueError:
        return dialect.Reading(taken_s, healthy, cold_s=cold_s)
    slowness = figures[3] / 100 if len(figures) > 3 else 1.0
    return dialect.Reading(
        taken_s, healthy, running, waiting, slots, slowness, cold_s
    )
