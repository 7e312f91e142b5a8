"""Boundaries of the parts of a JSON text, found without decoding it.

A decoder rejects a text as a whole if one value in it is nested too deeply or
is a string with half of a surrogate pair. Here, only quotes and brackets are
read, at any depth, so that the other values can still be decoded.
"""

import re

_STRING = rb'"(?:[^"\\]++|\\.)*+"'
_SPACE = re.compile(rb'[ \t\r\n]*')
_STRING_VALUE = re.compile(_STRING, re.DOTALL)
_SCALAR_VALUE = re.compile(rb'[^ \t\r\n,:"\[\]{}]+')
_STRING_OR_BRACKET = re.compile(_STRING + rb'|[\[\]{}]', re.DOTALL)
_OPENING = (b'[', b'{')
_CLOSING = (b']', b'}')


class MalformedText(Exception):
    """The text has no complete value at an offset."""


def split_object(text: bytes) -> dict[bytes, bytes]:
    """Returns the encoded values of a JSON object.

    Args:
        text: The object, without space around it.

    Returns:
        Value by name. Names are without quotes, their escapes not decoded.

    Raises:
        MalformedText: It is no JSON object.
    """
    fields = {}
    pos = _begin(text, b'{')
    while text[pos : pos + 1] != b'}':
        name, pos = _read_value(text, pos)
        pos = _skip(text, pos, b':')
        value, pos = _read_value(text, pos)
        fields[name[1:-1]] = value
        pos = _end_item(text, pos, b'}')
    return fields


def split_array(text: bytes) -> list[bytes]:
    """Returns the encoded items of a JSON array.

    Args:
        text: The array, without space around it.

    Raises:
        MalformedText: It is no JSON array.
    """
    items = []
    pos = _begin(text, b'[')
    while text[pos : pos + 1] != b']':
        item, pos = _read_value(text, pos)
        items.append(item)
        pos = _end_item(text, pos, b']')
    return items


def _begin(text: bytes, bracket: bytes) -> int:
    """Returns the offset of what follows the opening bracket of a text."""
    return _skip(text, _SPACE.match(text).end(), bracket)


def _end_item(text: bytes, pos: int, closing: bytes) -> int:
    """Returns the offset of the next item or of the closing bracket."""
    if text[pos : pos + 1] == closing:
        return pos
    return _skip(text, pos, b',')


def _skip(text: bytes, pos: int, mark: bytes) -> int:
    """Returns the offset of what follows a mark and the space behind it."""
    if text[pos : pos + 1] != mark:
        raise MalformedText(f'no {mark.decode()!r} at offset {pos}')
    return _SPACE.match(text, pos + 1).end()


def _read_value(text: bytes, pos: int) -> tuple[bytes, int]:
    """Returns a value and the offset of what follows it."""
    first = text[pos : pos + 1]
    if first in _OPENING:
        end = _end_of_nested(text, pos)
    else:
        pattern = _STRING_VALUE if first == b'"' else _SCALAR_VALUE
        match = pattern.match(text, pos)
        if match is None:
            raise MalformedText(f'no value at offset {pos}')
        end = match.end()
    return text[pos:end], _SPACE.match(text, end).end()


def _end_of_nested(text: bytes, start: int) -> int:
    """Returns the offset of the end of an object or array."""
    depth = 0
    for match in _STRING_OR_BRACKET.finditer(text, start):
        token = match.group()
        if token in _OPENING:
            depth += 1
        elif token in _CLOSING:
            depth -= 1
            if not depth:
                return match.end()
    raise MalformedText(f'no end of the value at offset {start}')
