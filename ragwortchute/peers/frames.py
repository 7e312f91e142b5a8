"""Authenticated frames of peer connections.

A frame consists of length, MAC, kind, request id and encoded message.
"""

import asyncio
import enum
import hashlib
import hmac
import struct

from ragwortchute import errors

MAC_BYTES = 16
NONCE_BYTES = 16
_LENGTH = struct.Struct('>I')
_HEADER = struct.Struct('>BQ')
_COUNTER = struct.Struct('>Q')
OVERHEAD_BYTES = _LENGTH.size + MAC_BYTES + _HEADER.size


class Kind(enum.IntEnum):
    """Purpose of the message in a frame."""

    HELLO_CONTROL = 1
    HELLO_BULK = 2
    MESSAGE = 3
    REQUEST = 4
    ANSWER = 5
    NO_ANSWER = 6


class FrameSigner:
    """Builds the signed frames of one direction of a connection."""

    __slots__ = ('_counter', '_mac')

    def __init__(self, key: bytes) -> None:
        self._mac = hmac.new(key, digestmod=hashlib.sha256)
        self._counter = 0

    def sign(self, kind: Kind, request_id: int, body: bytes) -> bytes:
        """Returns the next frame, with its MAC."""
        payload = _HEADER.pack(kind, request_id) + body
        mac = _mac(self._mac, self._counter, payload)
        self._counter += 1
        return _LENGTH.pack(len(payload)) + mac + payload


class FrameVerifier:
    """Verifies the frames of one direction of a connection."""

    __slots__ = ('_counter', '_mac')

    def __init__(self, key: bytes) -> None:
        self._mac = hmac.new(key, digestmod=hashlib.sha256)
        self._counter = 0

    def verify(self, mac: bytes, payload: bytes) -> tuple[Kind, int, bytes]:
        """Returns kind, request id and encoded message of the next frame.

        The counter also advances for invalid frames, so that one damaged frame
        does not invalidate the following ones.

        Raises:
            FrameError: The MAC, the length or the kind is wrong.
        """
        counter = self._counter
        self._counter += 1
        if not hmac.compare_digest(mac, _mac(self._mac, counter, payload)):
            raise errors.FrameError('wrong MAC', step='open')
        if len(payload) < _HEADER.size:
            raise errors.FrameError('frame is too short', step='open')
        kind, request_id = _HEADER.unpack_from(payload)
        try:
            return Kind(kind), request_id, payload[_HEADER.size :]
        except ValueError as exc:
            raise errors.FrameError(
                f'unknown frame kind {kind}', step='open'
            ) from exc


async def read(
    reader: asyncio.StreamReader, max_bytes: int
) -> tuple[bytes, bytes]:
    """Returns MAC and payload of the next frame.

    Raises:
        FrameError: The frame is larger than `max_bytes` or ends early.
        EOFError: The connection ended between two frames.
    """
    try:
        header = await reader.readexactly(_LENGTH.size + MAC_BYTES)
    except asyncio.IncompleteReadError as exc:
        if not exc.partial:
            raise EOFError('connection ended') from exc
        raise errors.FrameError('frame ends early', step='read') from exc
    (length,) = _LENGTH.unpack_from(header)
    if length > max_bytes:
        raise errors.FrameError(
            f'frame of {length} bytes exceeds {max_bytes}', step='read'
        )
    try:
        payload = await reader.readexactly(length)
    except asyncio.IncompleteReadError as exc:
        raise errors.FrameError('frame ends early', step='read') from exc
    return header[_LENGTH.size :], payload


def session_key(
    key: bytes, label: bytes, first_hello: bytes, second_hello: bytes
) -> bytes:
    """Derives the key of one direction of one connection.

    Args:
        key: The deployment key.
        label: Identifies the direction.
        first_hello: Encoded Hello of the side that connected.
        second_hello: Encoded Hello of the side that accepted.
    """
    parts = b''.join(
        _COUNTER.pack(len(part)) + part
        for part in (label, first_hello, second_hello)
    )
    return hmac.digest(key, parts, 'sha256')


def _mac(base: hmac.HMAC, counter: int, payload: bytes) -> bytes:
    mac = base.copy()
    mac.update(_COUNTER.pack(counter))
    mac.update(payload)
    return mac.digest()[:MAC_BYTES]
