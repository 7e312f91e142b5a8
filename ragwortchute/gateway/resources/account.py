"""Account of memory and connections, and what happens at each limit."""

import asyncio
import collections

from ragwortchute.gateway import eventlog
from ragwortchute.gateway.http import answer_memory
from ragwortchute.gateway.http import body_budget
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.resources import limits as limits_
from ragwortchute.gateway.resources import upstream as upstream_
from ragwortchute.gateway.resources import victims

# Memory of a request beside its head and body: its task and its attempts.
REQUEST_BYTES = 8 << 10
# Memory of a header beside its name and value.
HEADER_BYTES = 150
# A connection is not read on while its own requests hold this much.
CONNECTION_BYTES = 256 << 10
# Longest answer that is kept as a whole until those before it are written.
KEPT_ANSWER_BYTES = (
    http_client.MAX_COLLECTED_BYTES + answer_memory.MAX_READ_BYTES
)
# Share of the memory for requests that such answers may take.
KEPT_ANSWERS_FRACTION = 0.5
# Requests of a connection that are started before the first is answered,
# by the share of the memory or of the connections that is in use.
MAX_STARTED = 64
_HIGH_PRESSURE = 0.5
_HIGH_PRESSURE_STARTED = 4
_FULL_PRESSURE = 0.75
# A body that has not grown for this long gives way to others. Time for which
# the process was held up doesn't count: nobody's body could be read then.
STALLED_S = 0.4
# Number of past delays of the process that are known for that.
_KEPT_DELAYS = 8
# Interval of the periodic update, which comes before the log is written.
UPDATE_INTERVAL_S = eventlog.FLUSH_S
# Shortest time between two responses that are ended for their connections to
# targets: a burst of health requests alone takes many connections for a moment.
STREAMS_SHED_INTERVAL_S = 0.05
LOG_INTERVAL_S = 1.0

# Names of the limits in metrics and the log.
MEMORY = 'request-memory'
BODIES = 'body-memory'
ACCEPTED = 'accepted-connections'
UPSTREAM = 'target-connections'


class Account:
    """Memory, connections and descriptors of a host.

    Args:
        limits: Limits of the host.
        log: Event log.

    Attributes:
        limits: Limits of the host.
        bodies: Memory for bodies with a reservation.
        upstream: Connections to targets and other hosts.
        connections: Connections accepted from callers and other hosts.
        held_bytes: Memory held for requests and unread responses.
        kept_answers: Requests with memory for an answer that has to wait.
        shed: Connections and requests that were refused or closed, by the name
            of the limit.
    """

    def __init__(self, limits: limits_.Limits, log: eventlog.EventLog) -> None:
        self.limits = limits
        self._log = log
        self._loop = asyncio.get_running_loop()
        self.bodies = body_budget.BodyBudget(
            limits.body_bytes, limits.short_body_bytes, self._on_body_wait
        )
        self.upstream = upstream_.Upstream(self._upstream_limit)
        self.upstream.on_shortage = self._on_upstream_shortage
        self.connections: set[victims.Holder] = set()
        self.held_bytes = 0
        self.kept_answers = 0
        self.shed: collections.Counter[str] = collections.Counter()
        self._streams_shed_s = float('-inf')
        self._logged: collections.Counter[str] = collections.Counter()
        self._logged_s = float('-inf')
        self._updated_s = float('inf')
        # Loop times and lengths of the last delays of the periodic update.
        self._delays: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_KEPT_DELAYS)
        )
        self._memory_victims = self._victims(_holds_request_memory)
        self._queue_victims = self._victims(lambda holder: holder.has_queue())
        self._body_victims = self._victims(lambda holder: holder.has_body())
        self._accepted_victims = self._victims(
            lambda holder: not holder.is_at_work()
        )
        self._stream_victims = self._victims(
            lambda holder: holder.has_streams()
        )

    def _victims(self, eligible: victims.Eligible) -> victims.Victims:
        most = self.limits.accepted_connections
        interval_s = min(
            victims.SEARCH_INTERVAL_S,
            most * victims.SEARCH_INTERVAL_S_PER_HOLDER,
        )
        return victims.Victims(eligible, self.connections, interval_s)

    def max_started(self) -> int:
        """Returns how many requests of a connection may be started.

        These are the pending ones whose handlers run or have ended.
        """
        pressure = max(
            self.held_bytes / max(1, self.limits.request_bytes),
            self.upstream.pressure,
        )
        if pressure >= _FULL_PRESSURE:
            return 1
        if pressure >= _HIGH_PRESSURE:
            return _HIGH_PRESSURE_STARTED
        share = int(self._upstream_limit() * limits_.PIPELINE_FRACTION)
        return max(1, min(MAX_STARTED, share))

    # Connections.

    def add(self, holder: victims.Holder, *, essential: bool = False) -> bool:
        """Adds an accepted connection.

        Args:
            holder: The connection.
            essential: Whether it may take a reserved descriptor.

        Returns:
            Whether it may stay open.
        """
        accepted = len(self.connections)
        excess = accepted - self.limits.accepted_connections
        shared_excess = accepted + self.upstream.used - self.limits.connections
        if shared_excess >= 0 and not self.upstream.close_longest_idle():
            excess = max(excess, shared_excess)
        if excess >= 0:
            victim = self._accepted_victims.take(self._loop.time())
            self.shed[ACCEPTED] += 1
            if victim is not None:
                victim.shed()
                self.connections.discard(victim)
            elif not essential or excess >= limits_.RESERVED_FOR_HOSTS:
                return False
        self.connections.add(holder)
        return True

    def remove(self, holder: victims.Holder) -> None:
        """Removes a connection that is closed."""
        self.connections.discard(holder)

    def _upstream_limit(self) -> int:
        accepted = min(len(self.connections), self.limits.accepted_connections)
        most = int(self.limits.connections * limits_.UPSTREAM_FRACTION)
        return min(most, self.limits.connections - accepted)

    def _on_upstream_shortage(self) -> None:
        """Ends a response that holds connections and is taken slowly."""
        now_s = self._loop.time()
        if now_s - self._streams_shed_s < STREAMS_SHED_INTERVAL_S:
            return
        victim = self._stream_victims.take(now_s)
        if victim is not None:
            self._streams_shed_s = now_s
            self.shed[UPSTREAM] += 1
            victim.shed_streams()

    # Memory.

    def hold(self, holder: victims.Holder, change_bytes: int) -> None:
        """Changes what a connection holds for requests and responses.

        If that is too much, requests that have been read in part are refused,
        then requests that wait behind others, and in the end the request that
        this connection sends.
        """
        self.held_bytes += change_bytes
        if change_bytes > 0 and self.held_bytes > self.limits.request_bytes:
            self._shed_memory(holder)

    def reserve_answer(self) -> bool:
        """Reserves memory for an answer that has to wait for others.

        Returns:
            Whether there was enough; `release_answer` returns it.
        """
        limit_bytes = self.limits.request_bytes * KEPT_ANSWERS_FRACTION
        if (self.kept_answers + 1) * KEPT_ANSWER_BYTES > limit_bytes:
            return False
        self.kept_answers += 1
        return True

    def release_answer(self) -> None:
        """Returns the memory for an answer that had to wait."""
        self.kept_answers -= 1

    def _shed_memory(self, holder: victims.Holder) -> None:
        """Refuses requests, in the end that of the given connection."""
        now_s = self._loop.time()
        while self.is_full:
            victim = self._memory_victims.take(now_s, spared=holder)
            if victim is None:
                break
            self.shed[MEMORY] += 1
            if victim.is_incomplete():
                victim.shed_request()
            else:
                victim.shed()
        while self.is_full:
            victim = self._queue_victims.take(now_s)
            if victim is None:
                break
            self.shed[MEMORY] += 1
            victim.shed_queue()
        if self.is_full and holder.is_incomplete():
            self.shed[MEMORY] += 1
            holder.shed_request()

    @property
    def is_full(self) -> bool:
        """Whether there is no memory for further requests."""
        return self.held_bytes > self.limits.request_bytes

    def update(self, max_body_bytes: int) -> None:
        """Adapts the limits and makes room for bodies.

        It is called every UPDATE_INTERVAL_S.

        Args:
            max_body_bytes: Greatest length of a body that is allowed.
        """
        self._note_delay()
        self.bodies.limit_bytes = self.limits.long_body_bytes(max_body_bytes)
        self.bodies.most_bytes = self.limits.body_bytes
        self.bodies.short_limit_bytes = self.limits.short_body_bytes
        self.upstream.prune()
        self._on_body_wait()
        self._log_shed()

    def _on_body_wait(self) -> None:
        """Refuses bodies that don't grow while others wait for memory."""
        now_s = self._loop.time()
        while self.bodies.has_waiting:
            victim = self._body_victims.take(now_s)
            if (
                victim is None
                or self._idle_s(victim.progress_s, now_s) < STALLED_S
            ):
                return
            self.shed[BODIES] += 1
            victim.shed_request()

    def _note_delay(self) -> None:
        now_s = self._loop.time()
        delay_s = self._delay_s(now_s)
        if delay_s > 0:
            self._delays.append((now_s, delay_s))
        self._updated_s = now_s

    def _delay_s(self, now_s: float) -> float:
        """Returns for how long the next periodic update is overdue."""
        return max(0.0, now_s - self._updated_s - UPDATE_INTERVAL_S)

    def _idle_s(self, progress_s: float, now_s: float) -> float:
        """Returns for how long a body could have grown and did not."""
        held_up_s = self._delay_s(now_s) + sum(
            delay_s for ended_s, delay_s in self._delays if ended_s > progress_s
        )
        return now_s - progress_s - held_up_s

    def _log_shed(self) -> None:
        """Logs what was refused or closed, at most once in an interval."""
        now_s = self._loop.time()
        if now_s - self._logged_s < LOG_INTERVAL_S or self.shed == self._logged:
            return
        self._log.event(
            'callers-limited',
            shed=dict(self.shed - self._logged),
            connections=len(self.connections),
            upstream=self.upstream.used,
            held_bytes=self.held_bytes,
            body_bytes=self.bodies.used_bytes,
        )
        self._logged = self.shed.copy()
        self._logged_s = now_s


def _holds_request_memory(holder: victims.Holder) -> bool:
    return holder.is_incomplete() or (
        holder.has_unread() and not holder.is_at_work()
    )
