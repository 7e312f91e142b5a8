"""Codecs for the messages between hosts."""

import abc

from ragwortchute import registry
from ragwortchute import wire

REGISTRY: registry.Registry[type['Codec']] = registry.Registry('codec')


class Codec(abc.ABC):
    """Encodes messages to bytes and decodes them."""

    @abc.abstractmethod
    def encode(self, message: wire.Message) -> bytes:
        """Returns the encoded message.

        Raises:
            FrameError: A value can't be represented.
        """

    @abc.abstractmethod
    def decode(self, buf: bytes) -> wire.Message:
        """Decodes a message.

        Raises:
            FrameError: The buffer does not hold a valid message.
        """
