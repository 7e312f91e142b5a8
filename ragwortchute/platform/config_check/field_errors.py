"""Finds all errors of an encoded value with regard to its type.

A decoder stops at the first error. Here, a value that it rejects is split into
its fields and items, and each is decoded by the same decoder, so that a value
has errors if and only if the decoder rejects it.
"""

from collections import abc
import difflib
import functools
import types
import typing
from typing import Any

import msgspec

from ragwortchute import decoding
from ragwortchute import errors

MISSING_FIELD = 'missing-field'
WRONG_TYPE = 'wrong-type'
# Error of msgspec for a text that ends, or lacks, the second of two surrogates.
_TRUNCATED = 'Input data was truncated'
# Similarity from which on an unknown field is taken for a misspelled one. The
# platform's objects have fields that the gateway does not read.
_MIN_SIMILARITY = 0.75


class FieldError(msgspec.Struct, frozen=True):
    """An error at a field or item.

    Attributes:
        kind: `MISSING_FIELD` or `WRONG_TYPE`.
        path: Path of the value, empty for the whole.
        message: What is wrong, without any part of the value.
    """

    kind: str
    path: str
    message: str


def find(
    data: bytes | msgspec.Raw, type_: Any, path: str = ''
) -> list[FieldError]:
    """Returns the errors of a value, none if it can be decoded.

    Args:
        data: The value as JSON.
        type_: Type that it must have.
        path: Path of the value.
    """
    try:
        decoding.decode_json(data, type_)
    except errors.DecodeFailed as exc:
        # The decoder's own path starts at the part that was decoded.
        message = str(exc).partition(' - at `')[0]
        if type_ is str and message == _TRUNCATED:
            message = 'the text has half of a surrogate pair'
    else:
        return []
    found = _find_in_parts(data, _without_none(type_), path)
    return found or [FieldError(WRONG_TYPE, path, message)]


@functools.cache
def fields_of(type_: Any) -> dict[str, msgspec.structs.FieldInfo]:
    """Returns the fields of a struct type by their names in JSON."""
    return {item.encode_name: item for item in msgspec.structs.fields(type_)}


def closest_field(name: str, type_: Any) -> str:
    """Returns the field that an unknown name resembles, empty if none."""
    return _closest(name.lower(), tuple(fields_of(type_)))


def objects(
    value: Any, type_: Any, path: str = ''
) -> abc.Iterator[tuple[str, Any, Any]]:
    """Yields the objects of a decoded value that have a struct type.

    Args:
        value: Decoded value, objects as dictionaries.
        type_: Type that it must have.
        path: Path of the value.

    Yields:
        Path, object and type.
    """
    type_ = _without_none(type_)
    if isinstance(value, list) and typing.get_origin(type_) is list:
        (item_type,) = typing.get_args(type_)
        for index, item in enumerate(value):
            yield from objects(item, item_type, f'{path}[{index}]')
    elif isinstance(value, dict) and _is_struct(type_):
        yield path, value, type_
        known = fields_of(type_)
        for name, item in value.items():
            if name in known and isinstance(item, list | dict):
                yield from objects(item, known[name].type, join(path, name))


def join(path: str, name: str) -> str:
    """Returns the path of a field of an object."""
    return f'{path}.{name}' if path else name


def _find_in_parts(
    data: bytes | msgspec.Raw, type_: Any, path: str
) -> list[FieldError]:
    """Returns the errors of the fields or items of a value."""
    found = []
    try:
        if _is_struct(type_):
            parts = decoding.decode_json(data, dict[str, msgspec.Raw])
            for name, field in fields_of(type_).items():
                field_path = join(path, name)
                if name in parts:
                    found += find(parts[name], field.type, field_path)
                elif field.required:
                    found.append(
                        FieldError(
                            MISSING_FIELD, field_path, 'the field is missing'
                        )
                    )
        elif typing.get_origin(type_) is list:
            (item_type,) = typing.get_args(type_)
            items = decoding.decode_json(data, list[msgspec.Raw])
            for index, item in enumerate(items):
                found += find(item, item_type, f'{path}[{index}]')
    except errors.DecodeFailed:
        # It is no object or array at all.
        return []
    return found


def _is_struct(type_: Any) -> bool:
    return isinstance(type_, type) and issubclass(type_, msgspec.Struct)


def _without_none(type_: Any) -> Any:
    """Returns the type that an optional value has if it is not null."""
    if typing.get_origin(type_) not in (typing.Union, types.UnionType):
        return type_
    rest = [item for item in typing.get_args(type_) if item is not type(None)]
    return rest[0] if len(rest) == 1 else type_


@functools.lru_cache(maxsize=1024)
def _closest(name: str, known: tuple[str, ...]) -> str:
    close = difflib.get_close_matches(name, known, 1, _MIN_SIMILARITY)
    return close[0] if close else ''
