"""ASGI application for callers, which serves calls and address queries.

It uses plain ASGI, since a router and request objects would add CPU time to
every call.
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

# Key of the ASGI extension with which `serving` reports a disconnect.
DISCONNECT_EXTENSION = 'ragwortchute.disconnect'

# Key of the ASGI extension with which `serving` writes a whole answer at once.
RESPOND_EXTENSION = 'ragwortchute.respond'

# Distinguishes a refusal by this host from a problem document that a target
# returned; targets cannot set this header.
REFUSAL_HEADER = 'ragwortchute-refusal'

# Step of refusals that precede the lookup in the request record.
ADMIT_STEP = 'admit'

_CALL_PREFIX = '/call/'
_RETRY_AFTER_MS = 100
_MAX_HEADERS = 64
_MAX_ADDRESS_QUERY_CHARS = 4096


class Limits(msgspec.Struct, frozen=True):
    """Limits on the requests of callers.

    Attributes:
        max_body_bytes: Largest request body in bytes.
        max_headers: Largest number of headers.
        max_calls: Largest number of concurrent calls on this host.
        max_buffered_bytes: Largest total size of the bodies of running calls.
            A host has 64 MB of memory, which `max_calls` bodies of the largest
            size would exceed.
    """

    max_body_bytes: int = 1 << 20
    max_headers: int = _MAX_HEADERS
    max_calls: int = 2000
    max_buffered_bytes: int = 16 << 20


class _RefusalError(Exception):
    """Carries a refusal to the code that sends it.

    Attributes:
        refusal: The refusal.
        close: Whether the connection must be closed, because the rest of the
            body was not read.
    """

    def __init__(self, refusal: calls.Refusal, *, close: bool = False) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal
        self.close = close


class _CallerDisconnected(Exception):
    """The caller disconnected before the call was dispatched."""


class CallerApplication:
    """Serves calls and address queries of callers.

    Args:
        directory: Documents in force and addresses of entry hosts.
        dispatch: Runs a call on targets.
        recorder: Runs calls that are not idempotent at most once.
        clock: Clock for deadlines and durations.
        limits: Limits on the requests of callers.
        events: Table on which `call-ended` is emitted, or None.
        access_log: Whether to log a line for each call.

    Attributes:
        running: Number of calls that are being served.
        buffered_bytes: Size of the request bodies in memory, in bytes.
        answered: Number of calls that got an answer from a target.
        durations: Durations of the admitted calls.
        refused: Number of refusals by reason.
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
        self._call_id_prefix = secrets.token_hex(6)
        self._call_numbers = itertools.count(1)
        self.running = 0
        self.buffered_bytes = 0
        self.answered = 0
        self.durations = durations.Durations()
        self.refused: dict[str, int] = {}

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one request; the entry point of ASGI."""
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
        except _RefusalError as exc:
            await self._send_refusal(scope, send, exc.refusal, exc.close)
        except _CallerDisconnected:
            self._count_refusal('caller-gone')
        except Exception:
            logging.exception('callers: request failed')
            await self._send_refusal(scope, send, _INTERNAL_ERROR, True)

    def dump(self) -> dict[str, object]:
        """Returns counts of running, answered and refused calls."""
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
        except _RefusalError as exc:
            self._finish_call(call, started_s, exc.refusal, 0)
            raise
        finally:
            self.running -= 1
            if call is not None:
                self.buffered_bytes -= len(call.body)
        if outcome is None:
            self._count_refusal(_CALLER_GONE.reason)
            self._finish_call(call, started_s, _CALLER_GONE, 0)
            return
        if isinstance(outcome, result.Success):
            answer = outcome.unwrap()
            self._finish_call(call, started_s, None, answer.status)
            await self._send_answer(scope, send, answer)
            return
        refusal = outcome.failure()
        self._finish_call(call, started_s, refusal, 0)
        await self._send_refusal(scope, send, refusal, False)

    def _admit(self, scope: Scope, started_s: float) -> tuple[calls.Call, int]:
        """Checks a request before its body is read.

        Args:
            scope: ASGI scope of the request.
            started_s: Arrival of the request in monotonic seconds.

        Returns:
            The call without its body, and the length of the body in bytes; -1
            if its encoding is chunked.

        Raises:
            _RefusalError: The request is refused.
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
        match = directory.match(document, method, raw_path, head.organisation)
        if match is None:
            raise _refused('no-route', 404, 'no route matches')
        route = match.route
        if match.homes and directory.region not in match.homes:
            raise _refused(
                'home-regions',
                421,
                'this region may not serve the call',
                directory.addresses(
                    service, head.organisation, method, raw_path
                ),
            )
        if method == 'CONNECT':
            raise _refused('method', 405, 'CONNECT is not supported')
        if not route.idempotent and not head.key:
            raise _refused(
                'key-missing', 400, 'the call needs an Idempotency-Key'
            )
        if route.idempotent:
            self._check_accepts_work(
                service, head.organisation, method, raw_path
            )
        if head.length > self._limits.max_body_bytes:
            raise self._body_too_large()
        deadline_ms = match.bounded_deadline_ms(head.deadline_ms or None)
        query = scope['query_string']
        if query:
            raw_path = f'{raw_path}?{query.decode("latin-1")}'
        call = calls.Call(
            call_id=f'{self._call_id_prefix}-{next(self._call_numbers):x}',
            service=service,
            method=method,
            path=raw_path,
            headers=head.headers,
            body=b'',
            tenant=head.organisation,
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

    def _check_accepts_work(
        self, service: str, organisation: str, method: str, path: str
    ) -> None:
        """Refuses a new call if this host must not dispatch it.

        Raises:
            _RefusalError: The host is stopping, is not in the serving set, or
                its failure domain is out of service.
        """
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
                directory.addresses(service, organisation, method, path),
                retry=True,
            )

    async def _read_body(self, call: calls.Call, receive: Receive) -> None:
        """Reads the body into the call and counts it as buffered.

        Raises:
            _RefusalError: The body is too large or arrives too slowly.
            _CallerDisconnected: The caller disconnected.
        """
        remaining_s = call.deadline_s - self._clock.monotonic()
        parts: list[bytes] = []
        size_bytes = 0
        try:
            async with asyncio.timeout(remaining_s):
                more = True
                while more:
                    message = await receive()
                    if message['type'] == 'http.disconnect':
                        raise _CallerDisconnected
                    part = message.get('body', b'')
                    more = message.get('more_body', False)
                    parts.append(part)
                    size_bytes += len(part)
                    self.buffered_bytes += len(part)
                    self._check_body_size(size_bytes)
        except TimeoutError as exc:
            raise _refused(
                'body-timeout', 408, 'the body came too slowly', close=True
            ) from exc
        else:
            call.body = b''.join(parts) if len(parts) > 1 else part
        finally:
            # `_serve_call` releases the bytes of a complete body when the call
            # ends. Without one, `call.body` is empty and all are released here.
            self.buffered_bytes -= size_bytes - len(call.body)

    def _check_body_size(self, size_bytes: int) -> None:
        if size_bytes > self._limits.max_body_bytes:
            raise self._body_too_large()
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
        """Returns the outcome of a call, or None if its caller disconnected."""
        if not call.idempotent:
            # It continues after a disconnect, so that a resend finds the answer
            # in the record.
            return await self._recorder.execute(call, self._dispatch_recorded)
        set_callback = scope.get('extensions', {}).get(DISCONNECT_EXTENSION)
        if set_callback is not None:
            return await _run_until_disconnect(
                self._dispatch(call), set_callback
            )
        return await _run_polling_disconnect(self._dispatch(call), receive)

    async def _dispatch_recorded(self, call: calls.Call) -> records.Outcome:
        """Dispatches a recorded call unless this host accepts no new calls.

        The check follows the lookup in the record, since this host answers
        resends of the keys bound to it even while it may not dispatch.
        """
        try:
            self._check_accepts_work(
                call.service,
                call.tenant,
                call.method,
                call.path.partition('?')[0],
            )
        except _RefusalError as exc:
            return result.Failure(
                msgspec.structs.replace(exc.refusal, step='dispatch')
            )
        return await self._dispatch(call)

    def _body_too_large(self) -> '_RefusalError':
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
        self._count_refusal(refusal.reason)
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

    def _count_refusal(self, reason: str) -> None:
        self.refused[reason] = self.refused.get(reason, 0) + 1

    def _finish_call(
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
            self._log_access(call, started_s, refusal, status, outcome)

    def _log_access(
        self,
        call: calls.Call,
        started_s: float,
        refusal: calls.Refusal | None,
        status: int,
        outcome: str,
    ) -> None:
        """Logs the access line of a call, which never contains the key.

        The line of a call with home regions has no path, since paths may
        contain personal data and the log may leave the region.
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


async def _run_until_disconnect(
    call_coro: abc.Coroutine[Any, Any, records.Outcome],
    set_callback: abc.Callable[[abc.Callable[[], None] | None], bool],
) -> records.Outcome | None:
    """Runs a call in this task and cancels it on a disconnect.

    Args:
        call_coro: The call.
        set_callback: Sets or, with None, clears the function to call on a
            disconnect; returns False if the caller has disconnected already.

    Returns:
        The outcome, or None if the caller disconnected.
    """
    task = asyncio.current_task()
    cancelling_before = task.cancelling()
    disconnected = False

    def cancel() -> None:
        nonlocal disconnected
        disconnected = True
        task.cancel()

    if not set_callback(cancel):
        call_coro.close()
        return None
    try:
        return await call_coro
    except asyncio.CancelledError:
        if disconnected and task.uncancel() <= cancelling_before:
            return None
        raise
    finally:
        set_callback(None)


async def _run_polling_disconnect(
    call_coro: abc.Coroutine[Any, Any, records.Outcome], receive: Receive
) -> records.Outcome | None:
    """Runs a call and cancels it on a disconnect.

    For servers that report a disconnect only through `receive`.

    Returns:
        The outcome, or None if the caller disconnected.
    """
    running = asyncio.ensure_future(call_coro)
    watcher = asyncio.ensure_future(_wait_disconnect(receive))
    try:
        await asyncio.wait(
            {running, watcher}, return_when=asyncio.FIRST_COMPLETED
        )
        return running.result() if running.done() else None
    finally:
        running.cancel()
        watcher.cancel()
        await asyncio.gather(running, watcher, return_exceptions=True)


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
    """Returns a refusal as problem details in JSON, see RFC 9457."""
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
    """Returns the service, and the decoded and the raw path at the target.

    Raises:
        _RefusalError: The path does not name a service and a path.
    """
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
) -> _RefusalError:
    return _RefusalError(
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


_CALLER_GONE = calls.Refusal(
    calls.Outcome.UNKNOWN, 'caller-gone', 'dispatch', 499
)
_INTERNAL_ERROR = calls.Refusal(
    calls.Outcome.UNKNOWN, 'internal', 'serve', 500, 'unexpected error'
)
