"""A request on its way, and its attempts at targets."""

import asyncio

from ragwortchute.gateway import candidates
from ragwortchute.gateway import http_client
from ragwortchute.gateway import http_server
from ragwortchute.gateway import model
from ragwortchute.gateway import targets as targets_


class Call:
    """A request on its way.

    Attributes:
        maybe_run: Whether a target may have run it.
        sends: Number of targets that it was sent to.
        failure: Last answer of a target that was not a success.
        hedged: Whether a hedge was sent or decided against.
    """

    __slots__ = (
        'deadline_s',
        'failure',
        'hedged',
        'maybe_run',
        'req',
        'request_id',
        'route',
        'sends',
        'service',
        'tried',
    )

    def __init__(
        self,
        req: http_server.Request,
        request_id: bytes,
        route: model.Route,
        service: str,
        deadline_s: float,
    ) -> None:
        self.req = req
        self.request_id = request_id
        self.route = route
        self.service = service
        self.deadline_s = deadline_s
        self.hedged = False
        self.maybe_run = False
        self.sends = 0
        self.failure: http_client.Reply | None = None
        self.tried: set[str] = set()


class Attempt:
    """A request at one target.

    Attributes:
        placement: The target, and what it said when it was chosen.
        conn: Connection that carries the request.
        fut: Future of the answer.
        sent_s: Loop time of the sending.
    """

    __slots__ = ('conn', 'fut', 'placement', 'sent_s')

    def __init__(
        self,
        placement: candidates.Placement,
        fut: asyncio.Future[http_client.Reply],
        sent_s: float,
    ) -> None:
        self.placement = placement
        self.conn = placement.conn
        self.fut = fut
        self.sent_s = sent_s

    @property
    def target(self) -> targets_.Target:
        """The target."""
        return self.placement.target
