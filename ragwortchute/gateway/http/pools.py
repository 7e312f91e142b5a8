"""Pools of persistent connections."""

import asyncio
from collections import abc
import functools

from ragwortchute import errors
from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.resources import upstream as upstream_

# Idle connections are discarded this long before the peer would close them.
IDLE_MARGIN_S = 1.0
# Idle timeout of peers that do not announce one.
DEFAULT_IDLE_S = 8.0
MIN_IDLE_S = 0.5


class Pool:
    """Pool of connections to one address, most recently used first.

    Args:
        ip: Address.
        port: Port.
        connect_timeout_s: Longest wait in seconds for a new connection.
        upstream: Bounds the connections of all pools; None for no bound.
    """

    __slots__ = (
        '_connect_timeout_s',
        '_idle',
        '_ip',
        '_loop',
        '_port',
        '_upstream',
    )

    def __init__(
        self,
        ip: str,
        port: int,
        connect_timeout_s: float = http_client.CONNECT_TIMEOUT_S,
        upstream: upstream_.Upstream | None = None,
    ) -> None:
        self._ip = ip
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._upstream = upstream
        self._idle: list[http_client.ClientConnection] = []
        self._loop = asyncio.get_running_loop()

    @property
    def has_idle(self) -> bool:
        """Whether the pool holds an idle connection."""
        return bool(self._idle)

    async def acquire(
        self, *, essential: bool = False
    ) -> http_client.ClientConnection:
        """Returns an idle connection, or opens one if there is none.

        Args:
            essential: Whether it may take a descriptor that is reserved.

        Raises:
            ConnectFailed: No connection could be opened within the timeout.
            NoDescriptor: This host may open no further connection.
        """
        now_s = self._loop.time()
        while self._idle:
            conn = self._idle.pop()
            if self._upstream is not None:
                self._upstream.note_busy(conn)
            keep_alive_s = (conn.keep_alive_s or DEFAULT_IDLE_S) - IDLE_MARGIN_S
            idle_s = now_s - conn.idle_since_s
            if conn.usable and idle_s < max(MIN_IDLE_S, keep_alive_s):
                return conn
            conn.abort()
        return await self._connect(essential=essential)

    async def _connect(
        self, *, essential: bool
    ) -> http_client.ClientConnection:
        slot = None
        on_lost = self._on_lost
        if self._upstream is not None:
            if self._upstream.close_idle():
                await asyncio.sleep(0)
            slot = self._upstream.take(essential=essential)
            if slot is None:
                raise errors.NoDescriptor(
                    'no descriptor is left',
                    step='connect',
                    peer=f'{self._ip}:{self._port}',
                )
            on_lost = functools.partial(self._on_lost, slot=slot)
        try:
            return await http_client.connect(
                self._ip,
                self._port,
                timeout_s=self._connect_timeout_s,
                on_lost=on_lost,
            )
        except BaseException:
            if slot is not None:
                self._upstream.end(slot)
            raise

    def release(self, conn: http_client.ClientConnection) -> None:
        """Returns a connection to the pool.

        It is closed if it can't be reused or its request is still pending.
        """
        if not conn.usable:
            conn.abort()
            return
        self._idle.append(conn)
        if self._upstream is not None:
            self._upstream.note_idle(conn)

    def close(self) -> None:
        """Closes idle connections; those in use stay open."""
        idle, self._idle = self._idle, []
        for conn in idle:
            conn.abort()

    def _on_lost(
        self,
        conn: http_client.ClientConnection,
        slot: upstream_.Slot | None = None,
    ) -> None:
        if slot is not None:
            self._upstream.note_busy(conn)
            self._upstream.end(slot)
        if conn in self._idle:
            self._idle.remove(conn)


class EssentialConnections:
    """Connections of a pool that may take reserved descriptors.

    Without them, a host whose callers take all others would not learn of
    changes of the configuration.

    Args:
        pool: The pool.
    """

    __slots__ = ('_pool',)

    def __init__(self, pool: Pool) -> None:
        self._pool = pool

    async def acquire(self) -> http_client.ClientConnection:
        """Returns a connection without a pending request."""
        return await self._pool.acquire(essential=True)

    def release(self, conn: http_client.ClientConnection) -> None:
        """Returns a connection to the pool."""
        self._pool.release(conn)


class HostPools:
    """Connection pools of other hosts, by name.

    Args:
        upstream: Bounds the connections of all pools; None for no bound.
    """

    __slots__ = ('_pools', '_upstream')

    def __init__(self, upstream: upstream_.Upstream | None = None) -> None:
        self._upstream = upstream
        self._pools: dict[str, tuple[int, Pool]] = {}

    def get(self, host: model.HostEntry) -> Pool:
        """Returns the pool of a host.

        Idle connections to an earlier incarnation of the host are closed.
        """
        incarnation, pool = self._pools.get(host.name, (0, None))
        if pool is not None and incarnation == host.incarnation:
            return pool
        if pool is not None:
            pool.close()
        pool = Pool(host.ip, host.peer_port, upstream=self._upstream)
        self._pools[host.name] = (host.incarnation, pool)
        return pool

    def keep_only(self, names: abc.Collection[str]) -> None:
        """Closes and removes the pools of all hosts but the named ones."""
        for name in [name for name in self._pools if name not in names]:
            _, pool = self._pools.pop(name)
            pool.close()

    def close(self) -> None:
        """Closes the idle connections of all pools."""
        for _, pool in self._pools.values():
            pool.close()
