"""Loads documents from text and checks their structure, types and rules.

The rules are defined in `checks`.
"""

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
    """Returns the name of the store object that holds a document."""
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
    """Returns the document in a text, or all problems of the text.

    Args:
        text: The text.
        fmt: Format of the text; objects in the store are JSON.
        name: Expected name of the document. If empty, a text with the key
            `failure_domains` is taken for the deployment document.
        deployment: Deployment document to check regions and failure domains
            against. Without it, these only have to be consistent.
        balancer_names: Allowed balancers; by default the registered ones.
    """
    document = _decode_canonical(text, fmt, name)
    if document is None:
        try:
            raw = parsing.parse(text, fmt)
        except errors.DocumentError as exc:
            return result.Failure((exc,))
        expected_type = _document_type(raw, name)
        problems: list[errors.DocumentError] = []
        document = _convert(expected_type, raw, '', problems)
        if problems:
            return result.Failure(tuple(problems))
    if isinstance(document, documents.ServiceDocument):
        violations = checks.check_service(
            document, deployment, balancer_names=balancer_names
        )
    else:
        violations = checks.check_deployment(document)
    if name and document_name(document) != name:
        violations = (
            errors.DocumentError(
                'service',
                f'{document_name(document)!r} differs from the name of the '
                f'document, {name!r}',
            ),
            *violations,
        )
    return (
        result.Failure(violations) if violations else result.Success(document)
    )


def _decode_canonical(
    text: bytes | str, fmt: parsing.Format, name: str
) -> Document | None:
    """Returns the document if a text is canonical JSON, else None.

    Objects in the store are canonical, and a host loads them between calls.
    This takes a small fraction of the time of the conversion that reports all
    problems. If encoding the document gives the same bytes again, no key of
    the text was duplicate.
    """
    if not name or fmt is not parsing.Format.JSON:
        return None
    buf = text.encode() if isinstance(text, str) else text
    if len(buf) > limits.MAX_DOCUMENT_BYTES:
        return None
    try:
        document = msgspec.json.decode(buf, type=_document_type(None, name))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return document if encoding.encode(document) == buf else None


def _document_type(raw: Any, name: str) -> type[Document]:
    if name:
        is_deployment = name == documents.DEPLOYMENT_NAME
    else:
        is_deployment = isinstance(raw, dict) and 'failure_domains' in raw
    if is_deployment:
        return documents.DeploymentDocument
    return documents.ServiceDocument


def _convert(
    expected_type: Any,
    raw: Any,
    path: str,
    problems: list[errors.DocumentError],
) -> Any:
    """Converts a plain value to a type.

    Args:
        expected_type: The type.
        raw: The plain value.
        path: Path of the value in the document.
        problems: List to which problems are added.

    Returns:
        The converted value. If problems were added, it must not be used.
    """
    origin = typing.get_origin(expected_type)
    if origin is tuple:
        return _convert_list(
            typing.get_args(expected_type)[0], raw, path, problems
        )
    if origin is dict:
        return _convert_mapping(
            typing.get_args(expected_type)[1], raw, path, problems
        )
    if isinstance(expected_type, type) and issubclass(
        expected_type, msgspec.Struct
    ):
        return _convert_struct(expected_type, raw, path, problems)
    try:
        return msgspec.convert(raw, expected_type)
    except (msgspec.ValidationError, OverflowError) as exc:
        problems.append(_error(path, _scalar_message(expected_type, raw, exc)))
        return None


def _convert_struct(
    expected_type: type[msgspec.Struct],
    raw: Any,
    path: str,
    problems: list[errors.DocumentError],
) -> Any:
    if not isinstance(raw, dict):
        problems.append(
            _error(path, f'expected a mapping, got {_describe_type(raw)}')
        )
        return None
    fields = {
        field.name: field for field in msgspec.structs.fields(expected_type)
    }
    for key in raw:
        if key not in fields:
            hint = checks.describe_known_names(str(key), fields)
            message = f'unknown key {key!r}{hint}'
            problems.append(_error(_join_path(path, str(key)), message))
    before = len(problems)
    values: dict[str, Any] = {}
    for name, field in fields.items():
        item_path = _join_path(path, name)
        if name in raw:
            values[name] = _convert(field.type, raw[name], item_path, problems)
        elif field.required:
            problems.append(_error(item_path, 'is required and missing'))
    return expected_type(**values) if len(problems) == before else None


def _convert_list(
    expected_type: Any,
    raw: Any,
    path: str,
    problems: list[errors.DocumentError],
) -> tuple[Any, ...]:
    if not isinstance(raw, list):
        problems.append(
            _error(path, f'expected a list, got {_describe_type(raw)}')
        )
        return ()
    return tuple(
        _convert(expected_type, item, f'{path}[{index}]', problems)
        for index, item in enumerate(raw)
    )


def _convert_mapping(
    expected_type: Any,
    raw: Any,
    path: str,
    problems: list[errors.DocumentError],
) -> dict[str, Any]:
    if not isinstance(raw, dict):
        problems.append(
            _error(path, f'expected a mapping, got {_describe_type(raw)}')
        )
        return {}
    values: dict[str, Any] = {}
    for key, item in raw.items():
        item_path = _join_path(path, str(key))
        if not isinstance(key, str):
            problems.append(
                _error(item_path, f'key {key!r} must be quoted text')
            )
            continue
        values[key] = _convert(expected_type, item, item_path, problems)
    return values


def _scalar_message(expected_type: Any, raw: Any, exc: Exception) -> str:
    allowed = getattr(expected_type, '__members__', None)
    if allowed is None or not isinstance(raw, str):
        message = str(exc)
        return message[:1].lower() + message[1:]
    names = [str(item.value) for item in allowed.values()]
    close_matches = difflib.get_close_matches(raw, names, n=1, cutoff=0.5)
    hint = f'; did you mean {close_matches[0]!r}?' if close_matches else ''
    return f'{raw!r} is not one of {", ".join(names)}{hint}'


def _describe_type(raw: Any) -> str:
    return 'nothing' if raw is None else f'`{type(raw).__name__}`'


def _join_path(path: str, key: str) -> str:
    return f'{path}.{key}' if path else key


def _error(path: str, message: str) -> errors.DocumentError:
    return errors.DocumentError(path or parsing.ROOT_PATH, message)
