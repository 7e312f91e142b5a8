"""Writes documents safely and keeps their history.

A write is a conditional update. After a lost answer the object is read again;
the change id in the document tells whether the write took effect. The history
is one object for each document, a list of its last versions: a write costs one
read and one conditional update for it, and showing it costs one read. One
object for each version would need a list and a removal with every write, and
the object API has no removal.
"""

from collections import abc
import secrets

from absl import logging
import msgspec
from returns import result

from ragwortchute import documents
from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.documents import diffing
from ragwortchute.documents import encoding
from ragwortchute.documents import loading

HISTORY_PREFIX = 'history/'
MAX_HISTORY = 20
MAX_HISTORY_BYTES = 900_000  # stays below the 1 MB limit of a value
_ATTEMPTS = 3
_CHANGE_ID_BYTES = 8


class HistoryEntry(msgspec.Struct, frozen=True):
    """One version of a document.

    Attributes:
        change_id: Id of the change.
        version: Version given by the store.
        author: Who made the change.
        written_at: Wall-clock seconds; 0 if only the version was seen.
        value: Canonical encoding of the document.
    """

    change_id: str
    version: int
    author: str
    written_at: float
    value: bytes


class Written(msgspec.Struct, frozen=True):
    """A write that took effect.

    Attributes:
        version: Version of the document; the current one if unchanged.
        change_id: Id of the change.
        changes: Differences from the version before.
        history_kept: False if the history could not be written; the next
            write makes up for it.
        superseded: True if another write has already replaced it.
    """

    version: int
    change_id: str
    changes: tuple[diffing.Change, ...]
    history_kept: bool = True
    superseded: bool = False


class Conflict(msgspec.Struct, frozen=True):
    """A write that lost against another one.

    Attributes:
        current_version: Version found; 0 if there is no document.
        current: The document found, or None.
        changes: What differs from the document found to the refused one.
        maybe_applied: True if an answer was lost, so that this write may have
            been in force before the one found.
    """

    current_version: int
    current: loading.Document | None
    changes: tuple[diffing.Change, ...]
    maybe_applied: bool = False


class Current(msgspec.Struct, frozen=True):
    """The current version of a document.

    Attributes:
        version: Version given by the store; 0 if there is none.
        document: The document, or None.
        value: Its bytes.
    """

    version: int
    document: loading.Document | None
    value: bytes = b''


class DocumentWriter:
    """Reads and writes documents in a store.

    Args:
        store: The store.
        wall: Returns wall-clock seconds, for the history.
        new_id: Returns a new change id.
    """

    def __init__(
        self,
        store: stores.Store,
        *,
        wall: abc.Callable[[], float],
        new_id: abc.Callable[[], str] = lambda: secrets.token_hex(
            _CHANGE_ID_BYTES
        ),
    ) -> None:
        self._store = store
        self._wall = wall
        self._new_id = new_id

    async def read(self, name: str) -> Current:
        """Returns the current version of a document.

        Raises:
            StoreUnavailable: No answer.
            DocumentError: The stored bytes don't decode.
        """
        stored = await self._store.get(loading.object_name(name))
        if stored is None:
            return Current(0, None)
        return Current(stored.version, decode(stored), stored.value)

    async def write(
        self,
        document: loading.Document,
        *,
        author: str,
        expected_version: int | None = None,
        before: Current | None = None,
    ) -> result.Result[Written, Conflict]:
        """Writes a checked document.

        Args:
            document: The document; its change id and author are replaced.
            author: Who makes the change.
            expected_version: Version that the document is based on; 0 if it
                must be new. None replaces whatever is read first.
            before: Version to replace, if the caller has just read it.

        Raises:
            StoreUnavailable: The store doesn't answer. With `maybe_applied`
                the write may be in force.
        """
        name = loading.document_name(document)
        if before is None:
            before = await self.read(name)
        if expected_version not in (None, before.version):
            return result.Failure(_conflict(before, document, False))
        changes = diffing.diff(before.document, document)
        if before.document is not None and not changes:
            change_id = before.document.change_id
            return result.Success(Written(before.version, change_id, ()))
        document = msgspec.structs.replace(
            document, change_id=self._new_id(), author=author
        )
        outcome = await self._put(document, before)
        if not isinstance(outcome, Written):
            return result.Failure(outcome)
        kept = outcome.superseded or await self._keep_history(
            document, outcome.version, before
        )
        return result.Success(
            msgspec.structs.replace(outcome, changes=changes, history_kept=kept)
        )

    async def history(self, name: str) -> tuple[HistoryEntry, ...]:
        """Returns the last versions of a document, newest first.

        Raises:
            StoreUnavailable: No answer.
        """
        _, entries = await self._read_history(name)
        return tuple(reversed(entries))

    async def _put(
        self, document: loading.Document, before: Current
    ) -> Written | Conflict:
        """Writes until it is known what became of the write.

        Sending the same bytes again under the same expected version is safe:
        at most one of the requests can take effect.
        """
        name = loading.document_name(document)
        value = encoding.encode(document)
        lost: errors.StoreUnavailable | None = None
        for _ in range(_ATTEMPTS):
            try:
                stored = await self._store.put(
                    loading.object_name(name),
                    value,
                    expected_version=before.version,
                )
                return Written(stored.version, document.change_id, ())
            except errors.VersionConflict:
                return await self._resolve(document, lost is not None)
            except errors.StoreUnavailable as exc:
                if not exc.maybe_applied:
                    raise _sticky(exc, lost) from exc
                lost = exc
            logging.warning(
                'documents: answer of a write lost, reading again, '
                'document=%s change_id=%s',
                name,
                document.change_id,
            )
            now = await self._read_after_loss(name)
            if now.version != before.version:
                return await self._resolve(document, True)
        raise _sticky(lost, lost)

    async def _resolve(
        self, document: loading.Document, lost: bool
    ) -> Written | Conflict:
        """Tells what became of a write after another version was found."""
        name = loading.document_name(document)
        read = self._read_after_loss if lost else self.read
        now = await read(name)
        if now.document and now.document.change_id == document.change_id:
            return Written(now.version, document.change_id, ())
        if lost:
            for entry in await self._history_or_nothing(name):
                if entry.change_id == document.change_id:
                    return Written(
                        entry.version, entry.change_id, (), superseded=True
                    )
        return _conflict(now, document, lost)

    async def _history_or_nothing(self, name: str) -> tuple[HistoryEntry, ...]:
        try:
            return await self.history(name)
        except errors.StoreError:
            return ()

    async def _read_after_loss(self, name: str) -> Current:
        try:
            return await self.read(name)
        except errors.StoreUnavailable as exc:
            raise _sticky(exc, exc) from exc

    async def _keep_history(
        self, document: loading.Document, version: int, before: Current
    ) -> bool:
        """Adds a version, and the one before it if it is missing."""
        name = loading.document_name(document)
        new = HistoryEntry(
            document.change_id,
            version,
            document.author,
            self._wall(),
            encoding.encode(document),
        )
        problem: Exception | None = None
        for _ in range(_ATTEMPTS):
            try:
                history_version, entries = await self._read_history(name)
                if any(entry.version == version for entry in entries):
                    return True
                await self._store.put(
                    HISTORY_PREFIX + name,
                    msgspec.json.encode(_merge(entries, before, new)),
                    expected_version=history_version,
                )
                return True
            except errors.VersionConflict as exc:
                problem = exc
            except errors.StoreUnavailable as exc:
                problem = exc
                if not exc.maybe_applied:
                    break
            except errors.StoreError as exc:
                problem = exc
                break
        logging.warning(
            'documents: history not written, document=%s error=%s',
            name,
            problem,
        )
        return False

    async def _read_history(self, name: str) -> tuple[int, list[HistoryEntry]]:
        stored = await self._store.get(HISTORY_PREFIX + name)
        if stored is None:
            return 0, []
        try:
            entries = msgspec.json.decode(stored.value, type=list[HistoryEntry])
        except msgspec.MsgspecError as exc:
            raise errors.StoreError(
                f'history of {name!r} does not decode: {exc}', step='history'
            ) from exc
        return stored.version, entries


def decode(stored: stores.StoredObject) -> loading.Document:
    """Returns the document in a stored object, by its types alone.

    Rules such as limits are not applied, so that a document that an earlier
    release accepted can still be read and replaced.

    Raises:
        DocumentError: The bytes don't decode.
    """
    name = stored.name.removeprefix(loading.OBJECT_PREFIX)
    kind = (
        documents.DeploymentDocument
        if name == documents.DEPLOYMENT_NAME
        else documents.ServiceDocument
    )
    try:
        return msgspec.json.decode(stored.value, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise errors.DocumentError(
            name, f'stored version {stored.version}: {exc}', step='decode'
        ) from exc


def _merge(
    entries: list[HistoryEntry], before: Current, new: HistoryEntry
) -> list[HistoryEntry]:
    known = {entry.version for entry in entries}
    added = [new]
    if before.document is not None:
        added.append(
            HistoryEntry(
                before.document.change_id,
                before.version,
                before.document.author,
                0.0,
                before.value,
            )
        )
    merged = [*entries, *(e for e in added if e.version not in known)]
    merged.sort(key=lambda entry: entry.version)
    merged = merged[-MAX_HISTORY:]
    while len(merged) > 1 and _size(merged) > MAX_HISTORY_BYTES:
        del merged[0]
    return merged


def _size(entries: list[HistoryEntry]) -> int:
    return len(msgspec.json.encode(entries))


def _conflict(now: Current, document: loading.Document, lost: bool) -> Conflict:
    return Conflict(
        now.version,
        now.document,
        diffing.diff(now.document, document),
        maybe_applied=lost,
    )


def _sticky(
    exc: errors.StoreUnavailable, lost: errors.StoreUnavailable | None
) -> errors.StoreUnavailable:
    """Returns the error with `maybe_applied` set once an answer was lost."""
    if exc.maybe_applied or lost is None:
        return exc
    return errors.StoreUnavailable(
        exc.args[0], maybe_applied=True, peer=exc.peer
    )
