"""Choice of the source from which a host reads the objects of the store."""

import asyncio
from collections import abc

import msgspec

from ragwortchute import stores

# How long a host is not read after a failure.
RETRY_S = 2.0
# The same for the store. Two readers of it that have given it up read each
# other meanwhile, and nobody confirms what they have.
STORE_RETRY_S = 0.5


class Source(msgspec.Struct, frozen=True):
    """The store or a replica of it on another host.

    Attributes:
        name: Name of the host with the replica; empty for the store itself.
        store: Client of the store or of the replica.
        heard_s: Loop time at which that host was last heard of.
    """

    name: str
    store: stores.Store
    heard_s: float = float('inf')


class SourceChoice:
    """Chooses among the sources by their order and their failures.

    Args:
        sources: Returns the sources to read from, in order of preference.
    """

    __slots__ = ('_failed_s', '_loop', '_sources')

    def __init__(self, sources: abc.Callable[[], list[Source]]) -> None:
        self._sources = sources
        self._loop = asyncio.get_running_loop()
        # Loop time of the last failure of each source.
        self._failed_s: dict[str, float] = {}

    def note_failure(self, name: str) -> None:
        """Notes that a source has failed now or lacks a change."""
        self._failed_s[name] = self._loop.time()

    def first_usable(self) -> Source:
        """Returns the first source without a recent failure, else the store."""
        sources = self._sources()
        for source in sources:
            if self._is_usable(source):
                return source
        return next(source for source in sources if not source.name)

    def next_to_check(self, outdated: abc.Collection[str]) -> Source:
        """Returns what is read if a replica is not confirmed in time.

        It is a source that comes before the store, else the store.

        Args:
            outdated: Names of the hosts with replicas that were not confirmed.
        """
        for source in self._sources():
            if not source.name or (
                source.name not in outdated and self._is_usable(source)
            ):
                return source
        raise AssertionError('the store is always a source')

    def _is_usable(self, source: Source) -> bool:
        """Returns whether a source has not failed, or may be back.

        A host that has failed is not read before it is heard of again: it may
        have lost power, and each attempt takes the time of a timeout.
        """
        failed_s = self._failed_s.get(source.name, float('-inf'))
        retry_s = RETRY_S if source.name else STORE_RETRY_S
        return (
            self._loop.time() - failed_s > retry_s
            and source.heard_s >= failed_s
        )
