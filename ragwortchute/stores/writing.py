"""Writes documents by conditional updates and keeps their history.

If the answer to a write is lost, the document is read again, and its change id
shows whether the write was applied. The history of a document is one object
that lists its last versions. Each write updates it with one read and one
conditional update, and one read returns it. With one object per version, each
write would have to list the versions and remove the oldest, and the object API
can't remove objects.
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
MAX_HISTORY_ENTRIES = 20
MAX_HISTORY_BYTES = 900_000  # below the limit of 1 MB for a value
_ATTEMPTS = 3
_CHANGE_ID_BYTES = 8


class HistoryEntry(msgspec.Struct, frozen=True):
    """One version of a document in its history.

    Attributes:
        change_id: Id of the change.
        version: Version assigned by the store.
        author: Who made the change.
        written_at: Wall-clock time of the write in seconds; 0 if unknown,
            because the entry was added by the next write.
        value: Canonical encoding of the document.
    """

    change_id: str
    version: int
    author: str
    written_at: float
    value: bytes


class Written(msgspec.Struct, frozen=True):
    """A write that was applied, or that was not needed.

    Attributes:
        version: Version of the document; the current one if unchanged.
        change_id: Id of the change.
        changes: Differences from the previous version.
        history_kept: False if the history could not be written; the next
            write adds the missing entry.
        superseded: True if another write has already replaced this one.
    """

    version: int
    change_id: str
    changes: tuple[diffing.Change, ...]
    history_kept: bool = True
    superseded: bool = False


class Conflict(msgspec.Struct, frozen=True):
    """A write that was rejected because of another write.

    Attributes:
        current_version: Version in the store; 0 if there is no document.
        current: The document in the store, or None.
        changes: Differences from the document in the store to the rejected
            one.
        maybe_applied: True if an answer was lost, so that this write may have
            been applied and replaced since.
    """

    current_version: int
    current: loading.Document | None
    changes: tuple[diffing.Change, ...]
    maybe_applied: bool = False


class Current(msgspec.Struct, frozen=True):
    """The current version of a document in the store.

    Attributes:
        version: Version assigned by the store; 0 if there is no document.
        document: The document, or None.
        value: Its encoding.
    """

    version: int
    document: loading.Document | None
    value: bytes = b''


class DocumentWriter:
    """Reads and writes documents in a store.

    Args:
        store: The store.
        wall: Returns the wall-clock time in seconds, for the history.
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
            StoreUnavailable: The store did not answer.
            DocumentError: The stored document is malformed.
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
        previous: Current | None = None,
    ) -> result.Result[Written, Conflict]:
        """Writes a document that was checked before.

        Args:
            document: The document; its change id and author are replaced.
            author: Who makes the change.
            expected_version: Version that the document is based on; 0 if the
                document must not exist yet, or None to replace any version.
            previous: Version to replace, if the caller has just read it.

        Raises:
            StoreUnavailable: The store did not answer. With `maybe_applied`,
                the write may have been applied.
        """
        name = loading.document_name(document)
        if previous is None:
            previous = await self.read(name)
        if expected_version not in (None, previous.version):
            return result.Failure(_make_conflict(previous, document, False))
        changes = diffing.diff(previous.document, document)
        if previous.document is not None and not changes:
            change_id = previous.document.change_id
            return result.Success(Written(previous.version, change_id, ()))
        document = msgspec.structs.replace(
            document, change_id=self._new_id(), author=author
        )
        outcome = await self._put_and_confirm(document, previous)
        if not isinstance(outcome, Written):
            return result.Failure(outcome)
        kept = outcome.superseded or await self._append_to_history(
            document, outcome.version, previous
        )
        return result.Success(
            msgspec.structs.replace(outcome, changes=changes, history_kept=kept)
        )

    async def history(self, name: str) -> tuple[HistoryEntry, ...]:
        """Returns the last versions of a document, newest first.

        Raises:
            StoreUnavailable: The store did not answer.
            StoreError: The stored history is malformed.
        """
        _, entries = await self._read_history(name)
        return tuple(reversed(entries))

    async def _put_and_confirm(
        self, document: loading.Document, previous: Current
    ) -> Written | Conflict:
        """Writes a document and retries until the outcome is known.

        Repeating a write with the same expected version is safe, because at
        most one of the requests can be applied.

        Raises:
            StoreUnavailable: The outcome is unknown, or the document was not
                written.
        """
        name = loading.document_name(document)
        value = encoding.encode(document)
        earlier: errors.StoreUnavailable | None = None
        for _ in range(_ATTEMPTS):
            try:
                stored = await self._store.put(
                    loading.object_name(name),
                    value,
                    expected_version=previous.version,
                )
                return Written(stored.version, document.change_id, ())
            except errors.VersionConflict:
                return await self._determine_outcome(
                    document, earlier is not None
                )
            except errors.StoreUnavailable as exc:
                if not exc.maybe_applied:
                    raise _with_maybe_applied(exc, earlier) from exc
                earlier = exc
            logging.warning(
                'documents: no answer to a write, checking the store, '
                'document=%s change_id=%s',
                name,
                document.change_id,
            )
            latest = await self._read_after_lost_answer(name)
            if latest.version != previous.version:
                return await self._determine_outcome(document, True)
        raise _with_maybe_applied(earlier, earlier)

    async def _determine_outcome(
        self, document: loading.Document, answer_lost: bool
    ) -> Written | Conflict:
        """Determines the outcome of a write after another version was found.

        Args:
            document: The document that was to be written.
            answer_lost: Whether the answer to an attempt was lost.
        """
        name = loading.document_name(document)
        read = self._read_after_lost_answer if answer_lost else self.read
        latest = await read(name)
        if latest.document and latest.document.change_id == document.change_id:
            return Written(latest.version, document.change_id, ())
        if answer_lost:
            for entry in await self._history_or_empty(name):
                if entry.change_id == document.change_id:
                    return Written(
                        entry.version, entry.change_id, (), superseded=True
                    )
        return _make_conflict(latest, document, answer_lost)

    async def _history_or_empty(self, name: str) -> tuple[HistoryEntry, ...]:
        try:
            return await self.history(name)
        except errors.StoreError:
            return ()

    async def _read_after_lost_answer(self, name: str) -> Current:
        try:
            return await self.read(name)
        except errors.StoreUnavailable as exc:
            raise _with_maybe_applied(exc, exc) from exc

    async def _append_to_history(
        self, document: loading.Document, version: int, previous: Current
    ) -> bool:
        """Adds a version to the history, and the previous one if missing.

        Args:
            document: The document that was written.
            version: Its version.
            previous: The version that it replaced.

        Returns:
            Whether the history contains the version.
        """
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
                    msgspec.json.encode(_merge_history(entries, previous, new)),
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
    """Returns the document in a stored object, checking only its types.

    Limits and other rules are not checked, so that a document accepted by an
    earlier release can still be read and replaced.

    Raises:
        DocumentError: The stored document is malformed.
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


def _merge_history(
    entries: list[HistoryEntry], previous: Current, new: HistoryEntry
) -> list[HistoryEntry]:
    known = {entry.version for entry in entries}
    added = [new]
    if previous.document is not None:
        added.append(
            HistoryEntry(
                previous.document.change_id,
                previous.version,
                previous.document.author,
                0.0,
                previous.value,
            )
        )
    merged = [*entries, *(e for e in added if e.version not in known)]
    merged.sort(key=lambda entry: entry.version)
    merged = merged[-MAX_HISTORY_ENTRIES:]
    while len(merged) > 1 and _encoded_bytes(merged) > MAX_HISTORY_BYTES:
        del merged[0]
    return merged


def _encoded_bytes(entries: list[HistoryEntry]) -> int:
    return len(msgspec.json.encode(entries))


def _make_conflict(
    latest: Current, document: loading.Document, answer_lost: bool
) -> Conflict:
    return Conflict(
        latest.version,
        latest.document,
        diffing.diff(latest.document, document),
        maybe_applied=answer_lost,
    )


def _with_maybe_applied(
    exc: errors.StoreUnavailable, earlier: errors.StoreUnavailable | None
) -> errors.StoreUnavailable:
    """Returns an error, with `maybe_applied` set if an answer was lost before.

    Args:
        exc: The error to return.
        earlier: Error of an earlier attempt whose answer was lost, or None.
    """
    if exc.maybe_applied or earlier is None:
        return exc
    return errors.StoreUnavailable(
        exc.args[0], maybe_applied=True, peer=exc.peer
    )
