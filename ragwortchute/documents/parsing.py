"""Turns YAML or JSON text into plain values without losing anything.

The usual parsers keep the last of two equal keys and expand aliases; both
would put something else in force than the operator sees, so they are refused.
"""

from collections import abc
import enum
import json
import pathlib
from typing import Any

import yaml

from ragwortchute import errors
from ragwortchute.documents import limits

# Documents are 4 levels deep; the YAML parser takes quadratic time in depth.
_MAX_DEPTH = 16
ROOT_PATH = 'document'


class Format(enum.StrEnum):
    """Text formats of documents."""

    YAML = 'yaml'
    JSON = 'json'


def format_of(path: pathlib.Path) -> Format:
    """Returns the format by the suffix of a file; YAML if it isn't `.json`."""
    return Format.JSON if path.suffix.lower() == '.json' else Format.YAML


def parse(text: bytes | str, fmt: Format) -> Any:
    """Returns the plain value of a text.

    Raises:
        DocumentError: The text is too long or isn't valid.
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
            object_pairs_hook=_unique,
            parse_constant=_refuse_constant,
        )
    except ValueError as exc:
        raise _error(f'the text is not JSON: {exc}') from exc


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) == len(pairs):
        return found
    keys = [key for key, _ in pairs]
    twice = next(key for key in keys if keys.count(key) > 1)
    raise _error(f'key {twice!r} is given twice in one object')


def _refuse_constant(name: str) -> abc.Callable[[], None]:
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
    """A safe loader that refuses equal keys in one mapping."""

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
