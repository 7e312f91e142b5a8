"""Codecs of peer messages."""

import abc

from ragwortchute import registry
from ragwortchute import wire

REGISTRY: registry.Registry[type['Codec']] = registry.Registry('codec')


class Codec(abc.ABC):
    """Turns messages into bytes and back."""

    @abc.abstractmethod
    def encode(self, message: wire.Message) -> bytes:
        """Returns the encoded message."""

    @abc.abstractmethod
    def decode(self, buf: bytes) -> wire.Message:
        """Returns the message in a buffer.

        Raises:
            FrameError: The buffer holds no valid message.
        """
