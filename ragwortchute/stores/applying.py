"""Checks a document against the store and puts it in force."""

import msgspec
from returns import result

from ragwortchute import documents
from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.documents import checks
from ragwortchute.documents import diffing
from ragwortchute.documents import loading
from ragwortchute.documents import parsing
from ragwortchute.stores import writing


class Request(msgspec.Struct, frozen=True):
    """What an operator asks to put in force.

    Attributes:
        text: The document as text.
        fmt: Format of the text.
        author: Who asks.
        expected_version: Version that the text is based on; None for any.
        replace: True to ignore the change id in the text. Otherwise a text
            with a change id must be based on the version in force.
        dry_run: True to check and compare only.
    """

    text: bytes
    fmt: parsing.Format
    author: str
    expected_version: int | None = None
    replace: bool = False
    dry_run: bool = False


class Applied(msgspec.Struct, frozen=True):
    """A document that was accepted.

    Attributes:
        name: Name of the document.
        version: Version in force; the current one on a dry run.
        changes: Differences from the version before.
        change_id: Id of the change; empty on a dry run.
        notes: Remarks for the operator.
        superseded: True if another write has already replaced it.
    """

    name: str
    version: int
    changes: tuple[diffing.Change, ...]
    change_id: str = ''
    notes: tuple[str, ...] = ()
    superseded: bool = False


Outcome = result.Result[Applied, loading.Problems | writing.Conflict]


async def read_deployment(
    writer: writing.DocumentWriter,
) -> documents.DeploymentDocument | None:
    """Returns the deployment document in force, or None.

    Raises:
        StoreUnavailable: No answer.
        DocumentError: The stored bytes don't decode.
    """
    return _as_deployment(await writer.read(documents.DEPLOYMENT_NAME))


async def apply(
    store: stores.Store, writer: writing.DocumentWriter, req: Request
) -> Outcome:
    """Checks a document and writes it.

    The state of a failure domain that exists is kept: only domain orders
    change it. A file written before an order would otherwise undo it.

    Raises:
        StoreUnavailable: The store doesn't answer. With `maybe_applied` the
            write may be in force.
    """
    current = await writer.read(documents.DEPLOYMENT_NAME)
    deployment = _as_deployment(current)
    loaded = loading.load(req.text, fmt=req.fmt, deployment=deployment)
    if isinstance(loaded, result.Failure):
        return loaded
    document = loaded.unwrap()
    name = loading.document_name(document)
    if name != documents.DEPLOYMENT_NAME:
        current = await writer.read(name)
    notes: tuple[str, ...] = ()
    if isinstance(document, documents.DeploymentDocument):
        problems = await _check_services(store, document)
        if problems:
            return result.Failure(problems)
        document, notes = keep_domain_states(document, current.document)
    changes = diffing.diff(current.document, document)
    if changes and not _based_on(req, document, current):
        return result.Failure(
            writing.Conflict(current.version, current.document, changes)
        )
    if req.dry_run:
        return result.Success(
            Applied(name, current.version, changes, notes=notes)
        )
    outcome = await writer.write(document, author=req.author, before=current)
    if isinstance(outcome, result.Failure):
        return outcome
    written = outcome.unwrap()
    notes += await _recheck(store, writer, document, deployment)
    if not written.history_kept:
        notes += ('the history was not written; the next write adds it',)
    return result.Success(
        Applied(
            name,
            written.version,
            written.changes,
            written.change_id,
            notes,
            written.superseded,
        )
    )


def keep_domain_states(
    document: documents.DeploymentDocument,
    current: loading.Document | None,
) -> tuple[documents.DeploymentDocument, tuple[str, ...]]:
    """Returns the document with the states in force, and remarks."""
    if not isinstance(current, documents.DeploymentDocument):
        return document, ()
    entries: dict[str, documents.DomainEntry] = {}
    notes: list[str] = []
    for name, entry in document.failure_domains.items():
        known = current.failure_domains.get(name)
        if known is None:
            entries[name] = entry
            continue
        if known.state is not entry.state:
            notes.append(
                f'failure domain {name!r} stays {known.state}; '
                f'use `domain {entry.state} {name}` to change it'
            )
        entries[name] = msgspec.structs.replace(known, region=entry.region)
    changed = msgspec.structs.replace(document, failure_domains=entries)
    return changed, tuple(notes)


async def _check_services(
    store: stores.Store, deployment: documents.DeploymentDocument
) -> loading.Problems:
    """Checks that the documents in force fit a new deployment document."""
    found: list[errors.DocumentError] = []
    for stored in await store.list(loading.OBJECT_PREFIX):
        if stored.name == loading.object_name(documents.DEPLOYMENT_NAME):
            continue
        document = writing.decode(stored)
        assert isinstance(document, documents.ServiceDocument)
        found.extend(
            errors.DocumentError(
                'failure_domains',
                f'service {document.service!r} does not fit: {problem}',
            )
            for problem in checks.check_service(document, deployment)
        )
    return tuple(found)


async def _recheck(
    store: stores.Store,
    writer: writing.DocumentWriter,
    document: loading.Document,
    deployment: documents.DeploymentDocument | None,
) -> tuple[str, ...]:
    """Checks once more against documents that changed during the write.

    A service document and the deployment document are two objects. Of two
    concurrent writers that each check after their write, at least one sees
    the other.
    """
    try:
        if isinstance(document, documents.DeploymentDocument):
            problems = await _check_services(store, document)
        else:
            now = await read_deployment(writer)
            if now is None or now == deployment:
                return ()
            problems = checks.check_service(document, now)
    except errors.RagwortchuteError as exc:
        return (f'written, but not checked again: {exc}',)
    return tuple(
        f'written, but a concurrent change makes it invalid: {problem}'
        for problem in problems
    )


def _as_deployment(
    current: writing.Current,
) -> documents.DeploymentDocument | None:
    assert not isinstance(current.document, documents.ServiceDocument)
    return current.document


def _based_on(
    req: Request, document: loading.Document, current: writing.Current
) -> bool:
    if req.expected_version is not None:
        return req.expected_version == current.version
    if req.replace or not document.change_id:
        return True
    in_force = current.document.change_id if current.document else ''
    return document.change_id == in_force
