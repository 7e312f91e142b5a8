"""Parses YAML or JSON text and rejects what parsers would silently change.

The usual parsers keep only the last of duplicate keys and expand aliases. The
document in force would then differ from the text that the operator reads, so
both are rejected.
"""

from collections import abc
import enum
import json
import pathlib
from typing import Any

import yaml

from ragwortchute import errors
from ragwortchute.documents import limits

# Documents have 4 levels. The time of the YAML parser is quadratic in depth.
_MAX_DEPTH = 16
ROOT_PATH = 'document'


class Format(enum.StrEnum):
    """Text formats of documents."""

    YAML = 'yaml'
    JSON = 'json'


def format_of(path: pathlib.Path) -> Format:
    """Returns JSON for files with the suffix `.json`, else YAML."""
    return Format.JSON if path.suffix.lower() == '.json' else Format.YAML


def parse(text: bytes | str, fmt: Format) -> Any:
    """Parses a text to plain values.

    Args:
        text: The text.
        fmt: Its format.

    Raises:
        DocumentError: The text is too long or malformed.
    """
    buf = text.encode() if isinstance(text, str) else text
    if len(buf) > limits.MAX_DOCUMENT_BYTES:
        raise _error(
            f'{len(buf)} bytes are more than {limits.MAX_DOCUMENT_BYTES}'
        )
    parser = _parse_json if fmt is Format.JSON else _parse_yaml
    try:
        return parser(buf.decode())
    except UnicodeDecodeError as exc:
        raise _error(f'the text is not UTF-8: {exc.reason}') from exc
    except RecursionError as exc:
        raise _error('the text is nested too deeply') from exc


def _parse_json(text: str) -> Any:
    try:
        return json.loads(
            text,
            object_pairs_hook=_build_object,
            parse_constant=_reject_constant,
        )
    except ValueError as exc:
        raise _error(f'the text is not JSON: {exc}') from exc


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    mapping = dict(pairs)
    if len(mapping) == len(pairs):
        return mapping
    keys = [key for key, _ in pairs]
    duplicate = next(key for key in keys if keys.count(key) > 1)
    raise _error(f'key {duplicate!r} is given twice in one object')


def _reject_constant(name: str) -> abc.Callable[[], None]:
    raise _error(f'{name} is not a JSON number')


def _parse_yaml(text: str) -> Any:
    try:
        _check_events(text)
        return yaml.load(text, Loader=_Loader)  # noqa: S506
    except (yaml.YAMLError, ValueError) as exc:
        shown = ' '.join(str(exc).split())
        raise _error(f'the text is not YAML: {shown}') from exc


def _check_events(text: str) -> None:
    depth = 0
    for event in yaml.parse(text, Loader=_Loader):
        line = event.start_mark.line + 1
        if isinstance(event, yaml.AliasEvent):
            raise _error(f'aliases are not allowed, found one in line {line}')
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > _MAX_DEPTH:
            raise _error(f'line {line} is nested more than {_MAX_DEPTH} deep')


class _Loader(yaml.SafeLoader):
    """A safe loader that rejects duplicate keys in a mapping."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Any, Any]:
        seen: set[str] = set()
        for key_node, _ in node.value:
            key = str(key_node.value)
            if key in seen:
                line = key_node.start_mark.line + 1
                raise _error(
                    f'key {key!r} is given twice, again in line {line}'
                )
            seen.add(key)
        return super().construct_mapping(node, deep=deep)


def _error(message: str) -> errors.DocumentError:
    return errors.DocumentError(ROOT_PATH, message, step='parse')
