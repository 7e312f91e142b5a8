"""Transport of messages between the hosts of a deployment."""

import abc as abc_
from collections import abc
from typing import TypeVar

from ragwortchute import wire

M = TypeVar('M', bound=wire.Message)

Handler = abc.Callable[[str, M], abc.Awaitable[wire.Message | None]]

# A handler returns this to send no frame at all, so that the requesting host
# waits until its timeout. For None, the requesting host receives a frame saying
# that there is no answer.
UNANSWERED: wire.Message = wire.Done(accepted=False)


class Transport(abc_.ABC):
    """Sends messages to other hosts and passes received ones to handlers."""

    @abc_.abstractmethod
    def on(self, message_type: type[M], handler: Handler[M]) -> None:
        """Sets the handler of a message class.

        Args:
            message_type: Class of the messages.
            handler: Receives the name of the sending host and the message.
                Returns the answer to a request, None or `UNANSWERED`.
        """

    @abc_.abstractmethod
    def set_peer_address(self, host: str, peer_address: str) -> None:
        """Sets the address of a host.

        Args:
            host: Name of the host.
            peer_address: Its listening address, as `IP:port`.
        """

    @abc_.abstractmethod
    async def send(
        self, host: str, message: wire.Message, *, bulk: bool = False
    ) -> None:
        """Sends a message without waiting for an answer.

        Args:
            host: Name of the receiver.
            message: The message.
            bulk: True to use the connection for messages with bodies.

        Raises:
            PeerUnreachable: The peer can't be reached; nothing was sent.
        """

    @abc_.abstractmethod
    async def request(
        self,
        host: str,
        message: wire.Message,
        *,
        timeout_s: float,
        bulk: bool = False,
    ) -> wire.Message:
        """Sends a message and returns its answer.

        Args:
            host: Name of the receiver.
            message: The message.
            timeout_s: Maximum wait for the answer, in seconds.
            bulk: True to use the connection for messages with bodies.

        Raises:
            PeerUnreachable: The peer can't be reached; nothing was sent.
            PeerTimeout: No answer within `timeout_s` seconds, or the
                connection broke; the peer may have processed the message.
        """
