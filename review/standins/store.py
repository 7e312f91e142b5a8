"""Stand-in of the platform's store, as PROTOCOL.md describes it.

The `spec` of an object is kept as the JSON text that its writer sent.
"""

import asyncio
import dataclasses
import json
import time
from urllib import parse

from review.standins import wire

PAGE_ITEMS = 500
HISTORY_S = 20.0
_REASONS = {
    200: 'OK',
    201: 'Created',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
}


@dataclasses.dataclass(slots=True)
class _Object:
    """An object of the store.

    Attributes:
        name: Its name.
        spec: Its `spec` as JSON.
        rev: Revision of its last change.
        create_rev: Revision at which it was created.
        status: Its `status` as JSON.
    """

    name: str
    spec: bytes
    rev: int
    create_rev: int
    status: bytes = b'null'

    def encode(self) -> bytes:
        """Returns the object as JSON."""
        metadata = json.dumps(
            {
                'name': self.name,
                'rev': self.rev,
                'create_rev': self.create_rev,
                'finalizers': [],
                'deletion': False,
            }
        ).encode()
        return b'{"metadata":%b,"spec":%b,"status":%b}' % (
            metadata,
            self.spec,
            self.status,
        )


@dataclasses.dataclass(slots=True)
class _Change:
    rev: int
    kind: str
    event: bytes
    at_s: float


class Store:
    """Objects, revisions and watches, served on a loopback address.

    Attributes:
        address: `IP:port` after `start`.
    """

    def __init__(self) -> None:
        self.address = ''
        self._rev = 1
        self._objects: dict[str, dict[str, _Object]] = {}
        self._changes: list[_Change] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(
            self._serve, ip, 0, limit=wire.MAX_LINE_BYTES
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'

    async def write(self, kind: str, name: str, spec: bytes) -> None:
        """Creates an object or replaces its `spec`."""
        objects = self._objects.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known.spec == spec:
            return
        self._rev += 1
        create_rev = known.create_rev if known else self._rev
        objects[name] = _Object(name, spec, self._rev, create_rev)
        await self._note(kind, objects[name], deleted=False)

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object if it exists."""
        obj = self._objects.get(kind, {}).pop(name, None)
        if obj is None:
            return
        self._rev += 1
        obj.rev = self._rev
        await self._note(kind, obj, deleted=True)

    async def _note(self, kind: str, obj: _Object, *, deleted: bool) -> None:
        flag = b'true' if deleted else b'false'
        event = b'{"object":%b,"deleted":%b}' % (obj.encode(), flag)
        self._changes.append(_Change(self._rev, kind, event, time.monotonic()))
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                req = await wire.read_message(reader)
                status, body = await self._answer(req)
                start = f'HTTP/1.1 {status} {_REASONS[status]}'
                headers = {'content-type': 'application/json'}
                writer.write(wire.encode(start, headers, body))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, req: wire.Message) -> tuple[int, bytes]:
        method, target = req.start[0], req.start[1]
        path, _, query_text = target.partition('?')
        query = dict(parse.parse_qsl(query_text))
        parts = [parse.unquote(part) for part in path.split('/')[2:] if part]
        kind = parts[0]
        if method == 'GET' and 'watch' in query:
            return await self._watch(kind, query)
        if method == 'GET' and len(parts) == 1:
            return 200, self._list(kind, query.get('after', ''))
        objects = self._objects.setdefault(kind, {})
        if method == 'POST':
            return await self._create(kind, json.loads(req.body))
        obj = objects.get(parts[1])
        if obj is None:
            return 404, b'{}'
        if method == 'GET':
            return 200, obj.encode()
        data = json.loads(req.body) if req.body else {}
        rev = data.get('metadata', {}).get('rev', query.get('rev', obj.rev))
        if int(rev) != obj.rev:
            return 409, obj.encode()
        if method == 'DELETE':
            await self.remove(kind, obj.name)
            return 200, obj.encode()
        await self.write(kind, obj.name, json.dumps(data['spec']).encode())
        return 200, objects[obj.name].encode()

    async def _create(
        self, kind: str, data: dict[str, dict]
    ) -> tuple[int, bytes]:
        name = data['metadata']['name']
        known = self._objects.get(kind, {}).get(name)
        if known is not None:
            return 409, known.encode()
        await self.write(kind, name, json.dumps(data['spec']).encode())
        return 201, self._objects[kind][name].encode()

    def _list(self, kind: str, after: str) -> bytes:
        objects = self._objects.get(kind, {})
        names = sorted(name for name in objects if name > after)
        items = b','.join(objects[name].encode() for name in names[:PAGE_ITEMS])
        more = b'true' if len(names) > PAGE_ITEMS else b'false'
        return b'{"items":[%b],"more":%b,"current_rev":%d}' % (
            items,
            more,
            self._rev,
        )

    def _oldest_rev(self) -> int:
        """Returns the revision after which the history is complete."""
        start_s = time.monotonic() - HISTORY_S
        old = [change.rev for change in self._changes if change.at_s < start_s]
        return max(old, default=0)

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, bytes]:
        loop = asyncio.get_running_loop()
        after = int(query['watch'])
        if after < self._oldest_rev():
            return 410, b'{}'
        end_s = loop.time() + int(query.get('wait_ms', 0)) / 1000
        while True:
            events = [
                change.event
                for change in self._changes
                if change.rev > after and change.kind == kind
            ]
            left_s = end_s - loop.time()
            if events or left_s <= 0:
                return 200, b'{"events":[%b],"current_rev":%d}' % (
                    b','.join(events),
                    self._rev,
                )
            try:
                async with asyncio.timeout(left_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue
