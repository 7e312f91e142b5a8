"""Stand-in of the platform's object API: an HTTP server over memory.

The protocol is that of `ragwortchute.stores.http`. Besides it:

    POST   /hosts/<host>   publishes a `ListedHost` after the lag
    DELETE /hosts/<host>   removes a host from the list after the lag
    POST   /faults         sets single faults: `slow_s`, `down`,
                           `lose_answers`, `stale_reads`
    GET    /faults         shows the faults
    GET    /counters       calls by kind
    POST   /counters/reset sets the counters to zero
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
_MAX_WATCH_S = 300.0
_STOP_S = 1.0
_BACKLOG = 512


class ObjectApi:
    """The stand-in; runs on the event loop that starts it.

    Args:
        port: Port on 127.0.0.1; 0 takes a free one.
        host_lag_s: Seconds until a change of the host list is visible.
        clock_: Source of time for waits.

    Attributes:
        store: Objects, faults and counters.
        url: Base URL, known after `start`.
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
        self._delayed: set[asyncio.Task[None]] = set()
        self.host_lag_s = host_lag_s
        self.store = memory.MemoryStore(clock_=self._clock)
        self.url = ''

    async def start(self) -> None:
        """Starts to listen."""
        # asyncio sets TCP_NODELAY only with an explicit protocol; without it
        # an answer in two segments waits 40 ms for a delayed ACK.
        sock = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(('127.0.0.1', self._port))
        sock.listen(_BACKLOG)
        # A restart keeps the port, so clients find the stand-in again.
        self._port = sock.getsockname()[1]
        self.url = f'http://127.0.0.1:{self._port}'
        cfg = uvicorn.Config(
            self._app(),
            http=_Protocol,
            lifespan='off',
            log_level='warning',
            access_log=False,
            timeout_graceful_shutdown=_STOP_S,
        )
        self._server = _Server(cfg)
        self._task = asyncio.create_task(self._server.serve(sockets=[sock]))
        await self._server.ready.wait()

    async def stop(self) -> None:
        """Stops listening and breaks open connections; objects are kept."""
        for task in self._delayed:
            task.cancel()
        await asyncio.gather(*self._delayed, return_exceptions=True)
        if self._server is None or self._task is None:
            return
        self._server.should_exit = True
        for conn in list(self._server.server_state.connections):
            if conn.transport is not None:
                conn.transport.abort()
        # Pending watches end at once instead of at their timeout.
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
        """Sets single faults; see `memory.Faults`."""
        self.store.set_faults(**values)

    @property
    def counters(self) -> memory.Counters:
        """Calls by kind since the start or the last reset."""
        return self.store.counters

    def publish_host(self, listed: stores.ListedHost) -> None:
        """Puts a host on the list; visible after the lag."""
        value = msgspec.json.encode(listed)
        self._later(lambda: self.store.seed(HOST_PREFIX + listed.host, value))

    def withdraw_host(self, host: str) -> None:
        """Takes a host off the list; visible after the lag."""
        self._later(lambda: self.store.remove(HOST_PREFIX + host))

    def _later(self, change: abc.Callable[[], object]) -> None:
        if self.host_lag_s <= 0:
            change()
            return

        async def wait(lag_s: float) -> None:
            await self._clock.sleep(lag_s)
            change()

        task = asyncio.create_task(wait(self.host_lag_s))
        self._delayed.add(task)
        task.add_done_callback(self._delayed.discard)

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
        answer = await self.store.watch(
            req.query_params.get('prefix', ''),
            after_revision=int(req.query_params.get('after', '0')),
            timeout_s=min(timeout_s, _MAX_WATCH_S),
        )
        return _json(answer)

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
    """Hands the transport to the application, so that it can break it."""

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.scope['object_api.transport'] = self.transport


class _Server(uvicorn.Server):
    """A server that leaves signals to the process that embeds it."""

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
    """Breaks the connection without a byte of an answer."""
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
    """Runs the stand-in until it is interrupted."""
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
