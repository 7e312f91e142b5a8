"""Servers in threads, needed because each command runs its own event loop."""

import asyncio
from http import server
import json
import threading

from standins import object_api


class ThreadedObjectApi:
    """Stand-in for the object API on an event loop of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self.api = self.run(self._create())
        self.run(self.api.start())
        self.url = self.api.url

    async def _create(self):
        return object_api.ObjectApi()

    def run(self, coroutine):
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(timeout=30)

    def set_faults(self, **values) -> None:
        self._loop.call_soon_threadsafe(lambda: self.api.set_faults(**values))
        self.run(asyncio.sleep(0))

    def stop(self) -> None:
        self.run(self.api.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


class FakeHost:
    """Listener for operators with fixed answers.

    Attributes:
        answers: Status and JSON by method and path; None closes the
            connection without an answer.
        seen: Requests as (method, path with query, bearer token).
        versions: Versions of `dispatch` reported by successive statuses.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.answers: dict[str, tuple[int, object] | None] = {}
        self.seen: list[tuple[str, str, str]] = []
        self.versions = [3]
        host = self

        class Handler(server.BaseHTTPRequestHandler):
            def do_GET(self) -> None:  # noqa: N802
                host.serve(self)

            do_POST = do_GET  # noqa: N815

            def log_message(self, *args) -> None:
                pass

        self._server = server.ThreadingHTTPServer(('127.0.0.1', 0), Handler)
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.01,)
        )
        self._thread.start()
        self.url = f'http://127.0.0.1:{self._server.server_port}'

    def serve(self, req: server.BaseHTTPRequestHandler) -> None:
        token = req.headers.get('Authorization', '')
        self.seen.append((req.command, req.path, token))
        path = req.path.partition('?')[0]
        answer = self.answers.get(f'{req.command} {path}', (404, {}))
        if path == '/status' and 'GET /status' not in self.answers:
            answer = (200, self.status())
        if answer is None:
            req.close_connection = True
            return
        buf = json.dumps(answer[1]).encode()
        req.send_response(answer[0])
        req.send_header('Content-Length', str(len(buf)))
        req.end_headers()
        req.wfile.write(buf)

    def status(self) -> dict[str, object]:
        version = self.versions[0]
        if len(self.versions) > 1:
            del self.versions[0]
        return {
            'host': self.name,
            'region': 'luzon',
            'failure_domain': 'luzon-makati',
            'incarnation': 7,
            'ready': True,
            'leaving': False,
            'documents': {'dispatch': {'version': version, 'since': 1.0}},
            'domains': {
                'luzon-makati': {'state': 'in', 'damped_until': 1.0},
                'luzon-pasig': {'state': 'out', 'damped_until': 0.0},
            },
            'view': {'epoch': 4, 'leader': 'm1', 'members': ['m1', 'm2']},
        }

    def stop(self) -> None:
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()
