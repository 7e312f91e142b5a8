"""Differences between two versions of a long value.

Load: a change of a few routes in a configuration of hundreds of kilobytes must
reach all hosts of a failure domain within a second, by way of the link of one
small host. Most of the value is as before, so only its new parts are sent.
"""

import re

import msgspec

# Values are compared in pieces that end where an encoded object does.
_PIECE = re.compile(rb'[^}]*+}|[^}]++')
# Of the pieces of a value, at most this share may be new; else the difference
# saves little.
_MAX_NEW_FRACTION = 0.5


class Kept(msgspec.Struct, frozen=True, array_like=True):
    """Part that is taken over from the old value.

    Attributes:
        start: Its offset there.
        size_bytes: Its length.
    """

    start: int
    size_bytes: int


class ValueDelta(msgspec.Struct, frozen=True, array_like=True):
    """Difference to an older version of an object.

    Attributes:
        name: Name of the object.
        version: Its new version.
        base_version: The version that the difference applies to.
        parts: Parts of the new value, in their order.
    """

    name: str
    version: int
    base_version: int
    parts: list[Kept | bytes]

    def __repr__(self) -> str:
        # The parts may hold keys.
        return f'ValueDelta({self.name!r}, version={self.version})'


def diff(old: bytes, new: bytes) -> list[Kept | bytes] | None:
    """Returns the parts of a new value, None if most of it is new.

    Args:
        old: The old value.
        new: The new value.
    """
    offsets: dict[bytes, int] = {}
    for match in _PIECE.finditer(old):
        offsets.setdefault(match.group(), match.start())
    parts: list[Kept | bytes] = []
    new_bytes = 0
    next_start = 0  # in the old value, behind the last part that was kept
    for piece in _PIECE.findall(new):
        if old.startswith(piece, next_start):
            start = next_start
        else:
            start = offsets.get(piece, -1)
        if start < 0:
            new_bytes += len(piece)
            _add_new(parts, piece)
            continue
        _add_kept(parts, start, len(piece))
        next_start = start + len(piece)
    return parts if new_bytes <= len(new) * _MAX_NEW_FRACTION else None


def apply(old: bytes, parts: list[Kept | bytes]) -> bytes:
    """Returns the new value from the old one and its parts."""
    return b''.join(
        old[part.start : part.start + part.size_bytes]
        if isinstance(part, Kept)
        else part
        for part in parts
    )


def _add_new(parts: list[Kept | bytes], piece: bytes) -> None:
    if parts and isinstance(parts[-1], bytes):
        parts[-1] += piece
    else:
        parts.append(piece)


def _add_kept(parts: list[Kept | bytes], start: int, size_bytes: int) -> None:
    last = parts[-1] if parts else None
    if isinstance(last, Kept) and last.start + last.size_bytes == start:
        parts[-1] = Kept(last.start, last.size_bytes + size_bytes)
    else:
        parts.append(Kept(start, size_bytes))
