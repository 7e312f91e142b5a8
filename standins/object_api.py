"""Stand-in for the platform's object API: an HTTP server over memory.

It serves the protocol of `ragwortchute.stores.http` and these control paths:

    POST   /hosts/<host>   publishes a `ListedHost` after the lag
    DELETE /hosts/<host>   removes a host from the list after the lag
    POST   /faults         sets individual faults: `slow_s`, `down`,
                           `lose_answers`, `stale_reads`
    GET    /faults         returns the faults
    GET    /counters       returns the number of calls by kind
    POST   /counters/reset resets the counters to zero
"""

import argparse
import asyncio
from collections import abc
import contextlib
import socket

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import uvicorn
from uvicorn.protocols.http import httptools_impl

from ragwortchute import clock
from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.stores import http
from ragwortchute.stores import memory

HOST_PREFIX = 'hosts/'
_MAX_WATCH_TIMEOUT_S = 300.0
_STOP_TIMEOUT_S = 1.0
_LISTEN_BACKLOG = 512


class ObjectApi:
    """In-memory object API that runs on the event loop that starts it.

    Args:
        port: Port on 127.0.0.1; 0 selects a free port.
        host_lag_s: Delay until a change of the host list becomes visible, in
            seconds.
        clock_: Source of time for delays.

    Attributes:
        host_lag_s: See `Args`; may be changed at any time.
        store: Objects, faults and counters.
        url: Base URL; empty before `start`.
    """

    def __init__(
        self,
        port: int = 0,
        *,
        host_lag_s: float = 0.0,
        clock_: clock.Clock | None = None,
    ) -> None:
        self._clock = clock_ or clock.SystemClock()
        self._port = port
        self._server: _Server | None = None
        self._task: asyncio.Task[None] | None = None
        self._pending_changes: set[asyncio.Task[None]] = set()
        self.host_lag_s = host_lag_s
        self.store = memory.MemoryStore(clock_=self._clock)
        self.url = ''

    async def start(self) -> None:
        """Starts listening."""
        # asyncio sets TCP_NODELAY only on sockets created with an explicit
        # protocol. Without it, a response sent in two segments is delayed by
        # 40 ms until the delayed ACK arrives.
        sock = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(('127.0.0.1', self._port))
        sock.listen(_LISTEN_BACKLOG)
        # A restart reuses the port so that clients can reconnect.
        self._port = sock.getsockname()[1]
        self.url = f'http://127.0.0.1:{self._port}'
        cfg = uvicorn.Config(
            self._app(),
            http=_Protocol,
            lifespan='off',
            log_level='warning',
            access_log=False,
            timeout_graceful_shutdown=_STOP_TIMEOUT_S,
        )
        self._server = _Server(cfg)
        self._task = asyncio.create_task(self._server.serve(sockets=[sock]))
        await self._server.ready.wait()

    async def stop(self) -> None:
        """Stops listening and aborts open connections; objects are kept."""
        for task in self._pending_changes:
            task.cancel()
        await asyncio.gather(*self._pending_changes, return_exceptions=True)
        if self._server is None or self._task is None:
            return
        self._server.should_exit = True
        for conn in list(self._server.server_state.connections):
            if conn.transport is not None:
                conn.transport.abort()
        # Makes pending watches fail immediately instead of timing out.
        down = self.store.faults.down
        self.store.set_faults(down=True)
        await self._task
        self.store.set_faults(down=down)
        self._server = None
        self._task = None

    async def __aenter__(self) -> 'ObjectApi':
        await self.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.stop()

    def set_faults(self, **values: float) -> None:
        """Sets individual faults; see `memory.Faults`."""
        self.store.set_faults(**values)

    @property
    def counters(self) -> memory.Counters:
        """Number of calls by kind since the start or the last reset."""
        return self.store.counters

    def publish_host(self, listed: stores.ListedHost) -> None:
        """Adds a host to the host list after the lag."""
        value = msgspec.json.encode(listed)
        self._apply_after_lag(
            lambda: self.store.seed(HOST_PREFIX + listed.host, value)
        )

    def withdraw_host(self, host: str) -> None:
        """Removes a host from the host list after the lag."""
        self._apply_after_lag(lambda: self.store.remove(HOST_PREFIX + host))

    def _apply_after_lag(self, apply: abc.Callable[[], object]) -> None:
        if self.host_lag_s <= 0:
            apply()
            return

        async def apply_later(delay_s: float) -> None:
            await self._clock.sleep(delay_s)
            apply()

        task = asyncio.create_task(apply_later(self.host_lag_s))
        self._pending_changes.add(task)
        task.add_done_callback(self._pending_changes.discard)

    def _app(self) -> applications.Starlette:
        return applications.Starlette(
            routes=[
                routing.Route('/objects', self._list, methods=['GET']),
                routing.Route('/objects/{name:path}', self._get),
                routing.Route(
                    '/objects/{name:path}', self._put, methods=['POST']
                ),
                routing.Route('/watch', self._watch),
                routing.Route('/hosts/{host}', self._publish, methods=['POST']),
                routing.Route(
                    '/hosts/{host}', self._withdraw, methods=['DELETE']
                ),
                routing.Route('/faults', self._faults, methods=['GET', 'POST']),
                routing.Route('/counters', self._counters),
                routing.Route(
                    '/counters/reset', self._reset_counters, methods=['POST']
                ),
            ],
            exception_handlers={
                errors.StoreUnavailable: _abort,
                msgspec.MsgspecError: _bad_request,
                ValueError: _bad_request,
            },
        )

    async def _get(self, req: requests.Request) -> responses.Response:
        stored = await self.store.get(req.path_params['name'])
        if stored is None:
            return responses.Response(status_code=404)
        return responses.Response(
            stored.value, headers={http.VERSION_HEADER: str(stored.version)}
        )

    async def _list(self, req: requests.Request) -> responses.Response:
        return _json(await self.store.list(req.query_params.get('prefix', '')))

    async def _put(self, req: requests.Request) -> responses.Response:
        name = req.path_params['name']
        if name.startswith(HOST_PREFIX):
            return responses.Response('the platform writes it', 403)
        expected = int(req.headers.get(http.EXPECTED_HEADER, ''))
        value = await req.body()
        try:
            stored = await self.store.put(
                name, value, expected_version=expected
            )
        except errors.VersionConflict as exc:
            status, version = 412, exc.current_version
        except errors.StoreUnavailable:
            raise
        except errors.StoreError as exc:
            return responses.Response(str(exc), 413)
        else:
            status, version = 200, stored.version
        return responses.Response(
            status_code=status, headers={http.VERSION_HEADER: str(version)}
        )

    async def _watch(self, req: requests.Request) -> responses.Response:
        timeout_s = int(req.query_params.get('timeout_ms', '0')) / 1000
        result = await self.store.watch(
            req.query_params.get('prefix', ''),
            after_revision=int(req.query_params.get('after', '0')),
            timeout_s=min(timeout_s, _MAX_WATCH_TIMEOUT_S),
        )
        return _json(result)

    async def _publish(self, req: requests.Request) -> responses.Response:
        listed = msgspec.json.decode(await req.body(), type=stores.ListedHost)
        if listed.host != req.path_params['host']:
            raise ValueError('the host differs from the path')
        self.publish_host(listed)
        return responses.Response(status_code=202)

    async def _withdraw(self, req: requests.Request) -> responses.Response:
        self.withdraw_host(req.path_params['host'])
        return responses.Response(status_code=202)

    async def _faults(self, req: requests.Request) -> responses.Response:
        if req.method == 'POST':
            values = msgspec.json.decode(await req.body(), type=dict)
            self.set_faults(**values)
        return _json(self.store.faults)

    async def _counters(self, req: requests.Request) -> responses.Response:
        return _json(self.counters)

    async def _reset_counters(
        self, req: requests.Request
    ) -> responses.Response:
        self.store.counters = memory.Counters()
        return _json(self.counters)


class _Protocol(httptools_impl.HttpToolsProtocol):
    """Passes the transport to the application so that it can abort it."""

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.scope['object_api.transport'] = self.transport


class _Server(uvicorn.Server):
    """A server that installs no signal handlers in the embedding process."""

    def __init__(self, cfg: uvicorn.Config) -> None:
        super().__init__(cfg)
        self.ready = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets=sockets)
        self.ready.set()

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Generator[None, None, None]:
        yield


async def _abort(req: requests.Request, exc: Exception) -> responses.Response:
    """Aborts the connection without sending any part of a response."""
    req.scope['object_api.transport'].abort()
    return responses.Response(status_code=503)


async def _bad_request(
    req: requests.Request, exc: Exception
) -> responses.Response:
    return responses.Response(str(exc), 400)


def _json(value: object) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(value), media_type='application/json'
    )


async def _run(port: int, host_lag_s: float) -> None:
    api = ObjectApi(port, host_lag_s=host_lag_s)
    async with api:
        print(api.url, flush=True)
        await asyncio.Event().wait()


def main() -> None:
    """Runs the stand-in until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--port', type=int, default=8500)
    parser.add_argument(
        '--host-lag-s',
        type=float,
        default=0.0,
        help='seconds until a change of the host list is visible',
    )
    args = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_run(args.port, args.host_lag_s))


if __name__ == '__main__':
    main()
