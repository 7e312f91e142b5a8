"""Interface to the protocol of callers and targets.

The names of headers and the format of health answers are specific to a
platform, whose adapter implements this interface.
"""

import abc
from collections import abc as cabc

import msgspec

from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.http import http_messages

# Header in which a host names the target that answered a relayed request. It is
# the same with every dialect and not passed on to callers.
TARGET_NAME = b'x-ragwortchute-target'
# Headers that hosts add to requests to other hosts: the token of the receiving
# host, and the name of the organisation of a relayed request.
HOST_TOKEN = b'x-ragwortchute-token'
RELAYED_ORGANISATION = b'x-ragwortchute-organisation'
HOST_HEADERS = frozenset({HOST_TOKEN, RELAYED_ORGANISATION})


class Constraints(msgspec.Struct, frozen=True):
    """What a target has stated in an answer about further requests.

    Attributes:
        limit_per_s: Requests per second that it takes from all hosts; None if
            it names no limit.
        leaving: Whether it says that it leaves.
        pause_s: How long it wants no request from this host, in seconds.
        malformed: Names of headers whose values are invalid and were ignored.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    pause_s: float = 0.0
    malformed: tuple[str, ...] = ()


class Reading(msgspec.Struct, frozen=True):
    """State of a target as it reported itself.

    Attributes:
        taken_s: Loop time in seconds: when the health request was sent, or
            when an answer with load headers arrived.
        healthy: Whether it reports itself healthy and is not draining.
        running: Number of requests that it is processing.
        waiting: Number of requests in its queue.
        slots: Number of requests that it can process concurrently.
        slowness: Current processing time relative to the nominal one.
        cold_s: Remaining time for which it is cold, in seconds; 0 if warm.
        constraints: What it has stated in the same health answer.
    """

    taken_s: float
    healthy: bool = True
    running: int = 0
    waiting: int = 0
    slots: int = 0
    slowness: float = 1.0
    cold_s: float = 0.0
    constraints: Constraints = Constraints()


class Dialect(abc.ABC):
    """Encodes and decodes the messages of one protocol."""

    __slots__ = ()

    @abc.abstractmethod
    def request_id(self, req: http_messages.Request) -> bytes:
        """Returns the identity of a request, empty if it has none."""

    @abc.abstractmethod
    def remaining_s(self, req: http_messages.Request) -> float | None:
        """Returns the remaining time of the caller, None if it states none."""

    @abc.abstractmethod
    def credential(self, req: http_messages.Request) -> str:
        """Returns the key that a caller has sent.

        It is empty unless there is exactly one, in the head of the request.
        White space around it does not count.
        """

    @abc.abstractmethod
    def drop_identity(self, req: http_messages.Request) -> None:
        """Removes the headers that name a key or an organisation."""

    @abc.abstractmethod
    def organisation_header(self, name: str) -> tuple[bytes, bytes]:
        """Returns the header that names an organisation to a target."""

    @abc.abstractmethod
    def encode_head(
        self,
        req: http_messages.Request,
        remaining_s: float,
        entry: model.TargetEntry | None,
        added: cabc.Iterable[tuple[bytes, bytes]] = (),
    ) -> bytes:
        """Encodes the head of a request for a target or for another host.

        Args:
            req: The request.
            remaining_s: Time until the answer is due, in seconds.
            entry: The target, None to encode the request for a host.
            added: Headers to add to those of the request.
        """

    @abc.abstractmethod
    def accept(
        self, req: http_messages.Request
    ) -> cabc.Callable[[http_client.Reply], bool]:
        """Returns a predicate that recognises the answers to a request."""

    @abc.abstractmethod
    def is_not_run(self, reply: http_client.Reply) -> bool:
        """Tells whether the target states that it didn't run the request."""

    @abc.abstractmethod
    def states_not_run(self, status: int) -> bool:
        """Tells whether callers take a status for "was not executed"."""

    @abc.abstractmethod
    def is_misdirected(self, reply: http_client.Reply) -> bool:
        """Tells whether another incarnation answered."""

    @abc.abstractmethod
    def is_authentic(self, reply: http_client.Reply) -> bool:
        """Tells whether the answer is from the target and unmodified."""

    @abc.abstractmethod
    def decode_constraints(self, reply: http_client.Reply) -> Constraints:
        """Decodes what the target has stated about further requests."""

    @abc.abstractmethod
    def answer_headers(
        self, reply: http_client.Reply
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers of an answer to forward to the caller."""

    @abc.abstractmethod
    def encode_probe(self, path: str, entry: model.TargetEntry) -> bytes:
        """Encodes a health request."""

    @abc.abstractmethod
    def accept_probe(
        self, entry: model.TargetEntry
    ) -> cabc.Callable[[http_client.Reply], bool]:
        """Returns a predicate that recognises health answers."""

    @abc.abstractmethod
    def decode_health(
        self,
        reply: http_client.Reply,
        entry: model.TargetEntry,
        taken_s: float,
    ) -> Reading | None:
        """Decodes a health answer.

        Args:
            reply: The answer.
            entry: The target that was probed.
            taken_s: Loop time at which the probe was sent, in seconds.

        Returns:
            The reading, or None if another incarnation answered.
        """

    @abc.abstractmethod
    def decode_load(
        self,
        reply: http_client.Reply,
        entry: model.TargetEntry,
        taken_s: float,
    ) -> Reading | None:
        """Decodes the load headers of the answer to a request.

        Args:
            reply: The answer.
            entry: The target that answered.
            taken_s: Loop time at which the answer arrived, in seconds.

        Returns:
            The reading, or None if the answer has no load headers.
        """
