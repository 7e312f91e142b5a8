"""State of a request and of its attempts."""

import asyncio

from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.selection import candidates
from ragwortchute.gateway.selection import targets as targets_


class Call:
    """A caller's request while it is being processed.

    Args:
        req: The request.
        request_id: Identity of the request, empty if it has none.
        route: Route of the request.
        service: Service whose targets may process it.
        deadline_s: Loop time at which the answer is due, in seconds.
        organisation: Organisation of the caller, None if it needs none.

    Attributes:
        answered_by: Name of the target whose answer is delivered, empty if
            there is none.
        cfg: Configuration by which its caller was identified last.
        key: Key of the caller, empty if this host has not looked one up.
        added_headers: Headers that its targets get beside those of the caller.
        has_credit: Whether it has spent credit of its organisation.
        homes: Regions that may serve it; empty allows all.
        priority: Priority under overload; 0 is the highest.
        hedge_decided: Whether a hedge was sent or decided against.
        maybe_executed: Whether a target may have executed the request.
        sends: Number of targets or hosts that it was sent to.
        last_failure: Last answer of a target with a server error.
        tried_targets: Names of the targets that it was sent to.
        waited_s: Time for which it waited for room, in seconds.
    """

    __slots__ = (
        'added_headers',
        'answered_by',
        'cfg',
        'deadline_s',
        'has_credit',
        'hedge_decided',
        'homes',
        'key',
        'last_failure',
        'maybe_executed',
        'organisation',
        'priority',
        'req',
        'request_id',
        'route',
        'sends',
        'service',
        'tried_targets',
        'waited_s',
    )

    def __init__(
        self,
        req: http_messages.Request,
        request_id: bytes,
        route: model.Route,
        service: str,
        deadline_s: float,
        organisation: model.Organisation | None = None,
    ) -> None:
        self.req = req
        self.request_id = request_id
        self.route = route
        self.service = service
        self.deadline_s = deadline_s
        self.organisation = organisation
        self.cfg: model.Configuration | None = None
        self.key = ''
        self.added_headers: tuple[tuple[bytes, bytes], ...] = ()
        self.has_credit = False
        self.homes = route.homes
        self.priority = route.priority
        self.answered_by = ''
        self.hedge_decided = False
        self.maybe_executed = False
        self.sends = 0
        self.last_failure: http_client.Reply | None = None
        self.tried_targets: set[str] = set()
        self.waited_s = 0.0


class Attempt:
    """One send of a request to a target.

    Attributes:
        placement: The target and its state when it was selected.
        conn: Connection that carries the request.
        fut: Future of the answer.
        sent_s: Loop time at which the request was sent, in seconds.
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
        """The target that the request was sent to."""
        return self.placement.target


async def wait_any(
    call: Call, outstanding: list[Attempt], wait_s: float
) -> None:
    """Waits for the end of an attempt or until the caller is gone.

    The latter counts for idempotent requests only: others are finished.

    Args:
        call: The request.
        outstanding: Its attempts without an answer.
        wait_s: Longest wait in seconds.
    """
    futs: set[asyncio.Future] = {item.fut for item in outstanding}
    if call.route.idempotent:
        futs.add(call.req.disconnected)
    await asyncio.wait(
        futs,
        timeout=max(0.0, wait_s),
        return_when=asyncio.FIRST_COMPLETED,
    )
