"""Kept connections to one address."""

import asyncio
from collections import abc

from ragwortchute.gateway import http_client
from ragwortchute.gateway import model

# Idle connections are dropped this long before the peer would close them.
IDLE_MARGIN_S = 1.0
# Idle timeout that is assumed where a peer states none.
DEFAULT_IDLE_S = 8.0
MIN_IDLE_S = 0.5


class Pool:
    """Connections to one address; the last one that was used goes first.

    Args:
        ip: Address.
        port: Port.
        connect_timeout_s: Longest wait for a new connection.
    """

    __slots__ = ('_connect_timeout_s', '_idle', '_ip', '_loop', '_port')

    def __init__(
        self,
        ip: str,
        port: int,
        connect_timeout_s: float = http_client.CONNECT_TIMEOUT_S,
    ) -> None:
        self._ip = ip
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[http_client.ClientConnection] = []
        self._loop = asyncio.get_running_loop()

    @property
    def has_idle(self) -> bool:
        """Whether a kept connection is idle."""
        return bool(self._idle)

    async def take(self) -> http_client.ClientConnection:
        """Returns an idle connection, a new one if there is none.

        Raises:
            ConnectFailed: No connection could be opened in time.
        """
        now_s = self._loop.time()
        while self._idle:
            conn = self._idle.pop()
            keep_s = (conn.keep_s or DEFAULT_IDLE_S) - IDLE_MARGIN_S
            idle_s = now_s - conn.idle_since_s
            if conn.usable and idle_s < max(MIN_IDLE_S, keep_s):
                return conn
            conn.abort()
        return await http_client.connect(
            self._ip,
            self._port,
            timeout_s=self._connect_timeout_s,
            on_lost=self._lost,
        )

    def release(self, conn: http_client.ClientConnection) -> None:
        """Takes a connection back after an answer; others are closed."""
        if conn.usable:
            self._idle.append(conn)
        else:
            conn.abort()

    def close(self) -> None:
        """Closes idle connections; others end with their answer."""
        idle, self._idle = self._idle, []
        for conn in idle:
            conn.abort()

    def _lost(self, conn: http_client.ClientConnection) -> None:
        if conn in self._idle:
            self._idle.remove(conn)


class HostPools:
    """Kept connections to other hosts."""

    __slots__ = ('_pools',)

    def __init__(self) -> None:
        self._pools: dict[str, tuple[int, Pool]] = {}

    def get(self, host: model.HostEntry) -> Pool:
        """Returns the connections to a host.

        Those to an earlier incarnation are closed.
        """
        incarnation, pool = self._pools.get(host.name, (0, None))
        if pool is not None and incarnation == host.incarnation:
            return pool
        if pool is not None:
            pool.close()
        pool = Pool(host.ip, host.peer_port)
        self._pools[host.name] = (host.incarnation, pool)
        return pool

    def keep_only(self, names: abc.Collection[str]) -> None:
        """Closes and drops the connections to all other hosts."""
        for name in [name for name in self._pools if name not in names]:
            _, pool = self._pools.pop(name)
            pool.close()

    def close(self) -> None:
        """Closes idle connections."""
        for _, pool in self._pools.values():
            pool.close()
