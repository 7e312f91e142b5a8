"""Interface of the clients that send requests to targets."""

import abc
from collections import abc as abc_

import msgspec

from ragwortchute import calls
from ragwortchute import documents


class TargetAnswer(msgspec.Struct, frozen=True):
    """A complete answer and the state that the target reports in its headers.

    Attributes:
        answer: The answer for the caller, without the headers that report the
            state of the target.
        incarnation: Header `Target-Incarnation`, or an empty string.
        running: Number of running requests from header `Target-Load`; -1 if
            absent.
        draining: Whether header `Target-Draining` was set.
    """

    answer: calls.Answer
    incarnation: str = ''
    running: int = -1
    draining: bool = False


class ConnectionListener(abc.ABC):
    """Receives a call when a connection to a target opens or closes."""

    @abc.abstractmethod
    def connection_opened(self, service: str, target: str) -> None:
        """Handles a newly opened connection."""

    @abc.abstractmethod
    def connection_closed(self, service: str, target: str) -> None:
        """Handles a connection that was closed or broke."""


class Upstream(abc.ABC):
    """Sends each request to a target at most once; never retries."""

    @abc.abstractmethod
    async def send(
        self,
        service: str,
        target: documents.Target,
        call: calls.Call,
        *,
        before_send: abc_.Callable[[], None] | None = None,
    ) -> TargetAnswer:
        """Sends a call once and returns the complete answer.

        Args:
            service: Name of the service.
            target: The target.
            call: The call.
            before_send: Called right before the request is written, if the
                client had to wait for a connection. If it raises, nothing is
                sent and the exception propagates.

        Raises:
            ConnectFailed: No connection could be used; nothing was sent.
            TargetShed: The target refused the request before running it.
            ConnectionLost: The connection broke after bytes were sent.
            TruncatedAnswer: The answer ended early.
            AttemptTimeout: The deadline of the call passed.
        """

    @abc.abstractmethod
    async def keep_open(
        self, service: str, target: documents.Target, connections: int
    ) -> int:
        """Opens idle connections until the given number are open.

        Args:
            service: Name of the service.
            target: The target.
            connections: Number of connections wanted, busy ones included.

        Returns:
            Number of open connections; 0 if the target can't be reached.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
