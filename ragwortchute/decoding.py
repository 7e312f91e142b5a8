"""Decoding of values that other processes have written.

The decoders of msgspec report malformed values by several exceptions, among
them `RecursionError` for a value that is nested too deeply. Here, each is
reported as `DecodeFailed`.
"""

from typing import TypeVar

import msgspec

from ragwortchute import errors

T = TypeVar('T')

_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


def decode_json(data: bytes | msgspec.Raw, type_: type[T]) -> T:
    """Decodes a JSON value.

    Args:
        data: The encoded value.
        type_: Type that it must have.

    Raises:
        DecodeFailed: The value is malformed or of another type.
    """
    try:
        return msgspec.json.decode(data, type=type_)
    except _DECODE_ERRORS as exc:
        raise errors.DecodeFailed(str(exc)) from exc


def decode_msgpack(data: bytes, decoder: msgspec.msgpack.Decoder[T]) -> T:
    """Decodes a MessagePack value.

    Args:
        data: The encoded value.
        decoder: Decoder of the type that it must have.

    Raises:
        DecodeFailed: The value is malformed or of another type.
    """
    try:
        return decoder.decode(data)
    except _DECODE_ERRORS as exc:
        raise errors.DecodeFailed(str(exc)) from exc
