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

# A waiting watch counts as a call, so it waits long.
WATCH_S = 20.0
# Changes that come close together arrive with one call.
PAUSE_S = 0.3
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# How long entries that vanish after an outage are kept: their owners write
# them again within two seconds of the store's return.
LAPSE_S = 2.2
# A regained store counts as shaken for this long.
SHAKEN_S = 1.0


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
        revision: Revision up to which changes are known; 0 before the first
            reading.
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
        self.revision = 0
        self.heard_s = 0.0

    async def run(self) -> None:
        """Follows until it is cancelled."""
        backoff_s = FIRST_BACKOFF_S
        whole = True
        while True:
            try:
                if whole:
                    await self._read_all()
                else:
                    await self._read_changes()
                    await asyncio.sleep(PAUSE_S)
                whole = False
                backoff_s = FIRST_BACKOFF_S
                self._health.answered()
                self.heard_s = self._loop.time()
            except errors.HistoryGone:
                self._log.event(
                    'history-gone',
                    prefix=self._feed.prefix,
                    revision=self.revision,
                )
                whole = True
            except errors.StoreError as exc:
                self._health.failed(exc)
                jitter = 0.5 + self._rng.random()
                await asyncio.sleep(backoff_s * jitter)
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _read_all(self) -> None:
        answer = await self._store.watch(
            self._feed.prefix, after_revision=0, timeout_s=0
        )
        if answer.revision >= self.revision:
            self._feed.replace(list(answer.objects), answer.revision)
            self.revision = answer.revision

    async def _read_changes(self) -> None:
        answer = await self._store.watch(
            self._feed.prefix, after_revision=self.revision, timeout_s=WATCH_S
        )
        if answer.revision < self.revision:
            return
        for obj in answer.objects:
            self._feed.put(obj, obj.version)
        for name in answer.removed:
            self._feed.remove(name, answer.revision)
        self.revision = answer.revision
