"""Tests of the codecs with generated and damaged messages."""

import enum
import random
import typing

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from ragwortchute import codecs
from ragwortchute import errors
from ragwortchute import wire
from ragwortchute.codecs import capnp
from ragwortchute.codecs import msgpack  # noqa: F401

_CODECS = {
    name: codecs.REGISTRY.get(name)() for name in codecs.REGISTRY.names()
}
_SCALARS = {
    int: st.integers(-(2**63), 2**63 - 1),
    str: st.text(st.characters(exclude_categories=('Cs',)), max_size=12),
    float: st.floats(allow_nan=False),
    bytes: st.binary(max_size=40),
    bool: st.booleans(),
    type(None): st.none(),
}


def _strategy_for(hint):
    """Returns a strategy for values of a type, with all fields of structs."""
    if hint in _SCALARS:
        return _SCALARS[hint]
    args = typing.get_args(hint)
    origin = typing.get_origin(hint)
    if origin is list or (origin is tuple and args[-1] is ...):
        return st.lists(_strategy_for(args[0]), max_size=3).map(origin)
    if origin is tuple:
        return st.tuples(*map(_strategy_for, args))
    if origin is dict:
        return st.dictionaries(
            _strategy_for(args[0]), _strategy_for(args[1]), max_size=3
        )
    if args:
        return st.one_of(*map(_strategy_for, args))
    if issubclass(hint, enum.Enum):
        return st.sampled_from(list(hint))
    hints = typing.get_type_hints(hint)
    fields = {
        name: _strategy_for(hints[name]) for name in hint.__struct_fields__
    }
    return st.builds(hint, **fields)


def _messages():
    return st.one_of(
        *(
            _strategy_for(cls)
            for cls in wire.message_types().values()
            if cls.__module__ == wire.__name__
        )
    )


@pytest.mark.parametrize('name', sorted(_CODECS))
class TestCodec:
    """A codec must neither change messages nor crash on arbitrary bytes."""

    @settings(derandomize=True, database=None, max_examples=300, deadline=None)
    @given(message=_messages())
    def test_every_message_survives_a_round_trip(self, name, message):
        codec = _CODECS[name]
        assert codec.decode(codec.encode(message)) == message

    @settings(derandomize=True, database=None, max_examples=300, deadline=None)
    @given(buf=st.binary(max_size=200))
    def test_arbitrary_bytes_raise_only_frame_errors(self, name, buf):
        self._decode(name, buf)

    @settings(derandomize=True, database=None, max_examples=300, deadline=None)
    @given(message=_messages(), data=st.data())
    def test_damaged_message_raises_only_frame_errors(
        self, name, message, data
    ):
        buf = bytearray(_CODECS[name].encode(message))
        for _ in range(data.draw(st.integers(1, 4))):
            index = data.draw(st.integers(0, len(buf) - 1))
            buf[index] = data.draw(st.integers(0, 255))
        self._decode(name, bytes(buf[: data.draw(st.integers(0, len(buf)))]))

    def test_integer_beyond_64_bits_raises_a_frame_error(self, name):
        with pytest.raises(errors.FrameError):
            _CODECS[name].encode(wire.SlotRequest('a', 's', 2**65))

    def _decode(self, name, buf):
        try:
            message = _CODECS[name].decode(buf)
        except errors.FrameError:
            return
        assert isinstance(message, wire.Message)


class TestCapnpFlatEncoding:
    """Damaged Cap'n Proto data must not abort the process.

    pycapnp aborted the process on packed data that ended early. Deflate rejects
    most damage, so these tests damage the data below the compression.
    """

    def test_damage_below_compression_raises_only_frame_errors(self):
        codec = _CODECS['capnp']
        member = wire.Member('h', 1, '127.0.0.1:1', 'http://h', 'd', 'r')
        encoded = capnp._decompress(codec.encode(wire.Heartbeat(member, 5, 6)))
        rng = random.Random(1)
        for _ in range(20000):
            buf = bytearray(encoded)
            for _ in range(rng.randint(1, 4)):
                buf[rng.randrange(len(buf))] = rng.randrange(256)
            end = rng.randint(0, len(buf))
            self._decode(codec, capnp._UNCOMPRESSED + bytes(buf[:end]))
            self._decode(codec, capnp._UNCOMPRESSED + bytes(buf))

    def _decode(self, codec, buf):
        try:
            message = codec.decode(buf)
        except errors.FrameError:
            return
        assert isinstance(message, wire.Message)
