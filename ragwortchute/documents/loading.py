"""Loads documents: text, structure and types, then the rules in `checks`."""

from collections import abc
import difflib
import typing
from typing import Any

import msgspec
from returns import result

from ragwortchute import documents
from ragwortchute import errors
from ragwortchute.documents import checks
from ragwortchute.documents import encoding
from ragwortchute.documents import limits
from ragwortchute.documents import parsing

Document = documents.ServiceDocument | documents.DeploymentDocument
Problems = tuple[errors.DocumentError, ...]

OBJECT_PREFIX = 'documents/'


def object_name(name: str) -> str:
    """Returns the name of the store object of a document."""
    return OBJECT_PREFIX + name


def document_name(document: Document) -> str:
    """Returns the name of a document: its service, or `_deployment`."""
    if isinstance(document, documents.ServiceDocument):
        return document.service
    return documents.DEPLOYMENT_NAME


def load(
    text: bytes | str,
    *,
    fmt: parsing.Format = parsing.Format.JSON,
    name: str = '',
    deployment: documents.DeploymentDocument | None = None,
    balancer_names: abc.Collection[str] | None = None,
) -> result.Result[Document, Problems]:
    """Returns the document in a text, or everything that is wrong with it.

    Args:
        text: The text.
        fmt: Format of the text; objects of the store are JSON.
        name: Expected name of the document; if empty, a text with the key
            `failure_domains` is the deployment document.
        deployment: Deployment document to check regions and failure domains
            against; without it they are only compared with one another.
        balancer_names: Allowed balancers; by default the registered ones.
    """
    document = _decode_canonical(text, fmt, name)
    if document is None:
        try:
            raw = parsing.parse(text, fmt)
        except errors.DocumentError as exc:
            return result.Failure((exc,))
        kind = _kind(raw, name)
        problems: list[errors.DocumentError] = []
        document = _build(kind, raw, '', problems)
        if problems:
            return result.Failure(tuple(problems))
    if isinstance(document, documents.ServiceDocument):
        found = checks.check_service(
            document, deployment, balancer_names=balancer_names
        )
    else:
        found = checks.check_deployment(document)
    if name and document_name(document) != name:
        found = (
            errors.DocumentError(
                'service',
                f'{document_name(document)!r} differs from the name of the '
                f'document, {name!r}',
            ),
            *found,
        )
    return result.Failure(found) if found else result.Success(document)


def _decode_canonical(
    text: bytes | str, fmt: parsing.Format, name: str
) -> Document | None:
    """Returns the document in canonical JSON, or None for any other text.

    Objects of the store are canonical, and a host loads them between calls:
    this takes a small part of the time of the way that finds all problems.
    Equal bytes after encoding prove that no key was given twice.
    """
    if not name or fmt is not parsing.Format.JSON:
        return None
    buf = text.encode() if isinstance(text, str) else text
    if len(buf) > limits.MAX_DOCUMENT_BYTES:
        return None
    try:
        document = msgspec.json.decode(buf, type=_kind(None, name))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return document if encoding.encode(document) == buf else None


def _kind(raw: Any, name: str) -> type[Document]:
    if name:
        is_deployment = name == documents.DEPLOYMENT_NAME
    else:
        is_deployment = isinstance(raw, dict) and 'failure_domains' in raw
    if is_deployment:
        return documents.DeploymentDocument
    return documents.ServiceDocument


def _build(
    kind: Any, raw: Any, path: str, problems: list[errors.DocumentError]
) -> Any:
    """Returns `raw` as `kind`; adds to `problems` and returns None if wrong."""
    origin = typing.get_origin(kind)
    if origin is tuple:
        return _build_items(typing.get_args(kind)[0], raw, path, problems)
    if origin is dict:
        return _build_mapping(typing.get_args(kind)[1], raw, path, problems)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return _build_struct(kind, raw, path, problems)
    try:
        return msgspec.convert(raw, kind)
    except (msgspec.ValidationError, OverflowError) as exc:
        problems.append(_error(path, _leaf_message(kind, raw, exc)))
        return None


def _build_struct(
    kind: type[msgspec.Struct],
    raw: Any,
    path: str,
    problems: list[errors.DocumentError],
) -> Any:
    if not isinstance(raw, dict):
        problems.append(_error(path, f'expected a mapping, got {_shown(raw)}'))
        return None
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    for key in raw:
        if key not in fields:
            hint = checks.nearest(str(key), fields)
            message = f'unknown key {key!r}{hint}'
            problems.append(_error(_join(path, str(key)), message))
    before = len(problems)
    values: dict[str, Any] = {}
    for name, field in fields.items():
        where = _join(path, name)
        if name in raw:
            values[name] = _build(field.type, raw[name], where, problems)
        elif field.required:
            problems.append(_error(where, 'is required and missing'))
    return kind(**values) if len(problems) == before else None


def _build_items(
    kind: Any, raw: Any, path: str, problems: list[errors.DocumentError]
) -> tuple[Any, ...]:
    if not isinstance(raw, list):
        problems.append(_error(path, f'expected a list, got {_shown(raw)}'))
        return ()
    return tuple(
        _build(kind, item, f'{path}[{index}]', problems)
        for index, item in enumerate(raw)
    )


def _build_mapping(
    kind: Any, raw: Any, path: str, problems: list[errors.DocumentError]
) -> dict[str, Any]:
    if not isinstance(raw, dict):
        problems.append(_error(path, f'expected a mapping, got {_shown(raw)}'))
        return {}
    values: dict[str, Any] = {}
    for key, item in raw.items():
        where = _join(path, str(key))
        if not isinstance(key, str):
            problems.append(_error(where, f'key {key!r} must be quoted text'))
            continue
        values[key] = _build(kind, item, where, problems)
    return values


def _leaf_message(kind: Any, raw: Any, exc: Exception) -> str:
    allowed = getattr(kind, '__members__', None)
    if allowed is None or not isinstance(raw, str):
        message = str(exc)
        return message[:1].lower() + message[1:]
    names = [str(item.value) for item in allowed.values()]
    near = difflib.get_close_matches(raw, names, n=1, cutoff=0.5)
    hint = f'; did you mean {near[0]!r}?' if near else ''
    return f'{raw!r} is not one of {", ".join(names)}{hint}'


def _shown(raw: Any) -> str:
    return 'nothing' if raw is None else f'`{type(raw).__name__}`'


def _join(path: str, key: str) -> str:
    return f'{path}.{key}' if path else key


def _error(path: str, message: str) -> errors.DocumentError:
    return errors.DocumentError(path or parsing.ROOT_PATH, message)
