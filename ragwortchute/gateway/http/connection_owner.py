"""What a connection of a caller needs of the listener that accepted it."""

import asyncio
from collections import abc
import typing

from ragwortchute.gateway import eventlog
from ragwortchute.gateway import model
from ragwortchute.gateway.http import body_budget
from ragwortchute.gateway.http import pipeline
from ragwortchute.gateway.http import request_reader
from ragwortchute.gateway.resources import account as account_


class Owner(typing.Protocol):
    """The listener.

    Attributes:
        handler: Returns the response to a request.
        refuse_early: Returns the refusal of a request whose body has not been
            read, None if the head gives no reason for one.
        limits: Returns the current limits on requests.
        log: Event log.
        name: Name of the listener in the log.
        bodies: Memory for long bodies.
        account: Account of memory and connections.
        essential: Whether its connections may take reserved descriptors.
        draining: Whether connections are closed after their last response.
        connections: Open connections.
    """

    handler: pipeline.Handler
    refuse_early: request_reader.EarlyRefusal
    limits: abc.Callable[[], model.Limits]
    log: eventlog.EventLog
    name: str
    bodies: body_budget.BodyBudget
    account: account_.Account
    essential: bool
    draining: bool
    connections: set[asyncio.BufferedProtocol]

    def notify_finished(self) -> None:
        """Notes that a connection has ended."""
