"""A store in memory, with the faults that the object API shows."""

import asyncio

import msgspec

from ragwortchute import clock
from ragwortchute import errors
from ragwortchute import stores

MAX_VALUE_BYTES = 1_000_000  # limit of the platform's object API


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that can be switched while the store runs.

    Attributes:
        slow_s: Seconds that each call waits before it is served.
        down: True if no call is answered; nothing is applied.
        lose_answers: Number of next writes that are applied and whose
            answers are lost; -1 means all.
        stale_reads: True if reads and watches show the state at the time
            this was switched on; writes see the current one.
    """

    slow_s: float = 0.0
    down: bool = False
    lose_answers: int = 0
    stale_reads: bool = False


class Counters(msgspec.Struct):
    """Number of calls by kind; a pending watch counts as one.

    Attributes:
        get: Reads of one object.
        list: Reads of a prefix.
        put: Writes, refused ones included.
        watch: Watches.
    """

    get: int = 0
    list: int = 0
    put: int = 0
    watch: int = 0


class _Entry(msgspec.Struct, frozen=True):
    """State of a name; `stored` is None after a removal."""

    revision: int
    stored: stores.StoredObject | None


@stores.REGISTRY.register('memory')
class MemoryStore(stores.Store):
    """Objects in memory; one instance is shared by those that use it.

    Versions are taken from one counter, the revision, so a name that was
    removed and created again never gets an old version.

    Args:
        url: Not used; part of the common form of registered stores.
        clock_: Source of time for waits.

    Attributes:
        counters: Calls by kind.
    """

    def __init__(
        self, url: str = '', *, clock_: clock.Clock | None = None
    ) -> None:
        del url
        self._clock = clock_ or clock.SystemClock()
        self._entries: dict[str, _Entry] = {}
        self._frozen: dict[str, _Entry] | None = None
        self._frozen_revision = 0
        # A watch from revision 0 asks for everything, so no answer may have 0.
        self._revision = 1
        self._changed = asyncio.Event()
        self._faults = Faults()
        self.counters = Counters()

    @property
    def faults(self) -> Faults:
        """The faults in effect; change them with `set_faults`."""
        return self._faults

    def set_faults(self, **values: float) -> None:
        """Sets single faults and leaves the others as they are.

        Raises:
            ValueError: A name or a value is not allowed.
        """
        merged = {**msgspec.structs.asdict(self._faults), **values}
        try:
            faults = msgspec.convert(merged, Faults)
        except msgspec.ValidationError as exc:
            raise ValueError(str(exc)) from exc
        if faults.stale_reads and self._frozen is None:
            self._frozen = dict(self._entries)
            self._frozen_revision = self._revision
        elif not faults.stale_reads:
            self._frozen = None
        self._faults = faults
        self._wake()

    async def get(self, name: str) -> stores.StoredObject | None:
        """See base class."""
        self.counters.get += 1
        await self._serve()
        entry = self._visible().get(name)
        return entry.stored if entry else None

    async def list(self, prefix: str) -> list[stores.StoredObject]:
        """See base class."""
        self.counters.list += 1
        await self._serve()
        visible = self._visible()
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
        await self._serve()
        entry = self._entries.get(name)
        current = entry.stored if entry else None
        version = current.version if current else 0
        if version != expected_version:
            raise errors.VersionConflict(
                f'{name!r} has version {version}, not {expected_version}',
                current_version=version,
            )
        stored = self._apply(name, value)
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
    ) -> stores.WatchAnswer:
        """See base class."""
        self.counters.watch += 1
        await self._serve()
        end_s = self._clock.monotonic() + timeout_s
        while True:
            changed = self._changed
            answer = self._answer(prefix, after_revision)
            left_s = end_s - self._clock.monotonic()
            found = answer.objects or answer.removed
            if found or left_s <= 0 or after_revision <= 0:
                return answer
            await self._wait(changed, left_s)
            self._check_up()

    async def close(self) -> None:
        """See base class."""

    def seed(self, name: str, value: bytes) -> stores.StoredObject:
        """Sets an object without conditions, faults and counters."""
        return self._apply(name, value)

    def remove(self, name: str) -> None:
        """Removes an object without conditions, faults and counters."""
        if name in self._entries:
            self._set(name, None)

    def peek(self, name: str) -> stores.StoredObject | None:
        """Returns the current object without faults and counters."""
        entry = self._entries.get(name)
        return entry.stored if entry else None

    def _apply(self, name: str, value: bytes) -> stores.StoredObject:
        stored = stores.StoredObject(name, self._revision + 1, bytes(value))
        self._set(name, stored)
        return stored

    def _set(self, name: str, stored: stores.StoredObject | None) -> None:
        self._revision += 1
        self._entries[name] = _Entry(self._revision, stored)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _visible(self) -> dict[str, _Entry]:
        return self._entries if self._frozen is None else self._frozen

    def _answer(self, prefix: str, after: int) -> stores.WatchAnswer:
        revision = self._revision
        if self._frozen is not None:
            revision = self._frozen_revision
        # A revision from the future belongs to an earlier life of the
        # store; the watcher has to learn everything again.
        start = 0 if after > revision and self._frozen is None else after
        changed = [
            (entry.revision, name, entry.stored)
            for name, entry in self._visible().items()
            if name.startswith(prefix) and entry.revision > start
        ]
        changed.sort(key=lambda item: item[0])
        return stores.WatchAnswer(
            revision=max(revision, start),
            objects=tuple(obj for _, _, obj in changed if obj is not None),
            removed=tuple(name for _, name, obj in changed if obj is None),
        )

    async def _serve(self) -> None:
        """Waits as the faults say and fails if the store is down."""
        if self._faults.slow_s > 0:
            await self._clock.sleep(self._faults.slow_s)
        self._check_up()

    def _check_up(self) -> None:
        if self._faults.down:
            raise errors.StoreUnavailable('the store is down')

    async def _wait(self, changed: asyncio.Event, left_s: float) -> None:
        """Waits for a change, at most `left_s` seconds of the clock."""
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
