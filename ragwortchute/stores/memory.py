"""A store in memory that can simulate faults of the object API."""

import asyncio

import msgspec

from ragwortchute import clock
from ragwortchute import errors
from ragwortchute import progress as progress_
from ragwortchute import stores

MAX_VALUE_BYTES = 1_000_000  # limit of the platform's object API


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that can be switched on and off while the store runs.

    Attributes:
        slow_s: Delay of each call in seconds.
        down: True to fail all calls; writes are not applied.
        lose_answers: Number of subsequent writes that are applied but fail
            with a lost answer; -1 means all.
        stale_reads: True to answer reads and watches from a snapshot taken
            when this was switched on; writes use the current state.
    """

    slow_s: float = 0.0
    down: bool = False
    lose_answers: int = 0
    stale_reads: bool = False


class Counters(msgspec.Struct):
    """Number of calls by kind, counted when a call starts.

    Attributes:
        get: Reads of one object.
        list: Reads of all objects with a prefix.
        put: Writes, including failed ones.
        watch: Watches.
    """

    get: int = 0
    list: int = 0
    put: int = 0
    watch: int = 0


class _Entry(msgspec.Struct, frozen=True):
    """Last change of an object.

    Attributes:
        revision: Revision of the change.
        stored: The object, or None if it was removed.
    """

    revision: int
    stored: stores.StoredObject | None


@stores.REGISTRY.register('memory')
class MemoryStore(stores.Store):
    """Objects in memory, shared by all users of an instance.

    All versions are taken from one counter, the revision, so an object that
    is removed and created again never reuses a version.

    Args:
        url: Ignored; all registered stores take a URL.
        clock_: Clock for delays and timeouts.

    Attributes:
        counters: Number of calls by kind.
    """

    def __init__(
        self, url: str = '', *, clock_: clock.Clock | None = None
    ) -> None:
        del url
        self._clock = clock_ or clock.SystemClock()
        self._entries: dict[str, _Entry] = {}
        self._stale_entries: dict[str, _Entry] | None = None
        self._stale_revision = 0
        # Starts at 1, because a watch from revision 0 returns all objects and
        # an answer must not lead to such a watch.
        self._revision = 1
        self._changed = asyncio.Event()
        self._faults = Faults()
        self.counters = Counters()

    @property
    def faults(self) -> Faults:
        """The active faults; change them with `set_faults`."""
        return self._faults

    def set_faults(self, **values: float) -> None:
        """Changes the given faults and keeps the others.

        Args:
            **values: Values by attribute of `Faults`.

        Raises:
            ValueError: A name or a value is invalid.
        """
        merged = {**msgspec.structs.asdict(self._faults), **values}
        try:
            faults = msgspec.convert(merged, Faults)
        except msgspec.ValidationError as exc:
            raise ValueError(str(exc)) from exc
        if faults.stale_reads and self._stale_entries is None:
            self._stale_entries = dict(self._entries)
            self._stale_revision = self._revision
        elif not faults.stale_reads:
            self._stale_entries = None
        self._faults = faults
        self._wake_watchers()

    async def get(self, name: str) -> stores.StoredObject | None:
        """See base class."""
        self.counters.get += 1
        await self._apply_faults()
        entry = self._readable_entries().get(name)
        return entry.stored if entry else None

    async def list(self, prefix: str) -> list[stores.StoredObject]:
        """See base class."""
        self.counters.list += 1
        await self._apply_faults()
        visible = self._readable_entries()
        return [
            visible[name].stored
            for name in sorted(visible)
            if name.startswith(prefix) and visible[name].stored is not None
        ]

    async def put(
        self, name: str, value: bytes, *, expected_version: int
    ) -> stores.StoredObject:
        """See base class."""
        self.counters.put += 1
        if len(value) > MAX_VALUE_BYTES:
            raise errors.StoreError(
                f'value of {name!r} has {len(value)} bytes, more than '
                f'{MAX_VALUE_BYTES}',
                step='store',
            )
        await self._apply_faults()
        entry = self._entries.get(name)
        current = entry.stored if entry else None
        version = current.version if current else 0
        if version != expected_version:
            raise errors.VersionConflict(
                f'{name!r} has version {version}, not {expected_version}',
                current_version=version,
            )
        stored = self._set_value(name, value)
        if self._faults.lose_answers:
            if self._faults.lose_answers > 0:
                self._faults.lose_answers -= 1
            raise errors.StoreUnavailable('answer lost', maybe_applied=True)
        return stored

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        timeout_s: float,
        may_be_stale: bool = False,
        progress: progress_.Progress | None = None,
    ) -> stores.WatchAnswer:
        """See base class."""
        self.counters.watch += 1
        await self._apply_faults()
        end_s = self._clock.monotonic() + timeout_s
        while True:
            changed = self._changed
            answer = self._changes_since(prefix, after_revision)
            left_s = end_s - self._clock.monotonic()
            found = answer.objects or answer.removed
            if found or left_s <= 0 or after_revision <= 0:
                return answer
            await self._wait_for_change(changed, left_s)
            self._check_available()

    async def close(self) -> None:
        """See base class."""

    def seed(self, name: str, value: bytes) -> stores.StoredObject:
        """Writes an object unconditionally, without faults and counters."""
        return self._set_value(name, value)

    def remove(self, name: str) -> None:
        """Removes an object unconditionally, without faults and counters."""
        if name in self._entries:
            self._set_entry(name, None)

    def peek(self, name: str) -> stores.StoredObject | None:
        """Returns the current version, without faults and counters."""
        entry = self._entries.get(name)
        return entry.stored if entry else None

    def _set_value(self, name: str, value: bytes) -> stores.StoredObject:
        stored = stores.StoredObject(name, self._revision + 1, bytes(value))
        self._set_entry(name, stored)
        return stored

    def _set_entry(self, name: str, stored: stores.StoredObject | None) -> None:
        self._revision += 1
        self._entries[name] = _Entry(self._revision, stored)
        self._wake_watchers()

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _readable_entries(self) -> dict[str, _Entry]:
        return (
            self._entries
            if self._stale_entries is None
            else self._stale_entries
        )

    def _changes_since(self, prefix: str, after: int) -> stores.WatchAnswer:
        revision = self._revision
        if self._stale_entries is not None:
            revision = self._stale_revision
        # A revision higher than the current one comes from an earlier instance
        # of the store, so the watcher needs all objects.
        start = 0 if after > revision and self._stale_entries is None else after
        changed = [
            (entry.revision, name, entry.stored)
            for name, entry in self._readable_entries().items()
            if name.startswith(prefix) and entry.revision > start
        ]
        changed.sort(key=lambda item: item[0])
        return stores.WatchAnswer(
            revision=max(revision, start),
            objects=tuple(obj for _, _, obj in changed if obj is not None),
            removed=tuple(name for _, name, obj in changed if obj is None),
        )

    async def _apply_faults(self) -> None:
        """Delays the call and raises an error as the active faults demand."""
        if self._faults.slow_s > 0:
            await self._clock.sleep(self._faults.slow_s)
        self._check_available()

    def _check_available(self) -> None:
        if self._faults.down:
            raise errors.StoreUnavailable('the store is down')

    async def _wait_for_change(
        self, changed: asyncio.Event, left_s: float
    ) -> None:
        """Waits for a change, at most `left_s` seconds by the clock."""
        tasks = {
            asyncio.ensure_future(changed.wait()),
            asyncio.ensure_future(self._clock.sleep(left_s)),
        }
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
