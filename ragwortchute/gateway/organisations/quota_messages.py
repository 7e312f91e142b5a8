"""Messages between hosts about the use of quotas."""

from collections import abc
import struct
import zlib

import msgspec

from ragwortchute import decoding

# Name of the part in `part_messages`.
PART = 'quota'
# Hosts that are named as not heard from, at most.
MAX_UNHEARD = 80
# Entries beyond this may not fit a datagram.
MAX_ENTRIES = 60

_MASK = 0xFFFFFFFF
_SIGN = 0x80000000
# Key, requests admitted, demanded and recently admitted.
_USE_FORMAT = struct.Struct('<QIIH')
# Key, and admitted share, credit and demand as half-precision numbers.
_STATE_FORMAT = struct.Struct('<Qeee')
_NAME_FORMAT = struct.Struct('<H')
_MAX_HALF = 65000.0
_MAX_RECENT = 0xFFFF


class Use(msgspec.Struct, frozen=True):
    """Requests of an organisation at one host since the host started.

    Attributes:
        key: Hash of the name of the organisation.
        admitted: Requests admitted, without those given back, modulo 2**32.
        demanded: Requests received, modulo 2**32.
        recent: Requests admitted in the last 0.5 to 1 s.
    """

    key: int
    admitted: int
    demanded: int
    recent: int


class State(msgspec.Struct, frozen=True):
    """What the coordinator knows about the quota of an organisation.

    Attributes:
        key: Hash of the name of the organisation.
        admit_fraction: Share of the requests that hosts admit.
        level: Credit; negative if more was used than allowed.
        demand_per_s: Requests per second that hosts receive.
    """

    key: int
    admit_fraction: float
    level: float
    demand_per_s: float


class Report(msgspec.Struct, frozen=True, array_like=True, tag=1, gc=False):
    """Report of a host to a coordinator.

    Attributes:
        shard: Number of the shard of organisations.
        incarnation: Incarnation of the host.
        number: Number of the report.
        uses: Counts that have changed, encoded by `pack_uses`.
        asks: Whether the host has not heard an announcement for a while, so
            that the coordinator should reply.
    """

    shard: int
    incarnation: int
    number: int
    uses: bytes = b''
    asks: bool = False


class Announcement(
    msgspec.Struct, frozen=True, array_like=True, tag=2, gc=False
):
    """Announcement of a coordinator, passed on from host to host.

    Attributes:
        shard: Number of the shard of organisations.
        coordinator: Name of the coordinator.
        incarnation: Incarnation of the coordinator.
        number: Number of the announcement.
        provisional: Whether the coordinator has just taken over, so that hosts
            should report to it, and keep to what they know.
        complete: Whether organisations that are not listed are far below their
            quotas.
        states: Organisations, encoded by `pack_states`.
        unheard: Hosts that the coordinator does not hear from, encoded by
            `pack_names`. They have no contact even if they hear it.
        hosts: Hosts that the coordinator knows.
        is_reply: Whether it is sent to one host, which does not pass it on.
    """

    shard: int
    coordinator: str
    incarnation: int
    number: int
    provisional: bool = False
    complete: bool = True
    states: bytes = b''
    unheard: bytes = b''
    hosts: int = 0
    is_reply: bool = False


Message = Report | Announcement

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Decodes a message.

    Raises:
        DecodeFailed: The message is malformed.
    """
    return decoding.decode_msgpack(data, _decoder)


def pack_uses(uses: abc.Iterable[Use]) -> bytes:
    """Encodes counts in 18 bytes each."""
    return b''.join(
        _USE_FORMAT.pack(
            use.key,
            use.admitted & _MASK,
            use.demanded & _MASK,
            min(_MAX_RECENT, max(0, use.recent)),
        )
        for use in uses
    )


def unpack_uses(data: bytes) -> list[Use]:
    """Decodes counts; an incomplete one at the end is ignored."""
    return [
        Use(*fields)
        for fields in _USE_FORMAT.iter_unpack(_complete(data, _USE_FORMAT))
    ]


def pack_states(states: abc.Iterable[State]) -> bytes:
    """Encodes states in 14 bytes each."""
    return b''.join(
        _STATE_FORMAT.pack(
            state.key,
            state.admit_fraction,
            max(-_MAX_HALF, min(_MAX_HALF, state.level)),
            min(_MAX_HALF, state.demand_per_s),
        )
        for state in states
    )


def unpack_states(data: bytes) -> list[State]:
    """Decodes states; those that are not finite numbers are ignored."""
    states = [
        State(*fields)
        for fields in _STATE_FORMAT.iter_unpack(_complete(data, _STATE_FORMAT))
    ]
    return [
        state
        for state in states
        if 0 <= state.admit_fraction <= 1
        and abs(state.level) <= _MAX_HALF
        and 0 <= state.demand_per_s <= _MAX_HALF
    ]


def pack_names(names: abc.Iterable[str], number: int) -> bytes:
    """Encodes names of hosts in 2 bytes each.

    Args:
        names: The names.
        number: Number of the announcement. Names with the same code have others
            in the next announcement.
    """
    return b''.join(
        _NAME_FORMAT.pack(_name_code(name, number)) for name in names
    )


def has_name(data: bytes, name: str, number: int) -> bool:
    """Returns whether a name is among those encoded by `pack_names`.

    Args:
        data: The encoded names.
        name: The name.
        number: Number of the announcement.
    """
    code = _name_code(name, number)
    return any(
        item == code
        for (item,) in _NAME_FORMAT.iter_unpack(_complete(data, _NAME_FORMAT))
    )


def _name_code(name: str, number: int) -> int:
    return zlib.crc32(f'{name}/{number}'.encode()) & 0xFFFF


def difference(count: int, previous: int) -> int:
    """Returns the signed difference of two counts modulo 2**32."""
    return ((count - previous + _SIGN) & _MASK) - _SIGN


def _complete(data: bytes, format_: struct.Struct) -> bytes:
    return data[: len(data) - len(data) % format_.size]
