"""Requests to targets."""

import abc
from collections import abc as abc_

import msgspec

from ragwortchute import calls
from ragwortchute import documents


class TargetAnswer(msgspec.Struct, frozen=True):
    """A whole answer with what its headers say of the target.

    Attributes:
        answer: The answer for the caller, without the target's own headers.
        incarnation: Header `Target-Incarnation`, or an empty string.
        running: Running requests by header `Target-Load`; -1 if absent.
        draining: Whether header `Target-Draining` was set.
    """

    answer: calls.Answer
    incarnation: str = ''
    running: int = -1
    draining: bool = False


class ConnectionListener(abc.ABC):
    """Is told of connections to targets."""

    @abc.abstractmethod
    def connection_opened(self, service: str, target: str) -> None:
        """A connection was opened."""

    @abc.abstractmethod
    def connection_closed(self, service: str, target: str) -> None:
        """A connection was closed or broke."""


class Upstream(abc.ABC):
    """Sends single requests to targets; never resends by itself."""

    @abc.abstractmethod
    async def send(
        self,
        service: str,
        target: documents.Target,
        call: calls.Call,
        *,
        before_send: abc_.Callable[[], None] | None = None,
    ) -> TargetAnswer:
        """Sends a call once and returns the whole answer.

        Args:
            service: Name of the service.
            target: The target.
            call: The call.
            before_send: Called right before the request is written, if the
                client had to wait for a connection. An exception that it
                raises is passed on, and nothing is sent.

        Raises:
            ConnectFailed: No connection; nothing was sent.
            TargetShed: The target refused before running it.
            ConnectionLost: The connection broke after bytes were sent.
            TruncatedAnswer: The answer ended early.
            AttemptTimeout: The deadline of the call passed.
        """

    @abc.abstractmethod
    async def keep_open(
        self, service: str, target: documents.Target, connections: int
    ) -> int:
        """Opens connections until that many are open, without a request.

        Returns:
            Number of open connections, 0 if the target can't be reached.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
