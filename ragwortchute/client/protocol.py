"""Requests and responses of the protocol in docs/caller-protocol.md."""

from collections import abc
import urllib.parse

import msgspec

from ragwortchute import calls

# Set by the entry host on each refusal. The content type does not identify a
# refusal, because a target may answer with a problem document of its own, such
# as a refusal that it received from another service.
REFUSAL_HEADER = 'ragwortchute-refusal'

PROBLEM_TYPE = 'application/problem+json'

# A refusal at this step is sent before the host looks up the record. In reply
# to a resend, it does not tell whether an earlier send ran.
ADMIT_STEP = 'admit'

_HOP_BY_HOP_HEADERS = frozenset(
    ('connection', 'content-length', 'keep-alive', 'transfer-encoding')
)


class Request(msgspec.Struct, frozen=True):
    """Request of a caller to a service.

    Attributes:
        service: Name of the service.
        method: HTTP method.
        path: Path and query at the target, with a leading slash, encoded.
        body: The complete body.
        headers: End-to-end headers.
        organisation: Organisation that makes the call, or an empty string.
        deadline_s: Deadline on the client's monotonic clock, in seconds.
        key: Request key; empty if the request may run more than once.
    """

    service: str
    method: str
    path: str
    body: bytes
    headers: tuple[tuple[str, str], ...]
    organisation: str
    deadline_s: float
    key: str = ''


class _Problem(msgspec.Struct, frozen=True):
    outcome: calls.Outcome
    reason: str = ''
    step: str = ''
    detail: str = ''
    retry_after_ms: int = -1
    addresses: calls.AddressAnswer | None = None


def address_path(request: Request, *, any_path: bool = False) -> str:
    """Returns path and query of the address query of a request.

    Args:
        request: The request.
        any_path: True to omit method and path, for an answer that is valid for
            all of them.
    """
    values = {'service': request.service, 'tenant': request.organisation}
    if not any_path:
        values['method'] = request.method
        values['path'] = request.path.partition('?')[0]
    return f'/addresses?{urllib.parse.urlencode(values)}'


def call_path(request: Request) -> str:
    """Returns path and query of a call."""
    return f'/call/{urllib.parse.quote(request.service)}{request.path}'


def call_headers(
    request: Request, *, remaining_s: float, token: str, first_send: bool
) -> list[tuple[str, str]]:
    """Returns the headers of one send.

    Args:
        request: The request.
        remaining_s: Seconds until the deadline of the request.
        token: Origin token that the key is bound to; unused without a key.
        first_send: True only if no byte of a request with this key can have
            been sent.
    """
    headers = list(request.headers)
    remaining_ms = max(1, int(remaining_s * 1000))
    headers.append(('Ragwortchute-Deadline-Ms', str(remaining_ms)))
    if request.organisation:
        headers.append(('Ragwortchute-Tenant', request.organisation))
    if request.key:
        headers.append(('Idempotency-Key', request.key))
        headers.append(('Ragwortchute-Origin', token))
    if request.key and first_send:
        headers.append(('Ragwortchute-First-Send', '1'))
    return headers


def parse_response(
    status: int, headers: abc.Iterable[tuple[str, str]], body: bytes
) -> calls.Answer | calls.Refusal:
    """Returns the answer of a target, or the refusal of an entry host.

    Args:
        status: HTTP status.
        headers: Response headers, names in lower case.
        body: The complete body.
    """
    end_to_end = [
        item for item in headers if item[0] not in _HOP_BY_HOP_HEADERS
    ]
    if not calls.header(end_to_end, REFUSAL_HEADER):
        return calls.Answer(status=status, headers=end_to_end, body=body)
    try:
        problem = msgspec.json.decode(body, type=_Problem)
    except msgspec.DecodeError:
        return calls.Refusal(
            outcome=calls.Outcome.UNKNOWN,
            reason='bad-refusal',
            step='client',
            status=status,
            detail='the refusal could not be decoded',
        )
    return calls.Refusal(
        outcome=problem.outcome,
        reason=problem.reason,
        step=problem.step,
        status=status,
        detail=problem.detail,
        retry_after_ms=problem.retry_after_ms,
        addresses=problem.addresses,
    )
