"""Targets, their connections and the state that this host observed."""

import asyncio
import collections
import math

from ragwortchute import errors
from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.http import pools
from ragwortchute.gateway.peers import shares
from ragwortchute.gateway.resources import upstream as upstream_
from ragwortchute.gateway.selection import pacing
from ragwortchute.gateway.selection import target_statements

CONNECT_TIMEOUT_S = 0.5
# A health request without an answer is given up after this time, and its
# connection is closed.
PROBE_TIMEOUT_S = 2.0
# Round-trip times that are assumed until one has been measured.
SAME_DOMAIN_S = 0.002
SAME_REGION_S = 0.004
OTHER_REGION_S = 0.028
_RTT_SMOOTHING = 0.2
_FAILURE_SMOOTHING = 0.25
# Time constant at which reports of other hosts lose weight.
_REPORTED_FAILURES_DECAY_S = 2.0
# After this many consecutive failures a target is ejected: it is probed last.
# The time doubles with each further failure, up to a maximum.
EJECT_AFTER_FAILURES = 3
EJECTION_S = 1.0
MAX_EJECTION_S = 4.0


class Target:
    """One incarnation of a target.

    Args:
        entry: Its entry in the store.
        dialect: Protocol of the target.
        region: Region of the target.
        same_domain: Whether it is in the failure domain of this host.
        same_region: Whether it is in the region of this host.
        upstream: Bounds the connections to all targets; None for no bound.

    Attributes:
        entry: Its entry in the store.
        service: Its service, None while the configuration doesn't contain it.
        region: Region of the target.
        same_domain: Whether it is in the failure domain of this host.
        same_region: Whether it is in the region of this host.
        reading: Latest reading, None before the first one.
        pacer: Rate limit of this host while the target is cold.
        limit_pacer: Pace of this host while the target names a limit.
        key: Hash of its name and incarnation.
        draw: Number from 0 to 1, the same at all hosts.
        misdirected: True once another incarnation answered at its address.
        cold_until_s: Loop time until which it is cold, in seconds.
        rtt_s: Smoothed round-trip time of health requests, in seconds.
        pool: Kept connections to the target.
    """

    __slots__ = (
        '_dialect',
        '_ejected_until_s',
        '_failures',
        '_own_failure_rate',
        '_reported_failure_rate',
        '_reported_s',
        '_sent_s',
        'cold_until_s',
        'draw',
        'entry',
        'key',
        'limit_pacer',
        'misdirected',
        'pacer',
        'pool',
        'reading',
        'region',
        'rtt_s',
        'same_domain',
        'same_region',
        'service',
    )

    def __init__(
        self,
        entry: model.TargetEntry,
        dialect: dialects.Dialect,
        region: str,
        *,
        same_domain: bool,
        same_region: bool,
        upstream: upstream_.Upstream | None = None,
    ) -> None:
        self.entry = entry
        self.service: model.Service | None = None
        self.region = region
        self.same_domain = same_domain
        self.same_region = same_region
        self.reading: dialects.Reading | None = None
        self._own_failure_rate = 0.0
        self._reported_failure_rate = 0.0
        self._reported_s = 0.0
        self.pacer = pacing.ColdPacer()
        self.limit_pacer = shares.TokenBucket()
        self.key = target_statements.target_key(entry)
        self.draw = self.key * 0.6180339887 % 1
        self.misdirected = False
        self.cold_until_s = 0.0
        self.rtt_s = OTHER_REGION_S
        if same_region:
            self.rtt_s = SAME_DOMAIN_S if same_domain else SAME_REGION_S
        self._dialect = dialect
        self.pool = pools.Pool(
            entry.ip, entry.port, CONNECT_TIMEOUT_S, upstream
        )
        self._sent_s: collections.deque[float] = collections.deque(maxlen=64)
        self._failures = 0
        self._ejected_until_s = 0.0

    def is_ejected(self, now_s: float) -> bool:
        """Tells whether it is ejected after consecutive failures."""
        return now_s < self._ejected_until_s

    def is_cold(self, now_s: float) -> bool:
        """Tells whether it is cold according to its own reports."""
        return now_s < self.cold_until_s

    def sent_since(self, reading: dialects.Reading) -> int:
        """Returns the number of requests sent after a reading was taken."""
        return sum(1 for sent_s in self._sent_s if sent_s >= reading.taken_s)

    def occupied(self, reading: dialects.Reading) -> int:
        """Returns the requests that run, wait or are on their way there."""
        return reading.running + reading.waiting + self.sent_since(reading)

    def note_sent(self, now_s: float) -> None:
        """Counts a request that is sent to the target."""
        self._sent_s.append(now_s)

    def note_reading(self, reading: dialects.Reading) -> None:
        """Stores a reading unless it is older than the stored one."""
        if self.reading is None or reading.taken_s >= self.reading.taken_s:
            self.reading = reading
            if reading.cold_s > 0:
                self.cold_until_s = reading.taken_s + reading.cold_s

    def note_success(self) -> None:
        """Counts a successful answer."""
        self._failures = 0
        self._own_failure_rate *= 1 - _FAILURE_SMOOTHING

    def note_failure(self, now_s: float, weight: float = 1.0) -> None:
        """Counts a failed request or health request.

        Args:
            now_s: Loop time in seconds.
            weight: Share of a full failure that it counts as, 0 to 1.
        """
        self._own_failure_rate += (
            weight - self._own_failure_rate
        ) * _FAILURE_SMOOTHING
        self._failures += 1
        if self._failures >= EJECT_AFTER_FAILURES:
            ejection_s = EJECTION_S * 2 ** min(
                4, self._failures - EJECT_AFTER_FAILURES
            )
            self._ejected_until_s = now_s + min(MAX_EJECTION_S, ejection_s)

    def note_reported_failure(self, now_s: float, weight: float) -> None:
        """Counts a failure that another host has reported.

        Args:
            now_s: Loop time in seconds.
            weight: Share of a full failure that it counts as, 0 to 1.
        """
        rate = self._reported_rate(now_s)
        self._reported_failure_rate = rate + max(
            0.0, (weight - rate) * _FAILURE_SMOOTHING
        )
        self._reported_s = now_s

    def failure_rate(self, now_s: float) -> float:
        """Returns the estimated share of failed answers, 0 to 1.

        It is the greater of what this host has seen and what the reports of
        other hosts amount to.

        Args:
            now_s: Loop time in seconds.
        """
        return max(self._own_failure_rate, self._reported_rate(now_s))

    def _reported_rate(self, now_s: float) -> float:
        age_s = now_s - self._reported_s
        return self._reported_failure_rate * math.exp(
            -age_s / _REPORTED_FAILURES_DECAY_S
        )

    async def probe(
        self,
    ) -> tuple[http_client.ClientConnection, dialects.Reading]:
        """Sends a health request.

        Returns:
            The connection, which the caller must release, and the reading.

        Raises:
            TargetError: The target can't be reached, gives no valid answer or
                is another incarnation.
        """
        loop = asyncio.get_running_loop()
        conn = await self.pool.acquire()
        taken_s = loop.time()
        path = self.service.health_path if self.service else '/'
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                reply = await conn.send(
                    self._dialect.encode_probe(path, self.entry),
                    self._dialect.accept_probe(self.entry),
                )
        except TimeoutError as exc:
            conn.abort()
            raise errors.AttemptTimeout(
                'health request timed out', step='probe', peer=self.entry.name
            ) from exc
        except BaseException:
            conn.abort()
            raise
        reading = self._dialect.decode_health(reply, self.entry, taken_s)
        if reading is None:
            conn.abort()
            self.misdirected = True
            raise errors.ConnectFailed(
                'another incarnation answered',
                step='probe',
                peer=self.entry.name,
            )
        elapsed_s = loop.time() - taken_s
        self.rtt_s += (elapsed_s - self.rtt_s) * _RTT_SMOOTHING
        self.note_reading(reading)
        return conn, reading
