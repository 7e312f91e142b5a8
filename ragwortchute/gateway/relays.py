"""Relays of requests to hosts in other regions.

Requests of routes whose home regions are elsewhere are relayed to a host
there. That host probes its targets over short paths and selects by fresher
readings; only the request and its answer cross the link between the regions.
"""

import asyncio
from collections import abc
import functools
import random

import msgspec

from ragwortchute import errors
from ragwortchute.gateway import attempts
from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import model
from ragwortchute.gateway import request_log as request_log_
from ragwortchute.gateway import stats as stats_
from ragwortchute.gateway.http import answer_memory
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.http import pools
from ragwortchute.gateway.http import streamed_answers
from ragwortchute.gateway.organisations import host_tokens
from ragwortchute.gateway.peers import membership

_NOT_FOUND = 404
_FIRST_ERROR = 400


class RelayResult(msgspec.Struct, frozen=True):
    """End of a relay.

    Attributes:
        reply: Answer of the other host. Without an answer and a reason, the
            request has not been executed and may be sent elsewhere.
        reason: Why there is no answer to pass on, empty if there is none.
    """

    reply: http_client.Reply | None = None
    reason: str = ''


class Relays:
    """Relays requests to hosts of other regions.

    Args:
        hosts: Hosts of the deployment.
        host_pools: Connections to other hosts.
        dialect: Protocol of callers and targets.
        request_log: Log of requests.
        stats: Counters.
        rng: Source of randomness.
        memory: Memory for long answers.

    Attributes:
        recheck: Returns why a request must not be sent any more, empty if it
            may.
    """

    __slots__ = (
        '_dialect',
        '_hosts',
        '_loop',
        '_memory',
        '_pools',
        '_request_log',
        '_rng',
        '_stats',
        'recheck',
    )

    def __init__(
        self,
        hosts: membership.Membership,
        host_pools: pools.HostPools,
        dialect: dialects.Dialect,
        request_log: request_log_.RequestLog,
        stats: stats_.Stats,
        rng: random.Random,
        memory: answer_memory.AnswerMemory,
    ) -> None:
        self._hosts = hosts
        self._memory = memory
        self._pools = host_pools
        self._dialect = dialect
        self._request_log = request_log
        self._stats = stats
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self.recheck: abc.Callable[[attempts.Call], str] = lambda _: ''

    def choose(
        self, homes: tuple[str, ...], now_s: float
    ) -> model.HostEntry | None:
        """Returns a random host, by weight, of one of the regions.

        Args:
            homes: Regions that may serve the request.
            now_s: Loop time in seconds.

        Returns:
            A host, or None if none is alive in these regions.
        """
        hosts = [
            host
            for host in self._hosts.available_hosts(now_s)
            if host.region in homes
        ]
        if not hosts:
            return None
        weights = [host.weight for host in hosts]
        return self._rng.choices(hosts, weights)[0]

    async def send(self, call: attempts.Call) -> RelayResult:
        """Relays a request to a host in one of its home regions."""
        now_s = self._loop.time()
        host = self.choose(call.homes, now_s)
        if host is None:
            return RelayResult()
        pool = self._pools.get(host)
        try:
            conn = await pool.acquire()
        except errors.ConnectFailed as exc:
            self._request_log.log_relay(call, host, str(exc), now_s)
            return RelayResult()
        try:
            result = await self._exchange(call, host, conn)
        except errors.TargetError as exc:
            pool.release(conn)
            self._request_log.log_relay(call, host, str(exc), now_s)
            return RelayResult(reason='relay-lost')
        reply = result.reply
        if reply is None:
            pool.release(conn)
            return result
        streamed_answers.follow_relay(
            call,
            reply,
            pool,
            conn,
            functools.partial(
                self._request_log.log_broken_answer, call, host.name
            ),
        )
        self._request_log.log_relay(call, host, str(reply.status), now_s)
        if reply.status == _NOT_FOUND and not self._dialect.is_authentic(reply):
            # The other host does not have the route.
            call.sends = 0
            call.maybe_executed = False
            reply.discard_rest()
            return RelayResult()
        if reply.status < _FIRST_ERROR and not self._dialect.is_authentic(
            reply
        ):
            reply.discard_rest()
            return RelayResult(reason='relay-spoiled')
        return result

    async def _exchange(
        self,
        call: attempts.Call,
        host: model.HostEntry,
        conn: http_client.ClientConnection,
    ) -> RelayResult:
        """Sends a request on a connection and waits for its answer.

        Raises:
            TargetError: The connection was lost or the answer is malformed.
        """
        left_s = call.deadline_s - self._loop.time()
        if left_s <= 0:
            return RelayResult(reason='deadline')
        reason = self.recheck(call)
        if reason:
            return RelayResult(reason=reason)
        if host.region not in call.homes:
            # They have changed since the host was chosen.
            return RelayResult()
        head = self._dialect.encode_head(
            call.req,
            left_s,
            None,
            host_tokens.relay_headers(host, call.organisation),
        )
        fut = conn.send(
            head,
            self._dialect.accept(call.req),
            body_parts=call.req.body_parts,
            memory=self._memory,
        )
        futs: set[asyncio.Future] = {fut}
        if call.route.idempotent:
            futs.add(call.req.disconnected)
        self._stats.relays += 1
        call.sends = 1
        call.maybe_executed = True
        await asyncio.wait(
            futs, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
        )
        if fut.done():
            return RelayResult(fut.result())
        disconnected = call.req.disconnected.done()
        return RelayResult(reason='caller-gone' if disconnected else 'deadline')
