"""MessagePack codec for the messages between hosts, based on msgspec."""

import typing

import msgspec

from ragwortchute import codecs
from ragwortchute import errors
from ragwortchute import wire


@codecs.REGISTRY.register('msgpack')
class MsgpackCodec(codecs.Codec):
    """Encodes a message as a map with its class name as tag."""

    def __init__(self) -> None:
        union = typing.Union[tuple(wire.message_types().values())]  # noqa: UP007
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(union)

    def encode(self, message: wire.Message) -> bytes:
        """Returns the encoded message.

        Raises:
            FrameError: A value can't be represented.
        """
        try:
            return self._encoder.encode(message)
        except (ValueError, TypeError, OverflowError) as exc:
            raise errors.FrameError(
                f'{type(message).__name__} can not be encoded: {exc}',
                step='encode',
            ) from exc

    def decode(self, buf: bytes) -> wire.Message:
        """Decodes a message.

        Raises:
            FrameError: The buffer does not hold a valid message.
        """
        try:
            return self._decoder.decode(buf)
        except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
            raise errors.FrameError(
                f'not a msgpack message: {exc}', step='decode'
            ) from exc
