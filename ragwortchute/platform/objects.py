"""HTTP client of the platform's object store.

Objects are named `KIND/NAME`; the value of an object is its `spec` as JSON.
"""

import asyncio
from collections import abc
import functools
from typing import TypeVar
from urllib import parse

import msgspec

from ragwortchute import errors
from ragwortchute import progress as progress_
from ragwortchute import stores
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.http import http_exchange
from ragwortchute.gateway.http import pools
from ragwortchute.platform import store_answers

T = TypeVar('T')

# The store usually responds within 4 ms; a slow one takes up to 85 times as
# long.
TIMEOUT_S = 1.0
# How long an answer with changes is assumed to have been under way at most.
MAX_TRANSIT_S = 0.3

# Kinds of objects whose status is read; that of others is of no use here.
_KINDS_WITH_STATUS = frozenset({'rollouts'})

_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410


@stores.REGISTRY.register('objects')
class ObjectStore(stores.Store):
    """Client of one store; connections are pooled.

    Args:
        ip: Address of the store.
        port: Port of the store.
    """

    def __init__(self, ip: str, port: int) -> None:
        self._peer = f'{ip}:{port}'
        self._pool = pools.Pool(ip, port)

    async def get(self, name: str) -> stores.StoredObject | None:
        """See base class."""
        reply = await self._send('GET', f'/objects/{parse.quote(name)}')
        if reply.status == _NOT_FOUND:
            return None
        return self._decode_stored(reply, name, write=False)

    async def list(self, prefix: str) -> list[stores.StoredObject]:
        """See base class."""
        answer = await self.watch(prefix, after_revision=0, timeout_s=0)
        return list(answer.objects)

    async def put(
        self, name: str, value: bytes, *, expected_version: int
    ) -> stores.StoredObject:
        """Writes the `spec` of an object. See base class."""
        kind, _, short_name = name.partition('/')
        metadata: dict[str, object] = {'name': short_name}
        if expected_version > 0:
            metadata['rev'] = expected_version
        body = msgspec.json.encode(
            {'metadata': metadata, 'spec': msgspec.Raw(value)}
        )
        reply = None
        if expected_version:
            path = f'/objects/{parse.quote(name)}'
            reply = await self._send('PUT', path, body)
        if expected_version == 0 or (
            reply.status == _NOT_FOUND
            and expected_version == stores.ANY_VERSION
        ):
            path = f'/objects/{parse.quote(kind)}'
            reply = await self._send('POST', path, body)
        if reply.status == _CONFLICT:
            raise errors.VersionConflict(
                f'{name!r} has a different version', current_version=0
            )
        return self._decode_stored(reply, name, write=True)

    async def put_status(
        self, name: str, status: bytes, *, expected_version: int
    ) -> stores.StoredObject:
        """See base class."""
        body = msgspec.json.encode(
            {
                'metadata': {
                    'name': name.partition('/')[2],
                    'rev': expected_version,
                },
                'status': msgspec.Raw(status),
            }
        )
        path = f'/objects/{parse.quote(name)}/status'
        reply = await self._send('PUT', path, body)
        if reply.status in (_CONFLICT, _NOT_FOUND):
            raise errors.VersionConflict(
                f'{name!r} has a different version', current_version=0
            )
        return self._decode_stored(reply, name, write=True)

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        timeout_s: float,
        may_be_stale: bool = False,
        progress: progress_.Progress | None = None,
    ) -> stores.WatchAnswer:
        """See base class; with revision 0, returns all objects.

        Raises:
            HistoryGone: The store no longer has the changes.
            StoreUnavailable: No valid response.
        """
        kind = parse.quote(prefix.rstrip('/'))
        if not after_revision:
            return await self._read_all(kind, may_be_stale, progress)
        path = (
            f'/objects/{kind}?watch={after_revision}'
            f'&wait_ms={int(timeout_s * 1000)}'
        )
        loop = asyncio.get_running_loop()
        asked_s = loop.time()
        progress = progress or progress_.Progress()
        reply = await self._send(
            'GET', path, extra_s=timeout_s, progress=progress
        )
        elapsed_s = min(progress.first_s, loop.time()) - asked_s
        if reply.status == _GONE:
            raise errors.HistoryGone(
                f'history starts after revision {after_revision}',
                step='watch',
                peer=self._peer,
            )
        self._expect_ok(reply, write=False)
        answer = self._decode(
            reply,
            functools.partial(
                store_answers.decode_changes, with_status=_has_status(kind)
            ),
        )
        objects: dict[str, stores.StoredObject] = {}
        removed: set[str] = set()
        for change in answer.changes:
            obj = change.obj
            objects.pop(obj.name, None)
            if change.deleted:
                removed.add(obj.name)
            else:
                removed.discard(obj.name)
                objects[obj.name] = obj
        return stores.WatchAnswer(
            answer.revision,
            tuple(objects.values()),
            tuple(removed),
            _confirmed_after_s(elapsed_s, timeout_s),
        )

    async def close(self) -> None:
        """See base class."""
        self._pool.close()

    async def _read_all(
        self,
        kind: str,
        may_be_stale: bool,
        progress: progress_.Progress | None,
    ) -> stores.WatchAnswer:
        objects = []
        revision = 0
        after = ''
        while True:
            query = {}
            if after:
                query['after'] = after
            if may_be_stale:
                query['allow_stale'] = '1'
            path = f'/objects/{kind}?{parse.urlencode(query)}'
            reply = await self._send('GET', path.rstrip('?'), progress=progress)
            self._expect_ok(reply, write=False)
            page = self._decode(
                reply,
                functools.partial(
                    store_answers.decode_page, with_status=_has_status(kind)
                ),
            )
            revision = revision or page.revision
            objects += page.objects
            if not page.more or not page.objects:
                return stores.WatchAnswer(revision, tuple(objects))
            after = objects[-1].name

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        extra_s: float = 0.0,
        progress: progress_.Progress | None = None,
    ) -> http_client.Reply:
        """Sends one request and returns the complete response.

        Args:
            method: HTTP method.
            path: Path with query.
            body: Body as JSON.
            extra_s: Seconds that the store may take beyond `TIMEOUT_S`.
            progress: Updated while the response arrives.

        Raises:
            StoreUnavailable: No complete response in time.
        """
        head = f'{method} {path} HTTP/1.1\r\nHost: {self._peer}\r\n'
        if body:
            head += 'Content-Type: application/json\r\n'
        if method != 'GET':
            head += f'Content-Length: {len(body)}\r\n'
        data = head.encode() + b'\r\n' + body
        write = method != 'GET'
        try:
            return await http_exchange.exchange(
                self._pool, data, TIMEOUT_S + extra_s, progress
            )
        except errors.ConnectFailed as exc:
            raise self._unavailable(str(exc), False) from exc
        except errors.TargetError as exc:
            lost = isinstance(exc, errors.ConnectionLost)
            raise self._unavailable(str(exc), write, lost) from exc

    def _expect_ok(self, reply: http_client.Reply, *, write: bool) -> None:
        if reply.status in (_OK, _CREATED):
            return
        # With 429 and 503, the store has not applied the write.
        maybe_applied = write and reply.status not in (429, 503)
        raise self._unavailable(f'status {reply.status}', maybe_applied)

    def _decode_stored(
        self, reply: http_client.Reply, name: str, *, write: bool
    ) -> stores.StoredObject:
        self._expect_ok(reply, write=write)
        obj = self._decode(
            reply,
            functools.partial(
                store_answers.decode_object,
                with_status=_has_status(name.partition('/')[0]),
            ),
        )
        return stores.StoredObject(name, obj.version, obj.value, obj.status)

    def _decode(
        self, reply: http_client.Reply, decode: abc.Callable[[bytes], T]
    ) -> T:
        try:
            return decode(reply.body)
        except errors.DecodeFailed as exc:
            raise self._unavailable(
                f'malformed response: {exc}', False
            ) from exc

    def _unavailable(
        self, message: str, maybe_applied: bool, connection_lost: bool = False
    ) -> errors.StoreUnavailable:
        return errors.StoreUnavailable(
            message,
            maybe_applied=maybe_applied,
            connection_lost=connection_lost,
            peer=self._peer,
        )


def _has_status(kind: str) -> bool:
    """Returns whether the status of objects of a kind is read."""
    return kind in _KINDS_WITH_STATUS


def _confirmed_after_s(elapsed_s: float, timeout_s: float) -> float:
    """Returns when the store knew of no later change, after the request.

    Args:
        elapsed_s: Seconds from the request to the first part of the answer.
        timeout_s: How long the store was to wait for a change, in seconds.
    """
    if elapsed_s >= timeout_s:
        return timeout_s
    return max(0.0, elapsed_s - MAX_TRANSIT_S)
