"""Stand-in for the users' platform store: objects, revisions, watches.

It serves the published HTTP protocol and can simulate faults.
"""

import asyncio
import collections
import json
from urllib import parse

import msgspec

from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.http import http_server

MAX_BODY_BYTES = 1 << 20
PAGE_SIZE = 50
# Answers that are lost come after all clients have given up.
LOST_ANSWER_S = 2.0


class ObjectServer:
    """An in-memory object store behind an HTTP listener.

    Attributes:
        revision: Revision of the latest change.
        calls: Number of requests by method and object kind.
        stale_calls: Number of requests with `allow_stale=1` by object kind.
        mode: `up` (normal), `busy` (answers 503), `reset` (resets all
            connections) or `silent` (does not answer).
        suppress_events: While true, changes do not wake pending watches.
        lose_status_answers: Number of status writes that take effect and whose
            answer comes too late.
        lose_status_writes: Number of status writes that take effect late.
        port: Listening port; 0 before `start`.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.calls: collections.Counter[str] = collections.Counter()
        self.stale_calls: collections.Counter[str] = collections.Counter()
        self.mode = 'up'
        self.suppress_events = False
        self.sent_bytes = 0
        self.lose_status_answers = 0
        self.lose_status_writes = 0
        self._objects: dict[tuple[str, str], dict[str, object]] = {}
        self._history: list[tuple[int, str, str, dict[str, object], bool]] = []
        self._oldest_revision = 1
        self._changed = asyncio.Condition()
        self._listener: http_server.Listener | None = None
        self.port = 0

    async def start(self, ip: str = '127.0.0.1', port: int = 0) -> None:
        """Starts listening and sets `port`."""
        limits = model.Limits(max_body_bytes=MAX_BODY_BYTES)
        self._listener = http_server.Listener(
            self._serve, lambda: limits, NullLog(), 'store'
        )
        await self._listener.start(ip, port)
        self.port = self._listener.port

    async def stop(self) -> None:
        """Closes all connections."""
        await self._listener.stop()

    async def put(self, kind: str, name: str, spec: object) -> int:
        """Writes an object unless it is unchanged; returns the revision.

        A `spec` of type `msgspec.Raw` is returned to readers as it is.
        """
        key = (kind, name)
        old = self._objects.get(key)
        if old is not None and old['spec'] == spec:
            return self.revision
        self.revision += 1
        obj = {
            'metadata': {
                'name': name,
                'rev': self.revision,
                'create_rev': self.revision,
                'finalizers': [],
                'deletion': False,
            },
            'spec': spec,
            'status': old['status'] if old else None,
        }
        self._objects[key] = obj
        await self._record_change(kind, name, obj, False)
        return self.revision

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object if it exists."""
        obj = self._objects.pop((kind, name), None)
        if obj is not None:
            self.revision += 1
            await self._record_change(kind, name, obj, True)

    def names(self, kind: str) -> list[str]:
        """Returns the sorted names of all objects of a kind."""
        return sorted(
            name for object_kind, name in self._objects if object_kind == kind
        )

    def drop_history(self) -> None:
        """Discards the change history, so that older watches get a 410."""
        self._history.clear()
        self._oldest_revision = self.revision

    async def close_connections(self) -> None:
        """Resets all connections."""
        for conn in list(self._listener.connections):
            conn.abort()

    async def _record_change(
        self, kind: str, name: str, obj: dict[str, object], deleted: bool
    ) -> None:
        self._history.append((self.revision, kind, name, obj, deleted))
        if not self.suppress_events:
            async with self._changed:
                self._changed.notify_all()

    async def _serve(
        self, req: http_messages.Request
    ) -> http_messages.Response:
        path, _, query_string = req.target.partition('?')
        query = dict(parse.parse_qsl(query_string))
        parts = path.strip('/').split('/')
        kind = parse.unquote(parts[1])
        name = parse.unquote(parts[2]) if len(parts) > 2 else ''
        self.calls[f'{req.method} {kind}'] += 1
        self.stale_calls[kind] += query.get('allow_stale') == '1'
        if self.mode == 'busy':
            return http_messages.Response(503)
        if self.mode == 'reset':
            await self.close_connections()
            return http_messages.Response(503, close=True)
        if self.mode == 'silent':
            await asyncio.sleep(3600)
        if req.method == 'GET' and 'watch' in query:
            return await self._watch(
                kind, int(query['watch']), int(query.get('wait_ms', 0)) / 1000
            )
        if req.method == 'GET' and not name:
            return self._list(kind, query.get('after', ''))
        if req.method == 'GET':
            return self._get(kind, name)
        body = json.loads(req.body)
        if parts[3:] == ['status']:
            return await self._put_status(kind, name, body)
        if req.method == 'POST':
            name = body['metadata']['name']
            if (kind, name) in self._objects:
                return self._json_response(409, self._objects[kind, name])
        elif (kind, name) not in self._objects:
            return self._json_response(404, {})
        await self.put(kind, name, body['spec'])
        return self._json_response(200, self._objects[kind, name])

    async def _put_status(
        self, kind: str, name: str, body: dict[str, object]
    ) -> http_messages.Response:
        """Writes the status of an object if the revision is the current one."""
        if self.lose_status_writes:
            self.lose_status_writes -= 1
            await asyncio.sleep(LOST_ANSWER_S)
        old = self._objects.get((kind, name))
        if old is None:
            return self._json_response(404, {})
        if old['metadata']['rev'] != body['metadata']['rev']:
            return self._json_response(409, old)
        self.revision += 1
        obj = {
            **old,
            'metadata': {**old['metadata'], 'rev': self.revision},
            'status': body['status'],
        }
        self._objects[kind, name] = obj
        await self._record_change(kind, name, obj, False)
        if self.lose_status_answers:
            self.lose_status_answers -= 1
            await asyncio.sleep(LOST_ANSWER_S)
        return self._json_response(200, obj)

    def status(self, kind: str, name: str) -> dict[str, object]:
        """Returns the status of an object, empty if it has none."""
        obj = self._objects.get((kind, name))
        return (obj and obj['status']) or {}

    def _get(self, kind: str, name: str) -> http_messages.Response:
        obj = self._objects.get((kind, name))
        return self._json_response(404 if obj is None else 200, obj or {})

    def _list(self, kind: str, after: str) -> http_messages.Response:
        names = [name for name in self.names(kind) if name > after]
        items = [self._objects[kind, name] for name in names[:PAGE_SIZE]]
        return self._json_response(
            200,
            {
                'items': items,
                'more': len(names) > PAGE_SIZE,
                'current_rev': self.revision,
            },
        )

    async def _watch(
        self, kind: str, revision: int, wait_s: float
    ) -> http_messages.Response:
        if revision < self._oldest_revision:
            return self._json_response(410, {})
        end_s = asyncio.get_running_loop().time() + wait_s
        while True:
            events = [
                {'object': obj, 'deleted': deleted}
                for revised, object_kind, _, obj, deleted in self._history
                if object_kind == kind and revised > revision
            ]
            remaining_s = end_s - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return self._json_response(
                    200, {'events': events, 'current_rev': self.revision}
                )
            try:
                async with asyncio.timeout(remaining_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _json_response(
        self, status: int, body: object
    ) -> http_messages.Response:
        headers = [(b'content-type', b'application/json')]
        content = msgspec.json.encode(body)
        self.sent_bytes += len(content)
        return http_messages.Response(status, headers, content)


class NullLog:
    """Event log that discards events and raises on failures."""

    def event(self, kind: str, **fields: object) -> None:
        """Discards an event."""

    def failure(self, kind: str, subject: str) -> None:
        """Raises an error, since a stand-in must not fail by itself."""
        raise AssertionError(f'{kind} {subject}')

    def flush(self) -> None:
        """Does nothing; no events are buffered."""
