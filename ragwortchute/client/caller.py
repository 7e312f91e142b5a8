"""The caller client: address queries, fail-over and resends."""

from collections import abc
import secrets

import msgspec
from returns import result

from ragwortchute import calls
from ragwortchute import clock as clock_lib
from ragwortchute.client import addresses as addresses_lib
from ragwortchute.client import protocol
from ragwortchute.client import transport as transport_lib

Outcome = result.Result[calls.Answer, calls.Refusal]

MAX_SENDS = 8

_STEP = 'client'
_MIN_SEND_S = 0.05
# A host refuses a call at its deadline; giving up at the same instant would
# turn its `not-run` into `unknown`.
_REFUSAL_GRACE_S = 0.25
_FREE_FOLLOWS = 2
_RETRY_DELAY_S = 0.05


class _Progress(msgspec.Struct):
    """What one call has done so far.

    Attributes:
        first_send: False once a byte may have left under the bound token.
        token: Token that the key is bound to; empty if it is not bound.
        refused_tokens: Tokens under which the key will not run any more.
        refusing_hosts: Hosts that refused; others are asked before them.
        position: Number of the next host in the address answer.
        hosts: Hosts to choose from.
        follows: Refusals with addresses that were followed at once.
        timeouts: Sends that timed out.
        refusal: The last refusal.
    """

    first_send: bool = True
    token: str = ''
    refused_tokens: set[str] = msgspec.field(default_factory=set)
    refusing_hosts: set[str] = msgspec.field(default_factory=set)
    position: int = 0
    hosts: tuple[calls.Address, ...] = ()
    follows: int = 0
    timeouts: int = 0
    refusal: calls.Refusal | None = None


class CallerClient:
    """Calls services through the entry hosts of a deployment.

    Args:
        urls: Base URLs of known entry hosts.
        tenant: Tenant of all calls, or an empty string.
        clock: Source of time.
        transport: Sends requests.
    """

    def __init__(
        self,
        urls: abc.Sequence[str],
        *,
        tenant: str = '',
        clock: clock_lib.Clock | None = None,
        transport: transport_lib.HttpTransport | None = None,
    ) -> None:
        self._tenant = tenant
        self._clock = clock or clock_lib.SystemClock()
        self._transport = transport or transport_lib.HttpTransport()
        self._addresses = addresses_lib.AddressBook(
            urls, self._transport, self._clock
        )

    async def call(
        self,
        service: str,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        headers: abc.Sequence[tuple[str, str]] = (),
        timeout_s: float = 2.0,
        idempotent: bool = False,
        key: str = '',
    ) -> Outcome:
        """Calls a service.

        When the task is cancelled, the connection is closed. A call that is
        not idempotent may then still run.

        Args:
            service: Name of the service.
            method: HTTP method.
            path: Path and query at the target, with a leading slash, encoded.
            body: The whole body.
            headers: End-to-end headers.
            timeout_s: Seconds until the deadline. A refusal of the last
                host is awaited up to 0.25 s longer.
            idempotent: True if the request may run more than once.
            key: New request key; drawn if empty. Not used for idempotent
                calls. A key that was used in an earlier call must not be
                given again: this client would state a first send.

        Returns:
            The answer of the target, or a refusal. Its outcome is `not-run`
            or `ran` only if that is certain.
        """
        request = protocol.Request(
            service=service,
            method=method,
            path=path,
            body=body,
            headers=tuple(headers),
            tenant=self._tenant,
            deadline_s=self._clock.monotonic() + timeout_s,
            key='' if idempotent else key or secrets.token_urlsafe(18),
        )
        progress = _Progress()
        for _ in range(MAX_SENDS):
            outcome = await self._try(request, progress)
            if outcome is not None:
                return outcome
            if self._left_s(request) <= 0:
                break
        return result.Failure(_last_refusal(progress))

    async def close(self) -> None:
        """Closes all connections."""
        await self._addresses.close()
        await self._transport.close()

    async def _try(
        self, request: protocol.Request, progress: _Progress
    ) -> Outcome | None:
        """Sends once; returns None if the call may be sent again."""
        address = await self._choose(request, progress)
        left_s = self._left_s(request)
        if left_s <= 0:
            return None
        if address is None:
            await self._pause(request, _RETRY_DELAY_S)
            return None
        token = progress.token or address.origin_token
        progress.position += 1
        was_first = progress.first_send
        try:
            response = await self._transport.send(
                request.method,
                address.url.rstrip('/') + protocol.call_path(request),
                headers=protocol.call_headers(
                    request,
                    remaining_s=left_s,
                    token=token,
                    first_send=was_first,
                ),
                body=request.body,
                timeout_s=self._send_timeout_s(progress, left_s),
            )
        except transport_lib.SendFailed as exc:
            return await self._after_failure(request, progress, token, exc)
        # Set before the response is judged, so that no path leaves it out.
        progress.first_send = False
        progress.token = token
        reply = protocol.parse_response(
            response.status, response.headers, response.body
        )
        if isinstance(reply, calls.Answer):
            return result.Success(reply)
        progress.refusing_hosts.add(address.host)
        return await self._after_refusal(request, progress, reply, was_first)

    async def _choose(
        self, request: protocol.Request, progress: _Progress
    ) -> calls.Address | None:
        for refresh in (False, True):
            if not progress.hosts or refresh:
                answer = await self._addresses.get(request, refresh=refresh)
                progress.hosts = answer.hosts if answer is not None else ()
            i = _next_position(progress, bool(request.key))
            if i >= 0:
                progress.position = i
                return progress.hosts[i]
        return None

    def _send_timeout_s(self, progress: _Progress, left_s: float) -> float:
        # A host that stands still must leave time for a resend elsewhere; a
        # second timeout points at the target, and a resend would not help.
        if progress.timeouts or left_s < 2 * _MIN_SEND_S:
            return left_s + _REFUSAL_GRACE_S
        return left_s / 2

    async def _after_failure(
        self,
        request: protocol.Request,
        progress: _Progress,
        token: str,
        failure: transport_lib.SendFailed,
    ) -> None:
        if failure.timed_out:
            progress.timeouts += 1
        if failure.maybe_sent:
            progress.first_send = False
            progress.token = token
        if progress.position % max(1, len(progress.hosts)) == 0:
            await self._pause(request, _RETRY_DELAY_S)

    async def _after_refusal(
        self,
        request: protocol.Request,
        progress: _Progress,
        refusal: calls.Refusal,
        was_first: bool,
    ) -> Outcome | None:
        progress.refusal = refusal
        if refusal.outcome is calls.Outcome.RAN:
            return result.Failure(refusal)
        # Only the record speaks for earlier sends; without a key there is no
        # record.
        recorded = request.key and refusal.step != protocol.ADMIT_STEP
        about_key = was_first or recorded
        if refusal.outcome is calls.Outcome.NOT_RUN and about_key:
            progress.refused_tokens.add(progress.token)
            progress.token = ''
            progress.first_send = True
        followed = refusal.addresses is not None and refusal.addresses.hosts
        if followed:
            self._addresses.put(request, refusal.addresses)
            progress.hosts = refusal.addresses.hosts
            progress.position = 0
            progress.follows += 1
        elif refusal.retry_after_ms < 0:
            return result.Failure(self._true_refusal(progress, refusal))
        if not followed or progress.follows > _FREE_FOLLOWS:
            delay_s = max(_RETRY_DELAY_S, refusal.retry_after_ms / 1000)
            await self._pause(request, delay_s)
        return None

    def _true_refusal(
        self, progress: _Progress, refusal: calls.Refusal
    ) -> calls.Refusal:
        if refusal.outcome is calls.Outcome.NOT_RUN and progress.token:
            # It speaks of the last send only; an earlier one may have run.
            return msgspec.structs.replace(
                refusal, outcome=calls.Outcome.UNKNOWN
            )
        return refusal

    async def _pause(self, request: protocol.Request, delay_s: float) -> None:
        await self._clock.sleep(max(0.0, min(delay_s, self._left_s(request))))

    def _left_s(self, request: protocol.Request) -> float:
        return request.deadline_s - self._clock.monotonic()


def _next_position(progress: _Progress, keyed: bool) -> int:
    """Returns the position of the next host to ask, or -1 if there is none.

    An unbound key needs a token under which it was not refused. Hosts that
    have not refused this call come first: new addresses may begin with the
    host that refused it.
    """
    count = len(progress.hosts)
    usable = [
        i % count
        for i in range(progress.position, progress.position + count)
        if progress.token
        or not keyed
        or progress.hosts[i % count].origin_token not in progress.refused_tokens
    ]
    fresh = [
        i
        for i in usable
        if progress.hosts[i].host not in progress.refusing_hosts
    ]
    return next(iter(fresh or usable), -1)


def _last_refusal(progress: _Progress) -> calls.Refusal:
    """Returns the refusal of a call that ended without a final response."""
    refusal = progress.refusal
    if progress.first_send and refusal is not None:
        return refusal
    if not progress.first_send:
        if refusal is not None and refusal.outcome is calls.Outcome.UNKNOWN:
            return refusal
        return calls.Refusal(
            outcome=calls.Outcome.UNKNOWN,
            reason='no-answer',
            step=_STEP,
            status=504,
            detail='no host could tell whether the request ran',
        )
    return calls.Refusal(
        outcome=calls.Outcome.NOT_RUN,
        reason='no-host',
        step=_STEP,
        status=503,
        detail='no entry host could be reached',
    )
