"""ASGI application for callers: address query and calls.

The application is plain ASGI: a router and request objects would add to the
CPU of every call.
"""

import asyncio
from collections import abc
import http as http_status
import itertools
import secrets
from typing import Any
from urllib import parse

from absl import logging
import msgspec
from returns import result

from ragwortchute import callers
from ragwortchute import calls
from ragwortchute import clock as clocks
from ragwortchute import durations
from ragwortchute import events as event_table
from ragwortchute import records
from ragwortchute.callers import heads

Scope = dict[str, Any]
Receive = abc.Callable[[], abc.Awaitable[dict[str, Any]]]
Send = abc.Callable[[dict[str, Any]], abc.Awaitable[None]]

# Key of the ASGI scope under which `serving` offers to report a disconnect.
DISCONNECT_EXTENSION = 'ragwortchute.disconnect'

# Key under which `serving` offers to write a whole answer at once.
RESPOND_EXTENSION = 'ragwortchute.respond'

# Targets can't set it, so it tells a refusal of this host from an answer of a
# target that happens to be a problem document.
REFUSAL_HEADER = 'ragwortchute-refusal'

# Step of refusals that are given before the record is asked.
ADMIT_STEP = 'admit'

_CALL_PREFIX = '/call/'
_RETRY_AFTER_MS = 100
_MAX_HEADERS = 64
_MAX_ADDRESS_QUERY_CHARS = 4096


class Limits(msgspec.Struct, frozen=True):
    """Bounds of what a caller may send.

    Attributes:
        max_body_bytes: Largest request body.
        max_headers: Largest number of headers.
        max_calls: Largest number of calls at once on this host.
        max_buffered_bytes: Largest sum of the bodies of running calls. A host
            has 64 MB, so `max_calls` bodies of the largest size do not fit.
    """

    max_body_bytes: int = 1 << 20
    max_headers: int = _MAX_HEADERS
    max_calls: int = 2000
    max_buffered_bytes: int = 16 << 20


class _Refused(Exception):
    """Carries a refusal to where it is answered.

    Attributes:
        refusal: The refusal.
        close: True if the rest of the body makes the connection unusable.
    """

    def __init__(self, refusal: calls.Refusal, *, close: bool = False) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal
        self.close = close


class _CallerGone(Exception):
    """The caller closed its connection before the call was dispatched."""


class CallerApplication:
    """Answers callers.

    Args:
        directory: Documents in force and addresses of entry hosts.
        dispatch: Runs a call on targets.
        recorder: Runs calls that are not idempotent at most once.
        clock: Clock of the deadlines.
        limits: Bounds of what a caller may send.
        events: Table on which `call-ended` is emitted, or None.
        access_log: Whether a line is logged per call.
    """

    def __init__(
        self,
        *,
        directory: callers.Directory,
        dispatch: records.Run,
        recorder: records.Recorder,
        clock: clocks.Clock,
        limits: Limits | None = None,
        events: event_table.EventTable | None = None,
        access_log: bool = False,
    ) -> None:
        self._directory = directory
        self._dispatch = dispatch
        self._recorder = recorder
        self._clock = clock
        self._limits = limits or Limits()
        self._events = events
        self._access_log = access_log
        self._id_prefix = secrets.token_hex(6)
        self._id_numbers = itertools.count(1)
        self.running = 0
        self.buffered_bytes = 0
        self.answered = 0
        self.durations = durations.Durations()
        self.refused: dict[str, int] = {}

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers one request; the ASGI entry point."""
        if scope['type'] == 'lifespan':
            await _run_lifespan(receive, send)
            return
        if scope['type'] != 'http':
            raise ValueError(f'ASGI scope {scope["type"]!r} is not supported')
        try:
            if scope['path'].startswith(_CALL_PREFIX):
                await self._serve_call(scope, receive, send)
            elif scope['path'] == '/addresses':
                await self._serve_addresses(scope, send)
            else:
                raise _refused('path', 404, 'no such resource')
        except _Refused as exc:
            await self._send_refusal(scope, send, exc.refusal, exc.close)
        except _CallerGone:
            self._count('caller-gone')
        except Exception:
            logging.exception('callers: request failed')
            await self._send_refusal(scope, send, _INTERNAL, True)

    def dump(self) -> dict[str, object]:
        """Returns the number of running calls and totals by reason."""
        return {
            'running': self.running,
            'buffered_bytes': self.buffered_bytes,
            'answered': self.answered,
            'refused': dict(sorted(self.refused.items())),
        }

    async def _serve_addresses(self, scope: Scope, send: Send) -> None:
        if scope['method'] not in ('GET', 'HEAD'):
            raise _refused('method', 405, 'only GET is allowed')
        query = scope['query_string']
        if len(query) > _MAX_ADDRESS_QUERY_CHARS:
            raise _refused('query', 414, 'query is too long')
        values = dict(parse.parse_qsl(query.decode('latin-1')))
        service = values.get('service', '')
        if not self._directory.ready:
            raise _refused('not-ready', 503, 'no documents in force')
        if self._directory.document(service) is None:
            raise _refused('no-service', 404, 'service is unknown')
        answer = self._directory.addresses(
            service,
            values.get('tenant', ''),
            values.get('method', ''),
            values.get('path', ''),
        )
        await self._send(
            scope,
            send,
            200,
            [(b'content-type', b'application/json')],
            msgspec.json.encode(answer),
        )

    async def _serve_call(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        if self.running >= self._limits.max_calls:
            raise _refused(
                'too-many-calls', 503, 'too many calls at once', retry=True
            )
        self.running += 1
        started_s = self._clock.monotonic()
        call: calls.Call | None = None
        try:
            call, length = self._admit(scope, started_s)
            if length != 0:
                await self._read_body(call, receive)
            outcome = await self._run(call, scope, receive)
        except _Refused as exc:
            self._ended(call, started_s, exc.refusal, 0)
            raise
        finally:
            self.running -= 1
            if call is not None:
                self.buffered_bytes -= len(call.body)
        if outcome is None:
            self._count(_CANCELLED.reason)
            self._ended(call, started_s, _CANCELLED, 0)
            return
        if isinstance(outcome, result.Success):
            answer = outcome.unwrap()
            self._ended(call, started_s, None, answer.status)
            await self._send_answer(scope, send, answer)
            return
        refusal = outcome.failure()
        self._ended(call, started_s, refusal, 0)
        await self._send_refusal(scope, send, refusal, False)

    def _admit(self, scope: Scope, started_s: float) -> tuple[calls.Call, int]:
        """Returns the call without its body, and the length of the body.

        Everything that can be refused without the body is refused here.
        """
        directory = self._directory
        if not directory.ready:
            raise _refused(
                'not-ready', 503, 'no documents in force', retry=True
            )
        service, path, raw_path = _split_path(scope)
        document = directory.document(service)
        if document is None:
            raise _refused('no-service', 404, 'service is unknown')
        try:
            heads.check_path(raw_path, path)
            head = heads.parse(scope['headers'], self._limits.max_headers)
        except heads.HeadError as exc:
            raise _refused(exc.reason, exc.status, str(exc)) from exc
        method = scope['method']
        match = directory.match(document, method, raw_path, head.tenant)
        if match is None:
            raise _refused('no-route', 404, 'no route matches')
        route = match.route
        if match.homes and directory.region not in match.homes:
            raise _refused(
                'home-regions',
                421,
                'this region may not serve the call',
                directory.addresses(service, head.tenant, method, raw_path),
            )
        if method == 'CONNECT':
            raise _refused('method', 405, 'CONNECT is not supported')
        if not route.idempotent and not head.key:
            raise _refused(
                'key-missing', 400, 'the call needs an Idempotency-Key'
            )
        if route.idempotent:
            self._check_place(service, head.tenant, method, raw_path)
        if head.length > self._limits.max_body_bytes:
            raise self._too_large()
        deadline_ms = match.bounded_deadline_ms(head.deadline_ms or None)
        query = scope['query_string']
        if query:
            raw_path = f'{raw_path}?{query.decode("latin-1")}'
        call = calls.Call(
            call_id=f'{self._id_prefix}-{next(self._id_numbers):x}',
            service=service,
            method=method,
            path=raw_path,
            headers=head.headers,
            body=b'',
            tenant=head.tenant,
            deadline_s=started_s + deadline_ms / 1000,
            idempotent=route.idempotent,
            priority=route.priority,
            key=head.key,
            origin_token=head.origin_token,
            first_send=head.first_send,
            homes=match.homes,
            route=route.name,
            retries=route.retries,
            hedge=route.hedge,
        )
        return call, head.length

    def _check_place(
        self, service: str, tenant: str, method: str, path: str
    ) -> None:
        """Refuses new work that this host must not take."""
        directory = self._directory
        reason = (
            'leaving'
            if directory.leaving
            else directory.refusal_reason(service)
        )
        if reason:
            raise _refused(
                reason,
                503 if reason == 'leaving' else 421,
                'ask one of the given hosts',
                directory.addresses(service, tenant, method, path),
                retry=True,
            )

    async def _read_body(self, call: calls.Call, receive: Receive) -> None:
        """Reads the body into the call, and counts it as buffered."""
        remaining_s = call.deadline_s - self._clock.monotonic()
        parts: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(remaining_s):
                more = True
                while more:
                    message = await receive()
                    if message['type'] == 'http.disconnect':
                        raise _CallerGone
                    part = message.get('body', b'')
                    more = message.get('more_body', False)
                    parts.append(part)
                    size += len(part)
                    self.buffered_bytes += len(part)
                    self._check_size(size)
        except TimeoutError as exc:
            raise _refused(
                'body-timeout', 408, 'the body came too slowly', close=True
            ) from exc
        else:
            call.body = b''.join(parts) if len(parts) > 1 else part
        finally:
            # The call holds its share only if it got its body.
            self.buffered_bytes -= size - len(call.body)

    def _check_size(self, size: int) -> None:
        if size > self._limits.max_body_bytes:
            raise self._too_large()
        if self.buffered_bytes > self._limits.max_buffered_bytes:
            raise _refused(
                'too-many-bytes',
                503,
                'too many bytes of bodies at once',
                retry=True,
                close=True,
            )

    async def _run(
        self, call: calls.Call, scope: Scope, receive: Receive
    ) -> records.Outcome | None:
        """Returns the outcome, or None if the caller cancelled the call."""
        if not call.idempotent:
            # It runs on when the caller is gone, so that its record holds
            # the answer for a resend.
            return await self._recorder.execute(call, self._run_in_place)
        register = scope.get('extensions', {}).get(DISCONNECT_EXTENSION)
        if register is not None:
            return await _run_watched(self._dispatch(call), register)
        return await _run_polled(self._dispatch(call), receive)

    async def _run_in_place(self, call: calls.Call) -> records.Outcome:
        """Dispatches a recorded call unless this host takes no new work.

        The check comes after the record: this host answers for keys bound to
        it even when it may not dispatch.
        """
        try:
            self._check_place(
                call.service,
                call.tenant,
                call.method,
                call.path.partition('?')[0],
            )
        except _Refused as exc:
            return result.Failure(
                msgspec.structs.replace(exc.refusal, step='dispatch')
            )
        return await self._dispatch(call)

    def _too_large(self) -> '_Refused':
        return _refused(
            'body-too-large',
            413,
            f'body is larger than {self._limits.max_body_bytes} bytes',
            close=True,
        )

    async def _send_answer(
        self, scope: Scope, send: Send, answer: calls.Answer
    ) -> None:
        headers = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in answer.headers
        ]
        await self._send(
            scope,
            send,
            answer.status,
            headers,
            answer.body,
            keep_length=scope['method'] == 'HEAD' or answer.status == 304,
        )

    async def _send_refusal(
        self, scope: Scope, send: Send, refusal: calls.Refusal, close: bool
    ) -> None:
        self._count(refusal.reason)
        headers = [
            (b'content-type', b'application/problem+json'),
            (REFUSAL_HEADER.encode(), b'1'),
        ]
        if close:
            headers.append((b'connection', b'close'))
        await self._send(
            scope, send, refusal.status, headers, encode_problem(refusal)
        )

    async def _send(
        self,
        scope: Scope,
        send: Send,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        *,
        keep_length: bool = False,
    ) -> None:
        if not keep_length and status != 204:
            headers.append((b'content-length', b'%d' % len(body)))
        if self._directory.leaving:
            headers.append((b'connection', b'close'))
        respond = scope.get('extensions', {}).get(RESPOND_EXTENSION)
        if respond is not None and respond(scope, status, headers, body):
            return
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )
        await send({'type': 'http.response.body', 'body': body})

    def _count(self, reason: str) -> None:
        self.refused[reason] = self.refused.get(reason, 0) + 1

    def _ended(
        self,
        call: calls.Call | None,
        started_s: float,
        refusal: calls.Refusal | None,
        status: int,
    ) -> None:
        if refusal is None:
            self.answered += 1
        if call is None:
            return
        self.durations.add(self._clock.monotonic() - started_s)
        outcome = 'answered' if refusal is None else refusal.outcome.value
        if self._events is not None:
            self._events.emit('call-ended', call=call, outcome=outcome)
        if self._access_log:
            self._log(call, started_s, refusal, status, outcome)

    def _log(
        self,
        call: calls.Call,
        started_s: float,
        refusal: calls.Refusal | None,
        status: int,
        outcome: str,
    ) -> None:
        """Writes the line of a call; it never carries the key.

        Paths may name persons, so calls with home regions are logged without
        theirs: the log may leave the region.
        """
        fields = {
            'call': call.call_id,
            'service': call.service,
            'route': call.route,
            'method': call.method,
            'outcome': outcome,
            'status': status if refusal is None else refusal.status,
            'reason': '' if refusal is None else refusal.reason,
            'ms': round((self._clock.monotonic() - started_s) * 1000, 3),
        }
        if not call.homes:
            fields['path'] = call.path.partition('?')[0]
        logging.info('access: %s', msgspec.json.encode(fields).decode())


async def _run_watched(
    work: abc.Coroutine[Any, Any, records.Outcome],
    register: abc.Callable[[abc.Callable[[], None] | None], bool],
) -> records.Outcome | None:
    """Runs a call in this task; a disconnect cancels it.

    Args:
        work: The call.
        register: Sets or clears the function to call on a disconnect;
            returns False if the caller is already gone.
    """
    task = asyncio.current_task()
    before = task.cancelling()
    gone = False

    def cancel() -> None:
        nonlocal gone
        gone = True
        task.cancel()

    if not register(cancel):
        work.close()
        return None
    try:
        return await work
    except asyncio.CancelledError:
        if gone and task.uncancel() <= before:
            return None
        raise
    finally:
        register(None)


async def _run_polled(
    work: abc.Coroutine[Any, Any, records.Outcome], receive: Receive
) -> records.Outcome | None:
    """Runs a call; for servers that report a disconnect only on receive."""
    running = asyncio.ensure_future(work)
    watching = asyncio.ensure_future(_wait_disconnect(receive))
    try:
        await asyncio.wait(
            {running, watching}, return_when=asyncio.FIRST_COMPLETED
        )
        return running.result() if running.done() else None
    finally:
        running.cancel()
        watching.cancel()
        await asyncio.gather(running, watching, return_exceptions=True)


async def _wait_disconnect(receive: Receive) -> None:
    while (await receive())['type'] != 'http.disconnect':
        pass


async def _run_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return


def encode_problem(refusal: calls.Refusal) -> bytes:
    """Returns the body of a refusal as RFC 9457 defines it."""
    problem: dict[str, object] = {
        'type': 'about:blank',
        'title': http_status.HTTPStatus(refusal.status).phrase,
        'status': refusal.status,
        'detail': refusal.detail,
        'outcome': refusal.outcome.value,
        'reason': refusal.reason,
        'step': refusal.step,
        'retry_after_ms': refusal.retry_after_ms,
    }
    if refusal.addresses is not None:
        problem['addresses'] = refusal.addresses
    return msgspec.json.encode(problem)


def _split_path(scope: Scope) -> tuple[str, str, str]:
    """Returns service, decoded path and raw path at the target."""
    raw = scope['raw_path'].decode('latin-1')
    service, slash, raw_rest = raw[len(_CALL_PREFIX) :].partition('/')
    rest = scope['path'][len(_CALL_PREFIX) :].partition('/')[2]
    if not raw.startswith(_CALL_PREFIX) or '%' in service or not slash:
        raise _refused('path', 400, 'path is not /call/<service>/<path>')
    return service, f'/{rest}', f'/{raw_rest}'


def _refused(
    reason: str,
    status: int,
    detail: str,
    addresses: calls.AddressAnswer | None = None,
    *,
    retry: bool = False,
    close: bool = False,
) -> _Refused:
    return _Refused(
        calls.Refusal(
            calls.Outcome.NOT_RUN,
            reason,
            ADMIT_STEP,
            status,
            detail,
            _RETRY_AFTER_MS if retry else -1,
            addresses,
        ),
        close=close,
    )


_CANCELLED = calls.Refusal(
    calls.Outcome.UNKNOWN, 'caller-gone', 'dispatch', 499
)
_INTERNAL = calls.Refusal(
    calls.Outcome.UNKNOWN, 'internal', 'serve', 500, 'unexpected error'
)
