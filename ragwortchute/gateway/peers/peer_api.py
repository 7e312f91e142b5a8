"""HTTP API between hosts: replicas of the store and relayed requests.

A request with the host name `HOST_NAME` reads a replica. Any other request
comes from a caller and was relayed by another host.
"""

import asyncio
from collections import abc
import math
from urllib import parse
import zlib

import msgspec

from ragwortchute import decoding
from ragwortchute import errors
from ragwortchute import progress as progress_
from ragwortchute import stores
from ragwortchute.gateway import dispatcher as dispatcher_
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.http import http_exchange
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.http import pools
from ragwortchute.gateway.organisations import host_tokens
from ragwortchute.gateway.store import replica
from ragwortchute.gateway.store import value_delta

HOST_NAME = 'ragwortchute-peer'
# Milliseconds from the arrival of a request to the time at which the replica
# is known to have been the newest; negative if that was before the request.
CONFIRMED_AFTER_MS = b'x-confirmed-after-ms'
# Longest wait for a change in one request; the request is then repeated, so
# that an unresponsive host is detected.
MAX_WAIT_S = 1.0
# Longest wait for a replica whose host is reading it from the store: when many
# hosts start at the same time, the others would have to read the store, too.
FILL_TIMEOUT_S = 0.3
# Longest wait for a response, in addition to the wait for a change.
RESPONSE_TIMEOUT_S = 0.6

_OK = 200
_GONE = 410
_UNAVAILABLE = 503


# The fastest level reduces encoded routes and targets to about a tenth.
_ZLIB_LEVEL = 1


class _Changes(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes of a replica; see `stores.WatchAnswer`.

    Attributes:
        deltas: Changed objects of which the other host has an older version.
    """

    revision: int
    objects: tuple[stores.StoredObject, ...] = ()
    removed: tuple[str, ...] = ()
    deltas: tuple[value_delta.ValueDelta, ...] = ()


_CHANGES_DECODER = msgspec.msgpack.Decoder(_Changes)


class _CachedBody(msgspec.Struct, frozen=True):
    """Cached response body.

    Attributes:
        key: Requested revision, whether differences may be returned, and
            revision and last change of the replica.
        data: Response body.
    """

    key: tuple[int, bool, int, int]
    data: bytes


class PeerApi:
    """Serves requests of other hosts.

    Args:
        replicas: Replicas by prefix of the store.
        dispatcher: Serves relayed requests.
        gate: Recognises requests of other hosts; None if all are served.
    """

    def __init__(
        self,
        replicas: abc.Mapping[str, replica.Replica],
        dispatcher: dispatcher_.Dispatcher,
        gate: host_tokens.HostGate | None = None,
    ) -> None:
        self._replicas = replicas
        self._dispatcher = dispatcher
        self._gate = gate or host_tokens.HostGate('', lambda: False)
        self._cache: dict[str, _CachedBody] = {}

    async def serve(self, req: http_messages.Request) -> http_messages.Response:
        """Serves a request of another host."""
        reads_replica = req.host == HOST_NAME
        if not self._gate.admits(req, reads_replica=reads_replica):
            return http_messages.Response(404)
        if not reads_replica:
            return await self._dispatcher.serve(req, relayed=True)
        loop = asyncio.get_running_loop()
        arrived_s = loop.time()
        query = dict(parse.parse_qsl(req.target.partition('?')[2]))
        replica_ = self._replicas.get(query.get('prefix', ''))
        after_revision = query.get('after', '')
        if replica_ is None or not after_revision.isdecimal():
            return http_messages.Response(404)
        wait_ms = query.get('wait_ms', '0')
        if not wait_ms.isdecimal():
            return http_messages.Response(400)
        await replica_.wait_filled(FILL_TIMEOUT_S)
        try:
            if int(after_revision):
                wait_ms = min(MAX_WAIT_S * 1000, int(wait_ms))
                await replica_.wait(int(after_revision), wait_ms / 1000)
            body = self._encoded_changes(
                query['prefix'],
                replica_,
                int(after_revision),
                query.get('deltas') == '1',
            )
        except errors.HistoryGone:
            return http_messages.Response(_GONE)
        except errors.StoreUnavailable:
            return http_messages.Response(_UNAVAILABLE)
        confirmed_after_s = replica_.confirmed_s - arrived_s
        header = (
            CONFIRMED_AFTER_MS,
            f'{confirmed_after_s * 1000:.0f}'.encode(),
        )
        return http_messages.Response(_OK, [header], body)

    def _encoded_changes(
        self,
        prefix: str,
        replica_: replica.Replica,
        after_revision: int,
        with_deltas: bool,
    ) -> bytes:
        """Returns the encoded changes after a revision.

        They are encoded once for all hosts that send the same request.
        """
        cached = self._cache.get(prefix)
        key = (
            after_revision,
            with_deltas,
            replica_.revision,
            replica_.last_change_revision,
        )
        if cached is None or cached.key != key:
            answer = replica_.read(after_revision)
            changes = _Changes(answer.revision, answer.objects, answer.removed)
            if with_deltas:
                changes = _with_deltas(changes, replica_, after_revision)
            cached = _CachedBody(key, _encode(changes))
            self._cache[prefix] = cached
        return cached.data


class PeerStore(stores.Store):
    """Read-only client of another host's replicas of the store.

    Args:
        name: Name of the other host.
        pool: Connections to that host; `close` leaves them open.
        replicas: Replicas of this host by prefix; they are read when the other
            host returns differences.
        token: Token of the other host, empty if it has none.
    """

    def __init__(
        self,
        name: str,
        pool: pools.Pool,
        replicas: abc.Mapping[str, replica.Replica],
        token: str = '',
    ) -> None:
        self._peer = name
        self._token = token
        self._pool = pool
        self._replicas = replicas

    async def get(self, name: str) -> stores.StoredObject | None:
        """Not supported: replicas are read as a whole."""
        raise NotImplementedError('replica does not support reads by name')

    async def list(self, prefix: str) -> list[stores.StoredObject]:
        """See base class."""
        answer = await self.watch(prefix, after_revision=0, timeout_s=0)
        return list(answer.objects)

    async def put(
        self, name: str, value: bytes, *, expected_version: int
    ) -> stores.StoredObject:
        """Not supported: replicas are read-only."""
        raise NotImplementedError('replica is read-only')

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        timeout_s: float,
        may_be_stale: bool = False,
        progress: progress_.Progress | None = None,
    ) -> stores.WatchAnswer:
        """See base class; waits at most `MAX_WAIT_S`.

        Raises:
            HistoryGone: The replica no longer has the changes.
            StoreUnavailable: No valid response, or the host has no replica.
        """
        wait_s = min(timeout_s, MAX_WAIT_S)
        head = self._encode_watch(prefix, after_revision, wait_s)
        try:
            reply = await http_exchange.exchange(
                pools.EssentialConnections(self._pool),
                head,
                wait_s + RESPONSE_TIMEOUT_S,
                progress,
            )
        except errors.TargetError as exc:
            raise self._unavailable(str(exc)) from exc
        if reply.status == _GONE:
            raise errors.HistoryGone(
                'replica no longer has the changes', step='watch'
            )
        if reply.status != _OK:
            raise self._unavailable(f'status {reply.status}')
        try:
            changes = _decode(reply.body)
        except (errors.DecodeFailed, zlib.error) as exc:
            raise self._unavailable(f'malformed response: {exc}') from exc
        changed = tuple(
            self._apply_delta(prefix, delta) for delta in changes.deltas
        )
        return stores.WatchAnswer(
            changes.revision,
            changes.objects + changed,
            changes.removed,
            _parse_confirmed_after_s(reply),
        )

    async def close(self) -> None:
        """See base class."""

    def _encode_watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> bytes:
        """Encodes a request of the changes after a revision."""
        path = (
            f'/copy?prefix={parse.quote(prefix, safe="")}'
            f'&after={after_revision}&wait_ms={int(wait_s * 1000)}'
        )
        own = self._replicas.get(prefix)
        if own is not None and own.revision == after_revision:
            path += '&deltas=1'
        headers = [
            (b'host', HOST_NAME.encode()),
            *host_tokens.token_headers(self._token),
        ]
        return http_messages.encode_head(b'GET', path.encode(), '1.1', headers)

    def _apply_delta(
        self, prefix: str, delta: value_delta.ValueDelta
    ) -> stores.StoredObject:
        """Returns the new version of an object of which an old one is here.

        Raises:
            HistoryGone: Another version is here; all has to be read.
        """
        own = self._replicas.get(prefix)
        base = own.get(delta.name) if own is not None else None
        if base is None or base.version != delta.base_version:
            raise errors.HistoryGone(
                f'version {delta.base_version} of {delta.name!r} is not here',
                step='watch',
            )
        value = value_delta.apply(base.value, delta.parts)
        return stores.StoredObject(delta.name, delta.version, value)

    def _unavailable(self, message: str) -> errors.StoreUnavailable:
        return errors.StoreUnavailable(message, peer=self._peer)


def _with_deltas(
    changes: _Changes, replica_: replica.Replica, after_revision: int
) -> _Changes:
    """Replaces objects by differences to what the other host has.

    Args:
        changes: The changes.
        replica_: The replica that they are of.
        after_revision: Revision that the other host has.
    """
    objects = []
    deltas = []
    for obj in changes.objects:
        delta = _delta(obj, replica_.old_version(obj.name, after_revision))
        if delta is None:
            objects.append(obj)
        else:
            deltas.append(delta)
    return _Changes(
        changes.revision, tuple(objects), changes.removed, tuple(deltas)
    )


def _delta(
    obj: stores.StoredObject, base: stores.StoredObject | None
) -> value_delta.ValueDelta | None:
    parts = None if base is None else value_delta.diff(base.value, obj.value)
    if parts is None:
        return None
    return value_delta.ValueDelta(obj.name, obj.version, base.version, parts)


def _parse_confirmed_after_s(reply: http_client.Reply) -> float:
    """Returns the time of confirmation; minus infinity if it is not known."""
    try:
        confirmed_after_s = (
            float(reply.get(CONFIRMED_AFTER_MS) or '-inf') / 1000
        )
    except ValueError:
        return float('-inf')
    return float('-inf') if math.isnan(confirmed_after_s) else confirmed_after_s


def _encode(changes: _Changes) -> bytes:
    """Encodes and compresses objects and changes of a replica.

    Without compression, a configuration of 2,000 routes takes half a second on
    the link of a small host, and all hosts of a failure domain request it at
    the same time.
    """
    return zlib.compress(msgspec.msgpack.encode(changes), _ZLIB_LEVEL)


def _decode(data: bytes) -> _Changes:
    """Decodes what `_encode` has encoded.

    Raises:
        DecodeFailed: The content is malformed.
        zlib.error: The compressed data is malformed.
    """
    return decoding.decode_msgpack(zlib.decompress(data), _CHANGES_DECODER)
