"""Copy of the objects below a prefix, with their latest changes.

A host serves its copy to hosts that do not read the store themselves.
"""

import asyncio
import collections

from ragwortchute import errors
from ragwortchute import stores

MAX_HISTORY = 2000  # changes; a host that missed more reads everything


class Replica:
    """Objects below one prefix.

    Attributes:
        revision: Revision up to which changes are known; 0 before the first
            reading.
        changed: Revision of the last change; 0 if none is known.
    """

    __slots__ = (
        '_history',
        '_objects',
        '_since',
        '_waiters',
        'changed',
        'revision',
    )

    def __init__(self) -> None:
        self.revision = 0
        self.changed = 0
        self._objects: dict[str, stores.StoredObject] = {}
        self._history: collections.deque[tuple[int, str]] = collections.deque()
        self._since = 0
        self._waiters: set[asyncio.Future[None]] = set()

    def replace(
        self, objects: tuple[stores.StoredObject, ...], revision: int
    ) -> stores.WatchAnswer | None:
        """Takes over all objects as they were at a revision.

        Returns:
            What changed, None if the objects are older than the copy.
        """
        if revision < self.revision:
            return None
        known = {obj.name: obj for obj in objects}
        changed = tuple(
            obj for obj in objects if self._objects.get(obj.name) != obj
        )
        removed = tuple(name for name in self._objects if name not in known)
        if not self.revision:
            self._since = revision
        answer = stores.WatchAnswer(revision, changed, removed)
        self._apply(answer)
        return answer

    def apply(self, answer: stores.WatchAnswer) -> bool:
        """Takes over changes; tells whether they were new."""
        if answer.revision < self.revision:
            return False
        self._apply(answer)
        return True

    def missing(
        self, objects: tuple[stores.StoredObject, ...]
    ) -> tuple[stores.StoredObject, ...]:
        """Returns the objects of the copy that are not among others."""
        names = {obj.name for obj in objects}
        return tuple(
            obj for name, obj in self._objects.items() if name not in names
        )

    def read(self, after: int) -> stores.WatchAnswer:
        """Returns what changed after a revision, everything after 0.

        Raises:
            StoreUnavailable: Nothing was read yet.
            HistoryGone: The changes are no longer known.
        """
        if not self.revision:
            raise errors.StoreUnavailable('nothing was read yet')
        if not after:
            return stores.WatchAnswer(
                self.revision, tuple(self._objects.values())
            )
        if after < self._since:
            raise errors.HistoryGone(f'no changes since {after}', step='read')
        names = {name for changed, name in self._history if changed > after}
        objects = tuple(
            self._objects[name] for name in names if name in self._objects
        )
        removed = tuple(name for name in names if name not in self._objects)
        return stores.WatchAnswer(max(after, self.revision), objects, removed)

    async def wait(self, after: int, timeout_s: float) -> None:
        """Waits until a change after a revision is known."""
        if self.changed > after:
            return
        fut = asyncio.get_running_loop().create_future()
        self._waiters.add(fut)
        try:
            await asyncio.wait((fut,), timeout=timeout_s)
        finally:
            self._waiters.discard(fut)

    def _apply(self, answer: stores.WatchAnswer) -> None:
        self.revision = answer.revision
        for obj in answer.objects:
            self._objects[obj.name] = obj
            self._note(obj.version, obj.name)
        for name in answer.removed:
            self._objects.pop(name, None)
            self._note(answer.revision, name)
        if answer.objects or answer.removed:
            for fut in self._waiters:
                if not fut.done():
                    fut.set_result(None)

    def _note(self, revision: int, name: str) -> None:
        # Changes of one answer may come out of order.
        self._history.append((max(revision, self.changed), name))
        self.changed = max(self.changed, revision)
        if len(self._history) > MAX_HISTORY:
            self._since, _ = self._history.popleft()
