"""Reads the file of a configuration and decodes it as the gateway does."""

import collections
from collections import abc
import json
import pathlib
import sys
from typing import Any

import msgspec

from ragwortchute import decoding
from ragwortchute import errors
from ragwortchute.gateway import model
from ragwortchute.platform import feeds
from ragwortchute.platform.config_check import field_errors
from ragwortchute.platform.config_check import findings
from ragwortchute.platform.config_check import redaction

DUPLICATE_FIELD = 'duplicate-field'
UNKNOWN_FIELD = 'unknown-field'
_STDIN = '-'


class _Object(dict[str, Any]):
    """A JSON object that knows which of its fields were given twice."""

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        self.repeated: list[str] = []
        if len(self) < len(pairs):
            counts = collections.Counter(name for name, _ in pairs)
            self.repeated = [name for name in self if counts[name] > 1]


class Source(msgspec.Struct):
    """A configuration as it is in its file.

    Attributes:
        tree: Its JSON, numbers as texts.
        keys: All texts in it that may be keys. They must not be shown.
        findings: What is wrong with its fields and their types.
        entries: Its entries by the names of the file; None if the gateway
            rejects it.
        cfg: What the gateway makes of it; None if it rejects it.
    """

    tree: Any
    keys: set[str]
    findings: list[findings.Finding]
    entries: Any = None
    cfg: model.Configuration | None = None

    def __repr__(self) -> str:
        return f'Source({len(self.findings)} findings)'


def read(path: pathlib.Path) -> Source:
    """Reads a file, or standard input for `-`.

    Raises:
        SettingError: The file can't be read or holds no configuration.
    """
    try:
        if str(path) == _STDIN:
            data = sys.stdin.buffer.read()
        else:
            data = path.read_bytes()
    except OSError as exc:
        raise errors.SettingError(
            f'{path} can not be read: {exc.strerror}', step='read'
        ) from exc
    try:
        return parse(data)
    except errors.DecodeFailed as exc:
        raise errors.SettingError(f'{path} {exc}', step='read') from None


def parse(data: bytes) -> Source:
    """Parses the text of a configuration.

    Raises:
        DecodeFailed: It is no JSON object, or that of a whole store object.
    """
    if not data.strip():
        raise errors.DecodeFailed('is empty')
    tree = _parse_tree(data)
    if not isinstance(tree, dict):
        raise errors.DecodeFailed('is no JSON object')
    if 'routes' not in tree and isinstance(tree.get('spec'), dict):
        raise errors.DecodeFailed(
            'is a whole object of the store; only its `spec` is checked'
        )
    type_ = feeds.CONFIGURATION_TYPE
    source = Source(tree, redaction.find_keys(tree, feeds.TENANT_TYPE), [])
    source.findings = [
        findings.Finding(
            findings.Severity.ERROR, error.kind, error.path, error.message
        )
        for error in field_errors.find(data, type_)
    ]
    if not source.findings:
        source.entries = decoding.decode_json(data, type_)
        source.cfg = feeds.decode_configuration(data)
    source.findings += _find_in_objects(tree)
    return source


def _parse_tree(data: bytes) -> Any:
    """Returns the JSON of a text, its numbers as texts.

    Raises:
        DecodeFailed: It is no JSON.
    """
    try:
        return json.loads(
            data.decode(),
            object_pairs_hook=_Object,
            parse_int=str,
            parse_float=str,
            parse_constant=_reject_constant,
        )
    except UnicodeDecodeError as exc:
        message = f'is not valid UTF-8: {_position(data, exc.start)}'
    except json.JSONDecodeError as exc:
        # Some messages end with a part of the text.
        reason = exc.msg.partition(':')[0]
        message = f'is not JSON: {reason}, line {exc.lineno} column {exc.colno}'
    except RecursionError:
        message = 'is nested too deeply'
    # Raised here, so that no exception with parts of the text is chained.
    raise errors.DecodeFailed(message)


def _reject_constant(name: str) -> None:
    raise json.JSONDecodeError(f'{name} is no number of JSON', name, 0)


def _position(data: bytes, offset: int) -> str:
    """Returns the line and column of a byte."""
    line = data.count(b'\n', 0, offset) + 1
    column = offset - data.rfind(b'\n', 0, offset)
    return f'line {line} column {column}'


def _find_in_objects(tree: Any) -> abc.Iterator[findings.Finding]:
    """Yields fields that are given twice or misspelled.

    The gateway takes the last value of a field that is given twice, and ignores
    unknown fields. Their names are not shown, as they may be keys.
    """
    type_ = feeds.CONFIGURATION_TYPE
    for path, value, object_type in field_errors.objects(tree, type_):
        known = field_errors.fields_of(object_type)
        for name in value.repeated:
            if name in known:
                yield findings.Finding(
                    findings.Severity.ERROR,
                    DUPLICATE_FIELD,
                    field_errors.join(path, name),
                    'the field is given more than once; the last value applies',
                )
        for name in value:
            if name in known:
                continue
            close = field_errors.closest_field(name, object_type)
            if close:
                yield findings.Finding(
                    findings.Severity.WARNING,
                    UNKNOWN_FIELD,
                    path,
                    'a field is unknown and has no effect; '
                    f'did you mean {close!r}?',
                )
