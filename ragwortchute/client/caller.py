"""Client for callers that sends calls with fail-over and resends."""

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
_MIN_SEND_TIMEOUT_S = 0.05
# A host refuses a call at its deadline. A client that stopped waiting at the
# same time would report `unknown` instead of the `not-run` of the host.
_REFUSAL_GRACE_S = 0.25
_MAX_IMMEDIATE_FOLLOWS = 2
_RETRY_DELAY_S = 0.05


class _Progress(msgspec.Struct):
    """State of one call.

    Attributes:
        first_send: False once a byte may have been sent under the bound token.
        token: Origin token that the key is bound to; empty if unbound.
        refused_tokens: Origin tokens under which the key can no longer run.
        refused_by: Hosts that refused the call; they are tried last.
        position: Index in `hosts` of the next host to try.
        hosts: Hosts to choose from, in order of preference.
        followed_refusals: Number of refusals whose addresses were followed.
        timeouts: Number of sends that timed out.
        refusal: The last refusal.
    """

    first_send: bool = True
    token: str = ''
    refused_tokens: set[str] = msgspec.field(default_factory=set)
    refused_by: set[str] = msgspec.field(default_factory=set)
    position: int = 0
    hosts: tuple[calls.Address, ...] = ()
    followed_refusals: int = 0
    timeouts: int = 0
    refusal: calls.Refusal | None = None


class CallerClient:
    """Calls services through the entry hosts of a deployment.

    Args:
        urls: Base URLs of known entry hosts.
        organisation: Organisation that makes the calls, or an empty string.
        clock: Clock of the deadlines and delays.
        transport: Transport of calls and address queries.
    """

    def __init__(
        self,
        urls: abc.Sequence[str],
        *,
        organisation: str = '',
        clock: clock_lib.Clock | None = None,
        transport: transport_lib.HttpTransport | None = None,
    ) -> None:
        self._organisation = organisation
        self._clock = clock or clock_lib.SystemClock()
        self._transport = transport or transport_lib.HttpTransport()
        self._addresses = addresses_lib.AddressCache(
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

        Cancelling the task closes the connection. A call that is not idempotent
        may then still run.

        Args:
            service: Name of the service.
            method: HTTP method.
            path: Path and query at the target, with a leading slash, encoded.
            body: The complete body.
            headers: End-to-end headers.
            timeout_s: Seconds until the deadline. The client waits up to 0.25 s
                longer for the refusal of the last host.
            idempotent: True if the request may run more than once.
            key: New request key; generated if empty, unused for idempotent
                calls. Never pass a key of an earlier call: this client would
                mark its request as a first send.

        Returns:
            The answer of the target, or a refusal. The outcome of a refusal is
            `not-run` or `ran` only if that is certain.
        """
        request = protocol.Request(
            service=service,
            method=method,
            path=path,
            body=body,
            headers=tuple(headers),
            organisation=self._organisation,
            deadline_s=self._clock.monotonic() + timeout_s,
            key='' if idempotent else key or secrets.token_urlsafe(18),
        )
        progress = _Progress()
        for _ in range(MAX_SENDS):
            outcome = await self._attempt(request, progress)
            if outcome is not None:
                return outcome
            if self._time_left_s(request) <= 0:
                break
        return result.Failure(_final_refusal(progress))

    async def close(self) -> None:
        """Closes all connections."""
        await self._addresses.close()
        await self._transport.close()

    async def _attempt(
        self, request: protocol.Request, progress: _Progress
    ) -> Outcome | None:
        """Sends once; returns None if the call may be sent again."""
        address = await self._choose_host(request, progress)
        time_left_s = self._time_left_s(request)
        if time_left_s <= 0:
            return None
        if address is None:
            await self._pause(request, _RETRY_DELAY_S)
            return None
        token = progress.token or address.origin_token
        progress.position += 1
        was_first_send = progress.first_send
        try:
            response = await self._transport.send(
                request.method,
                address.url.rstrip('/') + protocol.call_path(request),
                headers=protocol.call_headers(
                    request,
                    remaining_s=time_left_s,
                    token=token,
                    first_send=was_first_send,
                ),
                body=request.body,
                timeout_s=self._send_timeout_s(progress, time_left_s),
            )
        except transport_lib.SendFailed as exc:
            return await self._after_failure(request, progress, token, exc)
        # Set before the response is evaluated, so that it is set on every path.
        progress.first_send = False
        progress.token = token
        reply = protocol.parse_response(
            response.status, response.headers, response.body
        )
        if isinstance(reply, calls.Answer):
            return result.Success(reply)
        progress.refused_by.add(address.host)
        return await self._after_refusal(
            request, progress, reply, was_first_send
        )

    async def _choose_host(
        self, request: protocol.Request, progress: _Progress
    ) -> calls.Address | None:
        for refresh in (False, True):
            if not progress.hosts or refresh:
                answer = await self._addresses.get(request, refresh=refresh)
                progress.hosts = answer.hosts if answer is not None else ()
            i = _next_host_index(progress, bool(request.key))
            if i >= 0:
                progress.position = i
                return progress.hosts[i]
        return None

    def _send_timeout_s(self, progress: _Progress, time_left_s: float) -> float:
        # The first host that does not respond must leave time for a resend to
        # another host. After a second timeout the target is the likely cause,
        # and a resend would not help.
        if progress.timeouts or time_left_s < 2 * _MIN_SEND_TIMEOUT_S:
            return time_left_s + _REFUSAL_GRACE_S
        return time_left_s / 2

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
        was_first_send: bool,
    ) -> Outcome | None:
        progress.refusal = refusal
        if refusal.outcome is calls.Outcome.RAN:
            return result.Failure(refusal)
        # Only a refusal from the record covers earlier sends. Without a key
        # there is no record.
        from_record = request.key and refusal.step != protocol.ADMIT_STEP
        covers_key = was_first_send or from_record
        if refusal.outcome is calls.Outcome.NOT_RUN and covers_key:
            progress.refused_tokens.add(progress.token)
            progress.token = ''
            progress.first_send = True
        followed = refusal.addresses is not None and refusal.addresses.hosts
        if followed:
            self._addresses.put(request, refusal.addresses)
            progress.hosts = refusal.addresses.hosts
            progress.position = 0
            progress.followed_refusals += 1
        elif refusal.retry_after_ms < 0:
            return result.Failure(self._overall_refusal(progress, refusal))
        if not followed or progress.followed_refusals > _MAX_IMMEDIATE_FOLLOWS:
            delay_s = max(_RETRY_DELAY_S, refusal.retry_after_ms / 1000)
            await self._pause(request, delay_s)
        return None

    def _overall_refusal(
        self, progress: _Progress, refusal: calls.Refusal
    ) -> calls.Refusal:
        if refusal.outcome is calls.Outcome.NOT_RUN and progress.token:
            # The refusal covers only the last send; an earlier one may have
            # run.
            return msgspec.structs.replace(
                refusal, outcome=calls.Outcome.UNKNOWN
            )
        return refusal

    async def _pause(self, request: protocol.Request, delay_s: float) -> None:
        await self._clock.sleep(
            max(0.0, min(delay_s, self._time_left_s(request)))
        )

    def _time_left_s(self, request: protocol.Request) -> float:
        return request.deadline_s - self._clock.monotonic()


def _next_host_index(progress: _Progress, has_key: bool) -> int:
    """Returns the index of the next host to try, or -1 if there is none.

    An unbound key needs a host whose origin token has not been refused. Hosts
    that have not refused this call come first, because a new address answer may
    begin with the host that refused it.
    """
    count = len(progress.hosts)
    eligible = [
        i % count
        for i in range(progress.position, progress.position + count)
        if progress.token
        or not has_key
        or progress.hosts[i % count].origin_token not in progress.refused_tokens
    ]
    preferred = [
        i for i in eligible if progress.hosts[i].host not in progress.refused_by
    ]
    return next(iter(preferred or eligible), -1)


def _final_refusal(progress: _Progress) -> calls.Refusal:
    """Returns the refusal of a call that received no final response."""
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
