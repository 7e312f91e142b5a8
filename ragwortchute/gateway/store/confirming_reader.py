"""Confirmations of a replica by another reader of the store.

Load: two hosts of each region read the store, and each watch is billed. While
nothing changes, watches only confirm what is known. So the second of the two
hosts watches with long waits, for changes, and takes the confirmations from the
replica of the first.
"""

import asyncio
from collections import abc

from ragwortchute import errors
from ragwortchute.gateway.store import replica as replica_
from ragwortchute.gateway.store import source_choice
from ragwortchute.gateway.store import store_feed

# Wait of a watch of the store by a host whose replica another reader confirms.
LONG_WATCH_S = 4.0
# Longest wait of one read of the replica of that reader.
READ_S = 1.0
# Pause without such a reader or after its failure.
PAUSE_S = 0.5
# Longest wait for a change that the own watch returns as well. Without it, a
# large configuration would be requested again while it arrives.
CHANGE_S = 1.0

SourceCallback = abc.Callable[[], source_choice.Source | None]


def no_reader() -> None:
    """Returns no source, for hosts without a confirming reader."""


class ConfirmingReader:
    """Takes the confirmations of a replica from another reader.

    Args:
        source: Returns the replica of the reader that confirms what this host
            reads from the store, None if there is none.
        feed: Feed of the objects.
        replica: Replica of this host.
        confirm: Called with a loop time until which the store had no change
            that is missing here.
    """

    __slots__ = (
        '_confirm',
        '_confirmed_s',
        '_feed',
        '_loop',
        '_replica',
        '_source',
    )

    def __init__(
        self,
        source: SourceCallback,
        feed: store_feed.Feed,
        replica: replica_.Replica,
        confirm: abc.Callable[[float], None],
    ) -> None:
        self._source = source
        self._feed = feed
        self._replica = replica
        self._confirm = confirm
        self._loop = asyncio.get_running_loop()
        self._confirmed_s = float('-inf')

    def confirms(self) -> bool:
        """Returns whether the other reader has confirmed the replica lately."""
        age_s = self._loop.time() - self._confirmed_s
        return age_s < self._feed.watch_timeout_s + store_feed.OVERDUE_S

    async def run(self) -> None:
        """Takes confirmations until cancelled."""
        wait_s = 0.0
        while True:
            source = None
            # Watches of other feeds wait for as long in any case.
            if self._feed.watch_timeout_s < LONG_WATCH_S:
                source = self._source()
            if source is None:
                await asyncio.sleep(PAUSE_S)
                wait_s = 0.0
            else:
                wait_s = await self._read(source, wait_s)

    async def _read(self, source: source_choice.Source, wait_s: float) -> float:
        """Reads the replica of the other reader once.

        Args:
            source: The replica.
            wait_s: Longest wait for a later confirmation in seconds.

        Returns:
            Wait of the next read in seconds; 0 if a confirmation may have come
            meanwhile, which a read that waits would not return.
        """
        asked_s = self._loop.time()
        revision = self._replica.revision
        try:
            answer = await source.store.watch(
                self._feed.prefix, after_revision=revision, timeout_s=wait_s
            )
        except errors.StoreError:
            await asyncio.sleep(PAUSE_S)
            return 0.0
        if answer.objects or answer.removed:
            await self._replica.wait(revision, CHANGE_S)
            return 0.0
        confirmed_s = asked_s + answer.confirmed_after_s
        self._confirmed_s = max(self._confirmed_s, confirmed_s)
        self._confirm(confirmed_s)
        return READ_S
