"""Keeps what a host knows in step with the store.

A follower reads a prefix whole, then waits for changes from the revision that
it has. Lost history leads to another whole reading; an outage leaves what is
known in force.
"""

import abc
import asyncio
from collections import abc as cabc
import random

import msgspec

from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import replica as replica_

# A waiting watch counts as a call. It may wait on although it missed a change,
# when the store drops its history, so it is sent anew after this long.
WATCH_S = 4.0
# Changes that come close together arrive with one call.
PAUSE_S = 0.3
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.4
# How long entries that vanish after an outage are kept: their owners write
# them again within two seconds of the store's return.
LAPSE_S = 2.2
# Shorter failures of calls are cut connections, in which nothing runs out.
MIN_OUTAGE_S = 1.0
# A host that hears of a change from another host waits this long for its own
# watch to bring it.
HINT_WAIT_S = 0.3
# A source that failed is not used again for this long.
FAILED_S = 2.0


class Feed(abc.ABC):
    """Takes over the objects below a prefix.

    Attributes:
        prefix: Prefix of the names in the store.
        lapses: Whether entries run out while their writers can't reach the
            store, and come back after that.
    """

    prefix = ''
    lapses = False

    @abc.abstractmethod
    def replace(
        self, objects: list[stores.StoredObject], revision: int
    ) -> None:
        """Takes over all objects, as they were at a revision."""

    @abc.abstractmethod
    def put(self, obj: stores.StoredObject, revision: int) -> None:
        """Takes over an object that was written."""

    @abc.abstractmethod
    def remove(self, name: str, revision: int) -> None:
        """Takes over that an object was removed."""


class StoreHealth:
    """Whether the store answers this host.

    Attributes:
        down: Whether the last call failed.
        returned_s: Loop time of the last return after an outage.
    """

    __slots__ = ('_log', '_loop', '_lost_s', '_outage_s', 'down', 'returned_s')

    def __init__(self, log: eventlog.EventLog) -> None:
        self._log = log
        self._loop = asyncio.get_running_loop()
        self.down = False
        self.returned_s = float('-inf')
        self._lost_s = 0.0
        self._outage_s = 0.0

    def lapse_left_s(self) -> float:
        """Returns how long entries may be missing that will come back."""
        if self._outage_s < MIN_OUTAGE_S:
            return 0.0
        return max(0.0, self.returned_s + LAPSE_S - self._loop.time())

    def failed(self, exc: errors.StoreError) -> None:
        """Notes a failed call."""
        if not self.down:
            self._log.event('store-lost', error=str(exc))
            self._lost_s = self._loop.time()
        self.down = True

    def answered(self) -> None:
        """Notes an answer."""
        if self.down:
            self.returned_s = self._loop.time()
            self._outage_s = self.returned_s - self._lost_s
            self._log.event('store-regained', outage_s=round(self._outage_s, 2))
        self.down = False


class Source(msgspec.Struct, frozen=True):
    """A place to read the store's contents from.

    Attributes:
        name: Name of the host whose copy is read; empty for the store.
        store: The store, or the host's copy.
    """

    name: str
    store: stores.Store


class Follower:
    """Follows one prefix.

    Args:
        sources: Returns the places to read from, the best one first.
        feed: Takes over what is read.
        health: Whether the store answers.
        log: Takes log lines.
        rng: Source of randomness, for jitter.

    Attributes:
        prefix: Prefix that is followed.
        replica: Copy of the objects.
    """

    def __init__(
        self,
        sources: cabc.Callable[[], list[Source]],
        feed: Feed,
        health: StoreHealth,
        log: eventlog.EventLog,
        rng: random.Random,
    ) -> None:
        self._sources = sources
        self._feed = feed
        self._health = health
        self._log = log
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._wake = asyncio.Event()
        self._whole = True
        self._failed_s: dict[str, float] = {}
        self._source = ''
        self._hinted: Source | None = None
        self.prefix = feed.prefix
        self.replica = replica_.Replica()

    def hint(self, changed: int, source: Source) -> None:
        """Takes over that a source knows of a change.

        Args:
            changed: Revision of the change.
            source: The source, read next if this host stays behind.
        """
        if changed > self.replica.revision:
            self._loop.call_later(
                HINT_WAIT_S, self._check_hint, changed, source
            )

    async def run(self) -> None:
        """Follows until it is cancelled."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            source = self._choose()
            try:
                if self._whole:
                    await self._read_all(source)
                else:
                    await self._read_changes(source)
                backoff_s = FIRST_BACKOFF_S
            except errors.HistoryGone:
                self._log.event(
                    'history-gone',
                    prefix=self.prefix,
                    revision=self.replica.revision,
                    source=source.name,
                )
                # The same source is read whole.
                self._whole = True
                self._hinted = source
            except errors.StoreError as exc:
                self._failed(source, exc)
                if not source.name:
                    jitter = 0.5 + self._rng.random()
                    await asyncio.sleep(backoff_s * jitter)
                    backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    def _choose(self) -> Source:
        """Returns the source to read next."""
        hinted, self._hinted = self._hinted, None
        source = hinted or self._best()
        if source.name != self._source:
            self._log.event(
                'source', prefix=self.prefix, source=source.name or 'store'
            )
            self._source = source.name
        return source

    def _best(self) -> Source:
        """Returns the best source that has not failed just now."""
        now_s = self._loop.time()
        sources = self._sources()
        for source in sources:
            if now_s - self._failed_s.get(source.name, -1e9) > FAILED_S:
                return source
        return next(one for one in sources if not one.name)

    def _failed(self, source: Source, exc: errors.StoreError) -> None:
        self._failed_s[source.name] = self._loop.time()
        if source.name:
            self._log.event(
                'source-failed',
                prefix=self.prefix,
                source=source.name,
                error=str(exc),
            )
        else:
            self._health.failed(exc)

    def _check_hint(self, changed: int, source: Source) -> None:
        if changed > self.replica.revision and not self._wake.is_set():
            self._log.event(
                'behind',
                prefix=self.prefix,
                revision=self.replica.revision,
                changed=changed,
                known_by=source.name or 'store',
            )
            self._hinted = source
            # The source that is in use does not know of the change.
            self._failed_s[self._source] = self._loop.time()
            self._whole = self._whole or not self._source
            self._wake.set()

    async def _read_all(self, source: Source) -> None:
        self._wake.clear()
        # The watch that follows brings what a stale answer lacks.
        answer = await source.store.watch(
            self.prefix,
            after_revision=0,
            timeout_s=0,
            may_be_stale=not self.replica.revision,
        )
        self._heard(source)
        self._whole = False
        answer = self._keep_lapsed(source, answer, whole=True)
        changes = self.replica.replace(answer.objects, answer.revision)
        if changes is not None:
            self._feed.replace(list(answer.objects), answer.revision)

    async def _read_changes(self, source: Source) -> None:
        self._wake.clear()
        # A store that is silent would hold a long watch beyond its return.
        lost = self._health.down and not source.name
        watch = self._loop.create_task(
            source.store.watch(
                self.prefix,
                after_revision=self.replica.revision,
                timeout_s=0.0 if lost else WATCH_S,
            )
        )
        wake = self._loop.create_task(self._wake.wait())
        try:
            await asyncio.wait(
                (watch, wake), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            wake.cancel()
            watch.cancel()
        if not watch.done():
            return
        answer = watch.result()
        self._heard(source)
        answer = self._keep_lapsed(source, answer, whole=False)
        if not self.replica.apply(answer):
            return
        for obj in answer.objects:
            self._feed.put(obj, obj.version)
        for name in answer.removed:
            self._feed.remove(name, answer.revision)
        if not source.name and (answer.objects or answer.removed):
            await asyncio.sleep(PAUSE_S)

    def _keep_lapsed(
        self, source: Source, answer: stores.WatchAnswer, *, whole: bool
    ) -> stores.WatchAnswer:
        """Puts off removals right after an outage of the store.

        Entries ran out because their writers could not reach the store; what
        is still missing at the end of the delay is gone.
        """
        left_s = self._health.lapse_left_s()
        if source.name or not self._feed.lapses or left_s <= 0:
            return answer
        if whole:
            kept = self.replica.missing(answer.objects)
            changed = stores.WatchAnswer(answer.revision, answer.objects + kept)
            names = [obj.name for obj in kept]
        else:
            changed = stores.WatchAnswer(answer.revision, answer.objects)
            names = list(answer.removed)
        if names:
            self._log.event(
                'removals-put-off', names=names, for_s=round(left_s, 2)
            )
            self._loop.call_later(left_s, self._read_again)
        return changed

    def _read_again(self) -> None:
        self._whole = True
        self._wake.set()

    def _heard(self, source: Source) -> None:
        if not source.name:
            self._health.answered()
