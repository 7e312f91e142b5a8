"""HTTP headers of the platform's callers and targets."""

from collections import abc
import math

from ragwortchute.gateway import dialect
from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.http import http_messages

REQUEST_ID = b'x-request-id'
DEADLINE_MS = b'x-request-deadline-ms'
EXPECT_INSTANCE = b'x-expect-instance'
INSTANCE_ID = b'x-instance-id'
NOT_EXECUTED = b'x-not-executed'
SERVER_STAMP = b'x-server-stamp'
SERVER_LOAD = b'x-server-load'
WARMUP_MS = b'x-warmup-ms'
SERVER_LIMIT = b'server-limit'
SERVER_LEAVING = b'server-leaving'
RETRY_AFTER = b'retry-after'
# Key of a caller, and name of its organisation, which only targets get.
CREDENTIAL = b'x-credential'
TENANT = b'x-tenant'

# No target takes as many requests per second; a higher limit is an error.
MAX_LIMIT_PER_S = 1e6
# No target has as many requests; the fourth figure is a percentage.
_MAX_LOAD = 1e6
# No target stays cold for longer than a day.
_MAX_WARMUP_MS = 86400e3
# No target asks for a pause longer than a day; a longer one is an error.
MAX_PAUSE_S = 86400.0

_UNAVAILABLE = 503
_NOT_RUN_STATUSES = frozenset({408, 421, 429, _UNAVAILABLE})

_CONSTRAINT_HEADERS = frozenset({SERVER_LIMIT, SERVER_LEAVING, RETRY_AFTER})
_NO_CONSTRAINTS = dialect.Constraints()

# Requests with these methods need no length if they have no body.
_BODYLESS_METHODS = frozenset({'GET', 'HEAD', 'DELETE', 'OPTIONS'})
_IDENTITY_HEADERS = frozenset({CREDENTIAL, TENANT})
# Request headers that are set for each target or host. Those that hosts add
# are not taken from callers.
_REPLACED_HEADERS = dialect.HOST_HEADERS | {DEADLINE_MS, EXPECT_INSTANCE}
# Response headers that are not returned to the caller.
_INTERNAL_HEADERS = http_messages.HOP_BY_HOP | {
    b'content-length',
    SERVER_LOAD,
    INSTANCE_ID,
    WARMUP_MS,
    dialect.TARGET_NAME,
}


class PlatformDialect(dialect.Dialect):
    """Protocol of the users' platform."""

    __slots__ = ()

    def request_id(self, req: http_messages.Request) -> bytes:
        """See base class."""
        return req.get(REQUEST_ID) or b''

    def remaining_s(self, req: http_messages.Request) -> float | None:
        """See base class."""
        value = req.get(DEADLINE_MS)
        if value is None:
            return None
        try:
            return max(0.0, float(value) / 1000)
        except ValueError:
            return None

    def credential(self, req: http_messages.Request) -> str:
        """See base class; one that is not valid UTF-8 is no key."""
        values = [value for name, value in req.headers if name == CREDENTIAL]
        if len(values) != 1 or CREDENTIAL in req.trailer_names:
            return ''
        try:
            return values[0].strip(b' \t').decode()
        except UnicodeDecodeError:
            return ''

    def drop_identity(self, req: http_messages.Request) -> None:
        """See base class.

        Some servers take an underscore in a name for a hyphen, so that names
        with underscores are removed, too.
        """
        req.headers = [
            item
            for item in req.headers
            if item[0].replace(b'_', b'-') not in _IDENTITY_HEADERS
        ]

    def organisation_header(self, name: str) -> tuple[bytes, bytes]:
        """See base class."""
        return TENANT, name.encode()

    def encode_head(
        self,
        req: http_messages.Request,
        remaining_s: float,
        entry: model.TargetEntry | None,
        added: abc.Iterable[tuple[bytes, bytes]] = (),
    ) -> bytes:
        """See base class."""
        chunks = [
            f'{req.method} {req.target} HTTP/1.1\r\n'.encode('latin-1'),
            b'host: ' + req.host.encode('latin-1') + b'\r\n',
        ]
        for name, value in req.headers:
            if name not in _REPLACED_HEADERS:
                chunks.append(name + b': ' + value + b'\r\n')
        chunks += [name + b': ' + value + b'\r\n' for name, value in added]
        chunks.append(
            b'x-request-deadline-ms: %d\r\n' % max(1, int(remaining_s * 1000))
        )
        if entry is not None:
            chunks.append(
                f'x-expect-instance: {entry.name}\r\n'.encode('latin-1')
            )
        size_bytes = req.body_bytes
        if size_bytes or req.method not in _BODYLESS_METHODS:
            chunks.append(b'content-length: %d\r\n' % size_bytes)
        chunks.append(b'\r\n')
        return b''.join(chunks)

    def accept(
        self, req: http_messages.Request
    ) -> abc.Callable[[http_client.Reply], bool]:
        """See base class."""
        request_id = self.request_id(req)

        def belongs(reply: http_client.Reply) -> bool:
            reply_id = reply.get(REQUEST_ID)
            if reply_id is not None:
                return reply_id == request_id
            # Without an ID, it may repeat the answer to a health request that
            # the connection has carried before. Others are rejected later.
            return not (request_id and _may_answer_probe(reply))

        return belongs

    def is_not_run(self, reply: http_client.Reply) -> bool:
        """See base class; without an ID, the request is not known."""
        return reply.get(REQUEST_ID) is not None and _turns_away(reply)

    def states_not_run(self, status: int) -> bool:
        """See base class."""
        return status in _NOT_RUN_STATUSES

    def is_misdirected(self, reply: http_client.Reply) -> bool:
        """See base class; without an ID, the request is not known."""
        return reply.get(REQUEST_ID) is not None and reply.status == 421

    def is_authentic(self, reply: http_client.Reply) -> bool:
        """See base class."""
        return (
            reply.get(SERVER_STAMP) is not None
            and reply.get(REQUEST_ID) is not None
            and reply.get(b'content-encoding') is None
        )

    def decode_constraints(
        self, reply: http_client.Reply
    ) -> dialect.Constraints:
        """See base class; the strictest of several values counts."""
        if not any(name in _CONSTRAINT_HEADERS for name, _ in reply.headers):
            return _NO_CONSTRAINTS
        limits = _parse_all(reply, SERVER_LIMIT, MAX_LIMIT_PER_S)
        leaving = _parse_all(reply, SERVER_LEAVING, 1)
        pauses: list[float | None] = []
        if reply.status == _UNAVAILABLE:
            pauses = _parse_all(reply, RETRY_AFTER, MAX_PAUSE_S)
        malformed = tuple(
            name.decode()
            for name, values in (
                (SERVER_LIMIT, limits),
                (SERVER_LEAVING, leaving),
                (RETRY_AFTER, pauses),
            )
            if None in values
        )
        return dialect.Constraints(
            None if None in limits else min(limits, default=None),
            1 in leaving,
            max((value for value in pauses if value is not None), default=0.0),
            malformed,
        )

    def answer_headers(
        self, reply: http_client.Reply
    ) -> list[tuple[bytes, bytes]]:
        """See base class."""
        return [
            (name, value)
            for name, value in reply.headers
            if name not in _INTERNAL_HEADERS
        ]

    def encode_probe(self, path: str, entry: model.TargetEntry) -> bytes:
        """See base class."""
        head = f'GET {path} HTTP/1.1\r\nhost: {entry.ip}:{entry.port}\r\n\r\n'
        return head.encode('latin-1')

    def accept_probe(
        self, entry: model.TargetEntry
    ) -> abc.Callable[[http_client.Reply], bool]:
        """See base class."""

        def is_health_response(reply: http_client.Reply) -> bool:
            # A late response to an earlier request carries a request ID.
            return reply.get(REQUEST_ID) is None

        return is_health_response

    def decode_health(
        self,
        reply: http_client.Reply,
        entry: model.TargetEntry,
        taken_s: float,
    ) -> dialect.Reading | None:
        """See base class."""
        instance = reply.get(INSTANCE_ID)
        constraints = self.decode_constraints(reply)
        if instance is None and _turns_away(reply):
            # A target that turns the request away need not give its name.
            return _decode_reading(reply, taken_s, False, constraints)
        if instance is None or instance != entry.name.encode('latin-1'):
            return None
        healthy = reply.status == 200
        return _decode_reading(reply, taken_s, healthy, constraints)

    def decode_load(
        self,
        reply: http_client.Reply,
        entry: model.TargetEntry,
        taken_s: float,
    ) -> dialect.Reading | None:
        """See base class."""
        if reply.get(SERVER_LOAD) is None:
            return None
        return _decode_reading(reply, taken_s, True)


def _turns_away(reply: http_client.Reply) -> bool:
    """Returns whether an answer states that its request was not executed."""
    return reply.get(NOT_EXECUTED) is not None or reply.status == 421


def _may_answer_probe(reply: http_client.Reply) -> bool:
    return _turns_away(reply) or reply.get(INSTANCE_ID) is not None


def _parse_all(
    reply: http_client.Reply, header: bytes, maximum: float
) -> list[float | None]:
    """Returns the numbers in all headers of a name, None for an invalid one."""
    return [
        _parse_number(value, maximum)
        for name, value in reply.headers
        if name == header
    ]


def _parse_number(value: bytes, maximum: float) -> float | None:
    """Returns a number from 0 to `maximum`, None if the value is another."""
    try:
        number = float(value)
    except ValueError:
        return None
    if math.isnan(number) or not 0 <= number <= maximum:
        return None
    return number


def _decode_reading(
    reply: http_client.Reply,
    taken_s: float,
    healthy: bool,
    constraints: dialect.Constraints = _NO_CONSTRAINTS,
) -> dialect.Reading:
    """Decodes load and warm-up; an invalid value is left out."""
    cold_s = _decode_cold_s(reply)
    values = [
        _parse_number(item, _MAX_LOAD)
        for item in (reply.get(SERVER_LOAD) or b'').split(b',')
    ]
    if len(values) < 3 or None in values:
        return dialect.Reading(
            taken_s, healthy, cold_s=cold_s, constraints=constraints
        )
    return dialect.Reading(
        taken_s,
        healthy,
        running=int(values[0]),
        waiting=int(values[1]),
        slots=int(values[2]),
        slowness=values[3] / 100 if len(values) > 3 else 1.0,
        cold_s=cold_s,
        constraints=constraints,
    )


def _decode_cold_s(reply: http_client.Reply) -> float:
    value = reply.get(WARMUP_MS)
    if value is None:
        return 0.0
    return (_parse_number(value, _MAX_WARMUP_MS) or 0.0) / 1000
