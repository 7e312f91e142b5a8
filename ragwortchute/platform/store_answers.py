"""Answers of the platform's store and the objects in them.

Objects of other writers may hold values that can't be decoded. Only the
value of such an object is affected: its name and revision, which the store
has written, and all other objects are decoded.
"""

from collections import abc
from typing import TypeVar

import msgspec

from ragwortchute import decoding
from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.platform import json_parts

T = TypeVar('T')


class Page(msgspec.Struct, frozen=True):
    """Objects of a list.

    Attributes:
        revision: Revision of the store.
        objects: The objects.
        more: Whether others follow by name.
    """

    revision: int
    objects: list[stores.StoredObject]
    more: bool


class Change(msgspec.Struct, frozen=True):
    """Change of an object.

    Attributes:
        obj: The object.
        deleted: Whether it was deleted.
    """

    obj: stores.StoredObject
    deleted: bool


class Changes(msgspec.Struct, frozen=True):
    """Changes that a watch returns, in their order.

    Attributes:
        revision: Revision of the store.
        changes: The changes.
    """

    revision: int
    changes: list[Change]


class _Metadata(msgspec.Struct):
    name: str
    rev: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')
    status: msgspec.Raw = msgspec.Raw(b'null')


class _Page(msgspec.Struct):
    current_rev: int
    items: list[msgspec.Raw] = []
    more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    deleted: bool = False


class _Events(msgspec.Struct):
    current_rev: int
    events: list[_Event] = []


def decode_page(body: bytes, *, with_status: bool = False) -> Page:
    """Decodes a list of objects.

    Args:
        body: The list.
        with_status: Whether the status of the objects is kept.

    Raises:
        DecodeFailed: It is malformed.
    """
    page = _decode(body, _Page, _split_page)
    return Page(
        page.current_rev,
        [decode_object(item, with_status=with_status) for item in page.items],
        page.more,
    )


def decode_changes(body: bytes, *, with_status: bool = False) -> Changes:
    """Decodes the answer to a watch.

    Args:
        body: The answer.
        with_status: Whether the status of the objects is kept.

    Raises:
        DecodeFailed: It is malformed.
    """
    events = _decode(body, _Events, _split_events)
    return Changes(
        events.current_rev,
        [
            Change(
                decode_object(event.object, with_status=with_status),
                event.deleted,
            )
            for event in events.events
        ],
    )


def decode_object(
    data: bytes | msgspec.Raw, *, with_status: bool = False
) -> stores.StoredObject:
    """Decodes an object; its value and status stay encoded.

    Args:
        data: The object.
        with_status: Whether its status is kept.

    Raises:
        DecodeFailed: It is malformed, beyond its value.
    """
    obj = _decode(data, _Object, _split_object)
    return stores.StoredObject(
        obj.metadata.name,
        obj.metadata.rev,
        bytes(obj.spec),
        bytes(obj.status) if with_status else b'',
    )


def _decode(data: bytes, type_: type[T], split: abc.Callable[[bytes], T]) -> T:
    """Decodes a text as a whole, or else the parts that are needed.

    Args:
        data: The text.
        type_: Type of its value.
        split: Decodes the parts of the text.

    Raises:
        DecodeFailed: A part that is needed can't be decoded, either.
    """
    try:
        return decoding.decode_json(data, type_)
    except errors.DecodeFailed:
        # The parts tell which value is to blame; it is reported there.
        pass
    try:
        return split(bytes(data))
    except json_parts.MalformedText as exc:
        raise errors.DecodeFailed(str(exc)) from exc
    except KeyError as exc:
        raise errors.DecodeFailed(f'field {exc} is missing') from exc


def _split_page(body: bytes) -> _Page:
    fields = json_parts.split_object(body)
    items = json_parts.split_array(fields.get(b'items', b'[]'))
    return _Page(
        decoding.decode_json(fields[b'current_rev'], int),
        [msgspec.Raw(item) for item in items],
        decoding.decode_json(fields.get(b'more', b'false'), bool),
    )


def _split_events(body: bytes) -> _Events:
    fields = json_parts.split_object(body)
    events = json_parts.split_array(fields.get(b'events', b'[]'))
    return _Events(
        decoding.decode_json(fields[b'current_rev'], int),
        [_split_event(event) for event in events],
    )


def _split_event(event: bytes) -> _Event:
    fields = json_parts.split_object(event)
    return _Event(
        msgspec.Raw(fields[b'object']),
        decoding.decode_json(fields.get(b'deleted', b'false'), bool),
    )


def _split_object(data: bytes) -> _Object:
    fields = json_parts.split_object(data)
    # Other parts of the metadata may come from the writer of the object.
    metadata = json_parts.split_object(fields[b'metadata'])
    return _Object(
        _Metadata(
            decoding.decode_json(metadata[b'name'], str),
            decoding.decode_json(metadata.get(b'rev', b'0'), int),
        ),
        msgspec.Raw(fields.get(b'spec', b'null')),
        msgspec.Raw(fields.get(b'status', b'null')),
    )
