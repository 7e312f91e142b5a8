"""Parsing and validation of the head of a caller's request."""

import msgspec

from ragwortchute.upstream import http

# Headers that are not forwarded to targets: those of the connection, and those
# that this host sets or evaluates itself.
_STRIPPED_HEADERS = frozenset(
    name.encode()
    for name in (http.HOP_BY_HOP - {'connection'})
    | {'deadline-ms', 'expect', 'host', 'request-id'}
)
_STRIPPED_PREFIXES = (b'ragwortchute-', b'target-')
# Headers that a request may contain only once.
_UNIQUE_HEADERS = frozenset(
    {
        b'ragwortchute-tenant',
        b'ragwortchute-deadline-ms',
        b'ragwortchute-origin',
        b'ragwortchute-first-send',
        b'idempotency-key',
    }
)
_MAX_DEADLINE_DIGITS = 9
_MAX_LENGTH_DIGITS = 15


class HeadError(Exception):
    """The head of a request is invalid.

    Attributes:
        reason: Short fixed word.
        status: HTTP status of the refusal.
    """

    def __init__(self, reason: str, detail: str, status: int = 400) -> None:
        super().__init__(detail)
        self.reason = reason
        self.status = status


class Head(msgspec.Struct):
    """The parsed head of a request.

    Attributes:
        headers: End-to-end headers for the target, names in lower case.
        organisation: Header `Ragwortchute-Tenant`.
        deadline_ms: Header `Ragwortchute-Deadline-Ms` in milliseconds; 0 if
            absent.
        key: Header `Idempotency-Key`.
        origin_token: Header `Ragwortchute-Origin`.
        first_send: Whether `Ragwortchute-First-Send` is 1.
        length: Length of the body in bytes; -1 if its encoding is chunked.
    """

    headers: list[tuple[str, str]]
    organisation: str = ''
    deadline_ms: int = 0
    key: str = ''
    origin_token: str = ''
    first_send: bool = False
    length: int = 0


def parse(raw_headers: list[tuple[bytes, bytes]], max_headers: int) -> Head:
    """Parses the head of a request.

    Args:
        raw_headers: Names, in lower case, and values of the headers.
        max_headers: Largest number of headers.

    Raises:
        HeadError: The head is invalid.
    """
    if len(raw_headers) > max_headers:
        raise HeadError(
            'too-many-headers', f'more than {max_headers} headers', 431
        )
    headers: list[tuple[str, str]] = []
    values: dict[bytes, str] = {}
    connection_options: set[str] = set()
    length = 0
    for name, value in raw_headers:
        if name in _STRIPPED_HEADERS:
            if name == b'transfer-encoding':
                length = -1
            elif name == b'upgrade':
                raise HeadError('upgrade', 'protocol upgrades are refused')
        elif name == b'content-length':
            length = _parse_content_length(value)
        elif name == b'connection':
            connection_options |= http.connection_names(value.decode('latin-1'))
        elif name in _UNIQUE_HEADERS:
            if name in values:
                raise HeadError(
                    'header-repeated', f'{name.decode()} is repeated'
                )
            values[name] = value.decode('latin-1')
            if name == b'idempotency-key':
                headers.append((name.decode('latin-1'), values[name]))
        elif not name.startswith(_STRIPPED_PREFIXES):
            headers.append((name.decode('latin-1'), value.decode('latin-1')))
    if connection_options:
        headers = [
            item
            for item in headers
            if item[0] not in connection_options or item[0] == 'idempotency-key'
        ]
    return Head(
        headers,
        values.get(b'ragwortchute-tenant', ''),
        _parse_deadline_ms(values.get(b'ragwortchute-deadline-ms')),
        values.get(b'idempotency-key', ''),
        values.get(b'ragwortchute-origin', ''),
        values.get(b'ragwortchute-first-send', '') == '1',
        length,
    )


def check_path(raw_path: str, path: str) -> None:
    """Rejects paths that a target may interpret differently from a route.

    Routes match on the decoded path and determine the home regions of a call.
    A path that a target resolves to another route would bypass them.

    Args:
        raw_path: The path as received, percent-encoded.
        path: The decoded path.

    Raises:
        HeadError: The path is ambiguous.
    """
    if '%' in raw_path:
        lowered = raw_path.lower()
        if '%2f' in lowered or '%5c' in lowered:
            raise HeadError('path', 'path has an encoded separator')
    if '//' in path or '\\' in path or '\ufffd' in path:
        raise HeadError('path', 'path has an empty or invalid segment')
    if '/.' in path and not {'.', '..'}.isdisjoint(path.split('/')):
        raise HeadError('path', 'path has a dot segment')
    if not path.isprintable():
        raise HeadError('path', 'path has a control character')


def _parse_content_length(value: bytes) -> int:
    if not value.isdigit() or len(value) > _MAX_LENGTH_DIGITS:
        raise HeadError('content-length', 'Content-Length is not a number')
    return int(value)


def _parse_deadline_ms(value: str | None) -> int:
    if value is None:
        return 0
    if (
        not value.isascii()
        or not value.isdigit()
        or len(value) > _MAX_DEADLINE_DIGITS
        or int(value) == 0
    ):
        raise HeadError(
            'deadline-invalid',
            'Ragwortchute-Deadline-Ms is not a number of milliseconds above 0',
        )
    return int(value)
