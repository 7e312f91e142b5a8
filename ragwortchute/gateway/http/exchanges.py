"""Pending requests on a connection of a caller, and what remains of them."""

import asyncio
from collections import abc

import msgspec

from ragwortchute.gateway.http import body_budget
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.resources import account

# Longest part of a request target that is kept for the log.
MAX_TARGET_CHARS = 256
# Memory of an exchange and its response beside the bytes of the latter.
EXCHANGE_BYTES = 1 << 10


class Exchange:
    """A pending request on a connection.

    The request itself is not kept longer than its handler needs it: its
    response may have to wait for those of earlier requests.

    Attributes:
        target: Beginning of the target of the request; empty if it was
            rejected before it was complete.
        arrived_s: Loop time at which the request was complete.
        accepts_chunks: Whether the caller understands a response in chunks.
        response: The response, None until the handler returns it.
        task: Task that runs the handler, None before it starts.
        waiting: The request and the memory of its body while its handler waits
            for those of earlier requests, else None.
        held_bytes: Memory that the request or its response takes.
        has_answer_memory: Whether memory is reserved for a response that has to
            wait for others.
    """

    __slots__ = (
        'accepts_chunks',
        'arrived_s',
        'has_answer_memory',
        'held_bytes',
        'response',
        'target',
        'task',
        'waiting',
    )

    def __init__(
        self, req: http_messages.Request | None = None, held_bytes: int = 0
    ) -> None:
        self.target = '' if req is None else req.target[:MAX_TARGET_CHARS]
        self.arrived_s = 0.0 if req is None else req.arrived_s
        self.accepts_chunks = req is not None and req.accepts_chunks
        self.response: http_messages.Response | None = None
        self.task: asyncio.Task[None] | None = None
        self.waiting: (
            tuple[http_messages.Request, body_budget.Reservation] | None
        ) = None
        self.held_bytes = held_bytes
        self.has_answer_memory = False


def response_bytes(resp: http_messages.Response) -> int:
    """Returns the memory of an exchange with a response.

    A body that is arriving is not part of it.
    """
    return (
        EXCHANGE_BYTES
        + len(resp.body)
        + sum(
            len(name) + len(value) + account.HEADER_BYTES
            for name, value in resp.headers
        )
    )


class _Pending(msgspec.Struct, frozen=True):
    """A request without a response, and its age in seconds."""

    target: str
    age_s: float


class Cut(msgspec.Struct, frozen=True):
    """What a connection has not finished when its host ends it.

    Attributes:
        pending: Requests without a response.
        incomplete: Whether a request has been read in part.
        unsent_bytes: Bytes of responses that the kernel has not taken.
        unacknowledged_bytes: Further bytes that the caller's machine has not
            acknowledged.
        unread: Whether the caller may not have read its responses: it sends
            before it has read them, and has not closed.
    """

    pending: list[_Pending]
    incomplete: bool
    unsent_bytes: int
    unacknowledged_bytes: int
    unread: bool


def describe_pending(
    exchanges: abc.Iterable[Exchange], now_s: float
) -> list[_Pending]:
    """Describes the pending requests.

    Args:
        exchanges: Pending requests.
        now_s: Loop time in seconds.
    """
    return [
        _Pending(exchange.target, now_s - exchange.arrived_s)
        for exchange in exchanges
        if exchange.target
    ]
