"""Keeps what a host knows in step with the store.

A follower reads a prefix whole, then waits for changes from the revision that
it has. Lost history leads to another whole reading; an outage leaves what is
known in force.
"""

import abc
import asyncio
import random

from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.gateway import eventlog

# A waiting watch counts as a call. It may wait on although it missed a change,
# when the store drops its history, so it is sent anew after this long.
WATCH_S = 5.0
# Changes that come close together arrive with one call.
PAUSE_S = 0.3
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# How long entries that vanish after an outage are kept: their owners write
# them again within two seconds of the store's return.
LAPSE_S = 2.2
# A regained store counts as shaken for this long.
SHAKEN_S = 1.0
# A host that hears of a change from another host waits this long for its own
# watch to bring it.
HINT_WAIT_S = 0.3


class Feed(abc.ABC):
    """Takes over the objects below a prefix.

    Attributes:
        prefix: Prefix of the names in the store.
    """

    prefix = ''

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
        returned_s: Loop time of the last return after an outage.
    """

    __slots__ = ('_down', '_log', '_loop', 'returned_s')

    def __init__(self, log: eventlog.EventLog) -> None:
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._down = False
        self.returned_s = float('-inf')

    @property
    def down(self) -> bool:
        """Whether the last call failed."""
        return self._down

    @property
    def shaken(self) -> bool:
        """Whether entries may be missing that are about to come back."""
        return self._down or self._loop.time() - self.returned_s < SHAKEN_S

    def failed(self, exc: errors.StoreError) -> None:
        """Notes a failed call."""
        if not self._down:
            self._log.event('store-lost', error=str(exc))
        self._down = True

    def answered(self) -> None:
        """Notes an answer."""
        if self._down:
            self._log.event('store-regained')
            self.returned_s = self._loop.time()
        self._down = False


class Follower:
    """Follows one prefix.

    Args:
        store: The object API.
        feed: Takes over what is read.
        health: Whether the store answers.
        log: Takes log lines.
        rng: Source of randomness, for jitter.

    Attributes:
        prefix: Prefix that is followed.
        revision: Revision up to which changes are known; 0 before the first
            reading.
        changed: Revision of the last change that was taken over.
        heard_s: Loop time of the last answer.
    """

    def __init__(
        self,
        store: stores.Store,
        feed: Feed,
        health: StoreHealth,
        log: eventlog.EventLog,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._feed = feed
        self._health = health
        self._log = log
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._wake = asyncio.Event()
        self._whole = True
        self.prefix = feed.prefix
        self.revision = 0
        self.changed = 0
        self.heard_s = 0.0

    def hint(self, changed: int) -> None:
        """Takes over that another host knows of a change.

        Args:
            changed: Revision of the change.
        """
        if changed > self.revision:
            self._loop.call_later(HINT_WAIT_S, self._check_hint, changed)

    def refresh(self) -> None:
        """Reads everything again at once."""
        self._whole = True
        self._wake.set()

    async def run(self) -> None:
        """Follows until it is cancelled."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                if self._whole:
                    self._whole = False
                    self._wake.clear()
                    await self._read_all()
                else:
                    await self._read_changes()
                backoff_s = FIRST_BACKOFF_S
            except errors.HistoryGone:
                self._log.event(
                    'history-gone', prefix=self.prefix, revision=self.revision
                )
                self._whole = True
            except errors.StoreError as exc:
                self._whole = self._whole or not self.revision
                self._health.failed(exc)
                jitter = 0.5 + self._rng.random()
                await asyncio.sleep(backoff_s * jitter)
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    def _check_hint(self, changed: int) -> None:
        if changed > self.revision and not self._whole:
            self._log.event(
                'behind',
                prefix=self.prefix,
                revision=self.revision,
                changed=changed,
            )
            self.refresh()

    async def _read_all(self) -> None:
        answer = await self._store.watch(
            self.prefix, after_revision=0, timeout_s=0
        )
        self._heard()
        if answer.revision >= self.revision:
            before = self.changed
            self._feed.replace(list(answer.objects), answer.revision)
            self.revision = answer.revision
            newest = max((obj.version for obj in answer.objects), default=0)
            self.changed = max(before, newest)

    async def _read_changes(self) -> None:
        watch = self._loop.create_task(
            self._store.watch(
                self.prefix, after_revision=self.revision, timeout_s=WATCH_S
            )
        )
        wake = self._loop.create_task(self._wake.wait())
        try:
            await asyncio.wait(
                (watch, wake), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            wake.cancel()
            if not watch.done():
                watch.cancel()
        if not watch.done():
            return
        answer = watch.result()
        self._heard()
        if answer.revision < self.revision:
            return
        for obj in answer.objects:
            self._feed.put(obj, obj.version)
            self.changed = max(self.changed, obj.version)
        for name in answer.removed:
            self._feed.remove(name, answer.revision)
            self.changed = max(self.changed, answer.revision)
        self.revision = answer.revision
        if answer.objects or answer.removed:
            await asyncio.sleep(PAUSE_S)

    def _heard(self) -> None:
        self._health.answered()
        self.heard_s = self._loop.time()
