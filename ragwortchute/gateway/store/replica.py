"""Replica of the objects below a prefix, with a history of recent changes.

A host serves its replicas to hosts that do not read the store themselves.
"""

import asyncio
import collections

from ragwortchute import errors
from ragwortchute import stores

MAX_HISTORY = 2000  # changes; a host that missed more reads all objects
# Of a long value, this many versions before the last are kept, so that hosts
# that have one of them need only the difference.
LONG_VALUE_BYTES = 16 << 10
OLD_VERSIONS = 3
# Smaller advances of the time of confirmation come from different delays of
# messages and wake no waiting host.
MIN_CONFIRMATION_ADVANCE_S = 0.05


class Replica:
    """Replicated objects below one prefix.

    Attributes:
        revision: Revision up to which changes are known; 0 before the first
            read.
        confirmed_s: Loop time at which the store is known to have had no
            later change.
        last_change_revision: Revision of the last change; 0 if none is known.
        filling: Whether this host is reading it from the store for the first
            time.
    """

    __slots__ = (
        '_filled',
        '_history',
        '_history_start',
        '_objects',
        '_old_versions',
        '_waiters',
        'confirmed_s',
        'filling',
        'last_change_revision',
        'revision',
    )

    def __init__(self) -> None:
        self.revision = 0
        self.last_change_revision = 0
        self.confirmed_s = float('-inf')
        self.filling = False
        self._filled = asyncio.Event()
        self._objects: dict[str, stores.StoredObject] = {}
        self._old_versions: dict[
            str, collections.deque[stores.StoredObject]
        ] = {}
        self._history: collections.deque[tuple[int, str]] = collections.deque()
        self._history_start = 0
        self._waiters: set[asyncio.Future[None]] = set()

    def replace(
        self, objects: tuple[stores.StoredObject, ...], revision: int
    ) -> stores.WatchAnswer | None:
        """Replaces all objects by those of a revision.

        Returns:
            The changes, or None if the objects are older than the replica.
        """
        if revision < self.revision:
            return None
        new_objects = {obj.name: obj for obj in objects}
        changed = tuple(
            obj for obj in objects if self._objects.get(obj.name) != obj
        )
        removed = tuple(
            name for name in self._objects if name not in new_objects
        )
        if not self.revision:
            self._history_start = revision
        answer = stores.WatchAnswer(revision, changed, removed)
        self._apply(answer)
        return answer

    def apply(self, answer: stores.WatchAnswer) -> bool:
        """Applies changes.

        Returns:
            False if the changes are older than the replica and were ignored.
        """
        if answer.revision < self.revision:
            return False
        self._apply(answer)
        return True

    def confirm(self, confirmed_s: float) -> None:
        """Notes until when the store had no later change.

        Args:
            confirmed_s: Loop time in seconds; an earlier one than is known is
                ignored.
        """
        advance_s = confirmed_s - self.confirmed_s
        self.confirmed_s = max(self.confirmed_s, confirmed_s)
        if advance_s > MIN_CONFIRMATION_ADVANCE_S:
            self._wake_waiters()

    def objects_not_in(
        self, objects: tuple[stores.StoredObject, ...]
    ) -> tuple[stores.StoredObject, ...]:
        """Returns the replicated objects whose names are not among others."""
        names = {obj.name for obj in objects}
        return tuple(
            obj for name, obj in self._objects.items() if name not in names
        )

    def get(self, name: str) -> stores.StoredObject | None:
        """Returns an object, None if there is none of that name."""
        return self._objects.get(name)

    def old_version(
        self, name: str, revision: int
    ) -> stores.StoredObject | None:
        """Returns the version of a long value at an earlier revision.

        Args:
            name: Name of the object.
            revision: The revision.

        Returns:
            The version, or None if it is not kept.
        """
        versions = [
            obj
            for obj in self._old_versions.get(name, ())
            if obj.version <= revision
        ]
        return versions[-1] if versions else None

    def read(self, after: int) -> stores.WatchAnswer:
        """Returns the changes after a revision, or all objects for revision 0.

        Raises:
            StoreUnavailable: The replica has not been filled yet.
            HistoryGone: The changes are no longer in the history.
        """
        if not self.revision:
            raise errors.StoreUnavailable('replica has not been filled yet')
        if not after:
            return stores.WatchAnswer(
                self.revision, tuple(self._objects.values())
            )
        if after < self._history_start:
            raise errors.HistoryGone(
                f'history starts after revision {after}', step='read'
            )
        names = {name for revision, name in self._history if revision > after}
        objects = tuple(
            self._objects[name] for name in names if name in self._objects
        )
        removed = tuple(name for name in names if name not in self._objects)
        return stores.WatchAnswer(max(after, self.revision), objects, removed)

    async def wait_filled(self, timeout_s: float) -> None:
        """Waits for the end of the first read, at most `timeout_s` seconds."""
        if not self.filling:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._filled.wait()
        except TimeoutError:
            return

    async def wait(self, after: int, timeout_s: float) -> None:
        """Waits for a change after a revision or a later confirmation.

        Args:
            after: Revision that the waiting host knows.
            timeout_s: Longest wait in seconds.
        """
        if self.last_change_revision > after:
            return
        fut = asyncio.get_running_loop().create_future()
        self._waiters.add(fut)
        try:
            await asyncio.wait((fut,), timeout=timeout_s)
        finally:
            self._waiters.discard(fut)

    def _apply(self, answer: stores.WatchAnswer) -> None:
        self.revision = answer.revision
        self._filled.set()
        for obj in answer.objects:
            self._keep_old_version(obj.name)
            self._objects[obj.name] = obj
            self._record_change(obj.version, obj.name)
        for name in answer.removed:
            self._objects.pop(name, None)
            self._old_versions.pop(name, None)
            self._record_change(answer.revision, name)
        if answer.objects or answer.removed:
            self._wake_waiters()

    def _keep_old_version(self, name: str) -> None:
        old = self._objects.get(name)
        if old is None or len(old.value) < LONG_VALUE_BYTES:
            return
        versions = self._old_versions.setdefault(
            name, collections.deque(maxlen=OLD_VERSIONS)
        )
        versions.append(old)

    def _wake_waiters(self) -> None:
        for fut in self._waiters:
            if not fut.done():
                fut.set_result(None)

    def _record_change(self, revision: int, name: str) -> None:
        # The changes of one watch response may be out of order.
        self._history.append((max(revision, self.last_change_revision), name))
        self.last_change_revision = max(self.last_change_revision, revision)
        if len(self._history) > MAX_HISTORY:
            self._history_start, _ = self._history.popleft()
