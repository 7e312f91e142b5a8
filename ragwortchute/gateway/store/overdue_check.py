"""Checks of the store by a host whose watch of it is overdue.

Load: the store answers watches late or not at all, and the replica of its
reader is not confirmed. All hosts that read this replica would ask the store
themselves soon, so that its reader does so before.
"""

import asyncio
from collections import abc

from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.gateway.store import replica as replica_
from ragwortchute.gateway.store import source_choice
from ragwortchute.gateway.store import store_feed


class OverdueCheck:
    """Asks the store again once its confirmation of a replica is overdue.

    The watch goes on, since a slow store may answer it first.

    Args:
        feed: Feed of the objects.
        replica: Replica of the objects.
        watched: Returns the store while a watch of it waits for a change.
        handle: Receives the store, its answer and the loop time of the request.
        request_full_read: Called if the changes are no longer in the history.
    """

    __slots__ = (
        '_feed',
        '_handle',
        '_loop',
        '_replica',
        '_request_full_read',
        '_watched',
    )

    def __init__(
        self,
        feed: store_feed.Feed,
        replica: replica_.Replica,
        watched: abc.Callable[[], source_choice.Source | None],
        handle: abc.Callable[
            [source_choice.Source, stores.WatchAnswer, float], None
        ],
        request_full_read: abc.Callable[[], None],
    ) -> None:
        self._feed = feed
        self._replica = replica
        self._watched = watched
        self._handle = handle
        self._request_full_read = request_full_read
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Checks the store once after each confirmation, until cancelled."""
        checked_s = float('-inf')
        while True:
            confirmed_s = self._replica.confirmed_s
            overdue_s = self._feed.watch_timeout_s + store_feed.OVERDUE_S
            due_in_s = confirmed_s + overdue_s - self._loop.time()
            source = self._watched()
            if due_in_s > 0:
                # The wait of watches may change at any time.
                await asyncio.sleep(min(due_in_s, store_feed.OVERDUE_S))
            elif source is None or confirmed_s <= checked_s:
                await asyncio.sleep(store_feed.OVERDUE_S)
            else:
                checked_s = confirmed_s
                await self._check(source)

    async def _check(self, source: source_choice.Source) -> None:
        asked_s = self._loop.time()
        try:
            answer = await source.store.watch(
                self._feed.prefix,
                after_revision=self._replica.revision,
                timeout_s=0,
            )
        except errors.HistoryGone:
            self._request_full_read()
        except errors.StoreError:
            return  # The watch will fail as well.
        else:
            self._handle(source, answer, asked_s)
