"""What the gateway asks of the protocol spoken with callers and targets.

The names of headers and the form of a health answer belong to the platform;
its adapter implements this interface.
"""

import abc
from collections import abc as cabc

import msgspec

from ragwortchute.gateway import http_client
from ragwortchute.gateway import http_server
from ragwortchute.gateway import model


class Reading(msgspec.Struct, frozen=True):
    """State of a target at one moment, as it says itself.

    Attributes:
        taken_s: Loop time at which the question was sent.
        healthy: Whether it considers itself healthy and is not leaving.
        running: Requests that it processes.
        waiting: Requests in its queue.
        slots: Requests that it can process concurrently.
        slowness: Duration of work at this moment; 1.0 is usual.
        cold_s: How long it stays cold; 0 if it is warm.
    """

    taken_s: float
    healthy: bool = True
    running: int = 0
    waiting: int = 0
    slots: int = 0
    slowness: float = 1.0
    cold_s: float = 0.0


class Dialect(abc.ABC):
    """Translates between the gateway and the wire."""

    __slots__ = ()

    @abc.abstractmethod
    def request_id(self, req: http_server.Request) -> bytes:
        """Returns the identity of a request, empty if it has none."""

    @abc.abstractmethod
    def remaining_s(self, req: http_server.Request) -> float | None:
        """Returns how long the caller waits, None if it does not say."""

    @abc.abstractmethod
    def encode(
        self,
        req: http_server.Request,
        remaining_s: float,
        entry: model.TargetEntry | None,
    ) -> bytes:
        """Returns a request as it goes to a target, or to a host if None."""

    @abc.abstractmethod
    def accept(
        self, req: http_server.Request
    ) -> cabc.Callable[[http_client.Reply], bool]:
        """Returns a test that tells whether an answer is for a request."""

    @abc.abstractmethod
    def not_run(self, reply: http_client.Reply) -> bool:
        """Tells whether the target says that it did not run the request."""

    @abc.abstractmethod
    def misdirected(self, reply: http_client.Reply) -> bool:
        """Tells whether another incarnation answered."""

    @abc.abstractmethod
    def authentic(self, reply: http_client.Reply) -> bool:
        """Tells whether the answer was made by the target, unchanged."""

    @abc.abstractmethod
    def answer_headers(
        self, reply: http_client.Reply
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers of an answer that go to the caller."""

    @abc.abstractmethod
    def encode_probe(self, path: str, entry: model.TargetEntry) -> bytes:
        """Returns a health request."""

    @abc.abstractmethod
    def accept_probe(
        self, entry: model.TargetEntry
    ) -> cabc.Callable[[http_client.Reply], bool]:
        """Returns a test that tells whether an answer is a health answer."""

    @abc.abstractmethod
    def reading(
        self,
        reply: http_client.Reply,
        entry: model.TargetEntry,
        taken_s: float,
    ) -> Reading | None:
        """Decodes a health answer; None if another incarnation gave it."""

    @abc.abstractmethod
    def load(
        self,
        reply: http_client.Reply,
        entry: model.TargetEntry,
        taken_s: float,
    ) -> Reading | None:
        """Decodes the load in an answer; None if it has none."""
