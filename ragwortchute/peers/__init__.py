"""Messages between the hosts of a deployment."""

import abc as abc_
from collections import abc
from typing import TypeVar

from ragwortchute import wire

M = TypeVar('M', bound=wire.Message)

Handler = abc.Callable[[str, M], abc.Awaitable[wire.Message | None]]

# Returned by a handler whose request gets no frame at all, so that the other
# host waits until its timeout. For None it is told that there is no answer.
UNANSWERED: wire.Message = wire.Done(accepted=False)


class Transport(abc_.ABC):
    """Sends typed messages to other hosts and dispatches received ones."""

    @abc_.abstractmethod
    def on(self, kind: type[M], handler: Handler[M]) -> None:
        """Sets the handler of a message class.

        The handler gets the name of the sending host and the message, and
        returns the answer to a request, None or `UNANSWERED`.
        """

    @abc_.abstractmethod
    def learn(self, host: str, peer_address: str) -> None:
        """Sets the `IP:port` under which a host is reached."""

    @abc_.abstractmethod
    async def send(
        self, host: str, message: wire.Message, *, bulk: bool = False
    ) -> None:
        """Sends a message without an answer.

        Args:
            host: Name of the receiver.
            message: What to send.
            bulk: True for messages that carry bodies.

        Raises:
            PeerUnreachable: No connection; nothing was sent.
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

        Raises:
            PeerUnreachable: No connection; nothing was sent.
            PeerTimeout: No answer within `timeout_s` seconds, or the
                connection broke; the peer may have acted.
        """
