"""Checks a document against those in the store and writes it."""

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
    """Request of an operator to apply a document.

    Attributes:
        text: The document as text.
        fmt: Format of the text.
        author: Who makes the request.
        expected_version: Version that the text is based on; None for any.
        replace: True to ignore the change id in the text. Otherwise a text
            with a change id must be based on the version in force.
        dry_run: True to check and compare the document without writing it.
    """

    text: bytes
    fmt: parsing.Format
    author: str
    expected_version: int | None = None
    replace: bool = False
    dry_run: bool = False


class Applied(msgspec.Struct, frozen=True):
    """Result of a request that was accepted.

    Attributes:
        name: Name of the document.
        version: Version that was written; the current one on a dry run.
        changes: Differences from the previous version.
        change_id: Id of the change; empty on a dry run.
        notes: Remarks for the operator.
        superseded: True if another write has already replaced this one.
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
    """Returns the deployment document in the store, or None.

    Args:
        writer: Reads the document.

    Raises:
        StoreUnavailable: The store did not answer.
        DocumentError: The stored document is malformed.
    """
    return _deployment_in(await writer.read(documents.DEPLOYMENT_NAME))


async def apply(
    store: stores.Store, writer: writing.DocumentWriter, req: Request
) -> Outcome:
    """Checks a document and writes it.

    The state of a known failure domain is kept, because only domain orders
    may change it. Otherwise, applying a file that was written before an order
    would revert the order.

    Args:
        store: Store whose other documents are checked.
        writer: Reads and writes the document.
        req: The request.

    Returns:
        The result, or the problems of the document, or a conflict with
        another write.

    Raises:
        StoreUnavailable: The store did not answer. With `maybe_applied`, the
            write may have been applied.
    """
    current = await writer.read(documents.DEPLOYMENT_NAME)
    deployment = _deployment_in(current)
    loaded = loading.load(req.text, fmt=req.fmt, deployment=deployment)
    if isinstance(loaded, result.Failure):
        return loaded
    document = loaded.unwrap()
    name = loading.document_name(document)
    if name != documents.DEPLOYMENT_NAME:
        current = await writer.read(name)
    notes: tuple[str, ...] = ()
    if isinstance(document, documents.DeploymentDocument):
        problems = await _check_stored_services(store, document)
        if problems:
            return result.Failure(problems)
        document, notes = keep_domain_states(document, current.document)
    changes = diffing.diff(current.document, document)
    if changes and not _is_based_on(req, document, current):
        return result.Failure(
            writing.Conflict(current.version, current.document, changes)
        )
    if req.dry_run:
        return result.Success(
            Applied(name, current.version, changes, notes=notes)
        )
    outcome = await writer.write(document, author=req.author, previous=current)
    if isinstance(outcome, result.Failure):
        return outcome
    written = outcome.unwrap()
    notes += await _check_after_write(store, writer, document, deployment)
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
    """Replaces the states of failure domains by those in force.

    Args:
        document: The new deployment document.
        current: The document in force, or None.

    Returns:
        The changed document, and a remark for each state that was replaced.
    """
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


async def _check_stored_services(
    store: stores.Store, deployment: documents.DeploymentDocument
) -> loading.Problems:
    """Checks the stored service documents against a new deployment document."""
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


async def _check_after_write(
    store: stores.Store,
    writer: writing.DocumentWriter,
    document: loading.Document,
    deployment: documents.DeploymentDocument | None,
) -> tuple[str, ...]:
    """Checks a written document against documents changed during the write.

    A service document and the deployment document are separate objects, so
    they can't be written together. If two concurrent writers both check again
    after their writes, at least one of them sees the write of the other.

    Args:
        store: Store whose other documents are checked.
        writer: Reads the deployment document.
        document: The document that was written.
        deployment: Deployment document that was used for the first check.

    Returns:
        Remarks for the operator.
    """
    try:
        if isinstance(document, documents.DeploymentDocument):
            problems = await _check_stored_services(store, document)
        else:
            latest = await read_deployment(writer)
            if latest is None or latest == deployment:
                return ()
            problems = checks.check_service(document, latest)
    except errors.RagwortchuteError as exc:
        return (f'written, but not checked again: {exc}',)
    return tuple(
        f'written, but a concurrent change makes it invalid: {problem}'
        for problem in problems
    )


def _deployment_in(
    current: writing.Current,
) -> documents.DeploymentDocument | None:
    assert not isinstance(current.document, documents.ServiceDocument)
    return current.document


def _is_based_on(
    req: Request, document: loading.Document, current: writing.Current
) -> bool:
    if req.expected_version is not None:
        return req.expected_version == current.version
    if req.replace or not document.change_id:
        return True
    in_force = current.document.change_id if current.document else ''
    return document.change_id == in_force
