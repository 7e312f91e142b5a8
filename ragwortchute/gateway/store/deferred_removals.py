"""Removals that a host defers right after an outage of the store.

Entries expire during an outage because their writers can't renew them, and are
written again afterwards.
"""

import asyncio
from collections import abc

import msgspec

from ragwortchute import stores
from ragwortchute.gateway import eventlog
from ragwortchute.gateway.store import replica as replica_
from ragwortchute.gateway.store import store_feed
from ragwortchute.gateway.store import store_health


class DeferredRemovals:
    """Defers removals from a replica.

    Args:
        feed: Receives the objects and their changes.
        replica: What is known so far.
        health: Availability of the store.
        log: Event log.
        request_full_read: Called when the delay has ended.
    """

    __slots__ = (
        '_feed',
        '_health',
        '_log',
        '_loop',
        '_replica',
        '_request_full_read',
    )

    def __init__(
        self,
        feed: store_feed.Feed,
        replica: replica_.Replica,
        health: store_health.StoreHealth,
        log: eventlog.EventLog,
        request_full_read: abc.Callable[[], None],
    ) -> None:
        self._feed = feed
        self._replica = replica
        self._health = health
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._request_full_read = request_full_read

    def filter(
        self, answer: stores.WatchAnswer, *, full_read: bool
    ) -> stores.WatchAnswer:
        """Returns an answer of the store without the removals to defer.

        Entries that are still missing at the end of the delay are removed.

        Args:
            answer: Answer of the store.
            full_read: Whether the answer holds all objects, not changes.
        """
        left_s = self._health.removal_delay_left_s()
        if not self._feed.entries_expire or left_s <= 0:
            return answer
        filtered, names = _without_removals(
            answer, self._replica, full_read=full_read
        )
        if names:
            self._log.event(
                'removals-put-off', names=names, for_s=round(left_s, 2)
            )
            self._loop.call_later(left_s, self._request_full_read)
        return filtered


def _without_removals(
    answer: stores.WatchAnswer, replica: replica_.Replica, *, full_read: bool
) -> tuple[stores.WatchAnswer, list[str]]:
    """Returns an answer that removes nothing, and the names it would remove.

    Args:
        answer: Answer of the store.
        replica: What is known so far.
        full_read: Whether the answer holds all objects, not changes.
    """
    if not full_read:
        kept = msgspec.structs.replace(answer, removed=())
        return kept, list(answer.removed)
    missing = replica.objects_not_in(answer.objects)
    kept = msgspec.structs.replace(answer, objects=answer.objects + missing)
    return kept, [obj.name for obj in missing]
