"""What hosts ask of each other over HTTP: copies of the store, and relays.

A request with the host name of this module asks for a copy; any other one is
the request of a caller that another host passes on.
"""

from collections import abc
from urllib import parse
import zlib

import msgspec

from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.gateway import dispatcher as dispatcher_
from ragwortchute.gateway import http_client
from ragwortchute.gateway import http_server
from ragwortchute.gateway import pools
from ragwortchute.gateway import replica

HOST_NAME = 'ragwortchute-peer'
# A copy is asked for anew after this long, so that a reader that fell silent
# is noticed.
MAX_WAIT_S = 1.0
# Longest wait for an answer beyond the time that the reader may hold it.
TIMEOUT_S = 0.6

_OK = 200
_GONE = 410
_UNAVAILABLE = 503


# Fastest level: texts of routes and targets shrink to a tenth with it.
_LEVEL = 1


class _Packed(msgspec.Struct, frozen=True):
    """A packed answer, with the revisions that it depends on."""

    key: tuple[int, int, int]
    data: bytes


class PeerApi:
    """Answers other hosts.

    Args:
        replicas: Copies by prefix.
        dispatcher: Serves requests that are passed on.
    """

    def __init__(
        self,
        replicas: abc.Mapping[str, replica.Replica],
        dispatcher: dispatcher_.Dispatcher,
    ) -> None:
        self._replicas = replicas
        self._dispatcher = dispatcher
        self._packed: dict[str, _Packed] = {}

    async def serve(self, req: http_server.Request) -> http_server.Response:
        """Answers a request of another host."""
        if req.host != HOST_NAME:
            return await self._dispatcher.serve(req, relayed=True)
        query = dict(parse.parse_qsl(req.target.partition('?')[2]))
        copy = self._replicas.get(query.get('prefix', ''))
        after = query.get('after', '')
        if copy is None or not after.isdigit():
            return http_server.Response(404)
        try:
            if int(after):
                wait_ms = min(MAX_WAIT_S * 1000, int(query.get('wait_ms', 0)))
                await copy.wait(int(after), wait_ms / 1000)
            body = self._packed_copy(query['prefix'], copy, int(after))
        except errors.HistoryGone:
            return http_server.Response(_GONE)
        except errors.StoreUnavailable:
            return http_server.Response(_UNAVAILABLE)
        return http_server.Response(_OK, (), body)

    def _packed_copy(
        self, prefix: str, copy: replica.Replica, after: int
    ) -> bytes:
        """Returns what changed, packed once for all hosts that ask alike."""
        packed = self._packed.get(prefix)
        key = (after, copy.revision, copy.last_change_revision)
        if packed is None or packed.key != key:
            packed = _Packed(key, _encode_copy(copy.read(after)))
            self._packed[prefix] = packed
        return packed.data


class PeerStore(stores.Store):
    """Reads another host's copy of the store.

    Args:
        name: Name of the other host.
        pool: Connections to it; they stay open when the store is closed.
    """

    def __init__(self, name: str, pool: pools.Pool) -> None:
        self._peer = name
        self._pool = pool

    async def get(self, name: str) -> stores.StoredObject | None:
        """Is not offered; copies are read whole."""
        raise NotImplementedError('a copy of the store is read whole')

    async def list(self, prefix: str) -> list[stores.StoredObject]:
        """See base class."""
        answer = await self.watch(prefix, after_revision=0, timeout_s=0)
        return list(answer.objects)

    async def put(
        self, name: str, value: bytes, *, expected_version: int
    ) -> stores.StoredObject:
        """Is not offered; writes go to the store."""
        raise NotImplementedError('a copy of the store is read-only')

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        timeout_s: float,
        may_be_stale: bool = False,
    ) -> stores.WatchAnswer:
        """See base class; waits `MAX_WAIT_S` at most.

        Raises:
            HistoryGone: The host no longer has the changes.
            StoreUnavailable: No answer, or the host has no copy.
        """
        wait_s = min(timeout_s, MAX_WAIT_S)
        path = (
            f'/copy?prefix={parse.quote(prefix, safe="")}'
            f'&after={after_revision}&wait_ms={int(wait_s * 1000)}'
        )
        head = f'GET {path} HTTP/1.1\r\nhost: {HOST_NAME}\r\n\r\n'
        try:
            reply = await http_client.exchange(
                self._pool, head.encode(), wait_s + TIMEOUT_S
            )
        except errors.TargetError as exc:
            raise self._unavailable(str(exc)) from exc
        if reply.status == _GONE:
            raise errors.HistoryGone('copy is newer', step='watch')
        if reply.status != _OK:
            raise self._unavailable(f'status {reply.status}')
        try:
            return _decode_copy(reply.body)
        except (msgspec.DecodeError, zlib.error) as exc:
            raise self._unavailable(f'malformed answer: {exc}') from exc

    async def close(self) -> None:
        """See base class."""

    def _unavailable(self, message: str) -> errors.StoreUnavailable:
        return errors.StoreUnavailable(message, peer=self._peer)


def _encode_copy(answer: stores.WatchAnswer) -> bytes:
    """Encodes a copy.

    It is compressed: a configuration of two thousand routes takes half a second
    on the link of a small host, and all hosts of a failure domain ask for it at
    the same moment.
    """
    return zlib.compress(msgspec.msgpack.encode(answer), _LEVEL)


def _decode_copy(data: bytes) -> stores.WatchAnswer:
    """Decodes a copy.

    Raises:
        msgspec.DecodeError: It is malformed.
        zlib.error: It is malformed.
    """
    return msgspec.msgpack.decode(
        zlib.decompress(data), type=stores.WatchAnswer
    )
