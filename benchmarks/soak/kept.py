"""Callers of the soak that keep their connections, and what became of them.

Each host has callers of every kind. They send on the connections that they
have until the process is gone, also while the host stops. The checker knows of
each request whether it ran and whether its caller got a whole answer.
"""

import collections
from collections import abc

import msgspec

from benchmarks.soak import disruptions
from benchmarks.soak import hosts as hosts_
from standins import pipelining
from standins import platform_targets
from standins import uploading

# Bounds that the platform documents.
LOSS_SLACK_S = 0.2
LATE_WORK_SHARE = 1 / 6
LATE_WORK_SENT_S = 3.0
# Planned work lasts this much longer than the grace period.
AFTER_GRACE_S = 1.0
DEADLINE_MS = 8000
# Hosts send their last answer this long before a timeout, at most.
TIMEOUT_MARGIN_S = 0.02
BODY_BYTES = 8192
PAUSE_S = 0.02
# Only this many hosts have callers that read long answers.
READING_HOSTS = 6
_SITE = 'soak.example'
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Route(msgspec.Struct, frozen=True):
    """A route of requests on kept connections.

    Its timeout is the same in all versions of the configuration, so that the
    checker knows it.

    Attributes:
        name: Its path without slashes.
        idempotent: Whether its requests may be repeated.
        work_s: Processing time of a request in seconds; 0 for that of each
            target.
        answer_bytes: Length of an answer.
        timeout_s: Its timeout in seconds.
    """

    name: str
    idempotent: bool = True
    work_s: float = 0.0
    answer_bytes: int = 0
    timeout_s: float = 8.0


SHORT = Route('short', timeout_s=1.0)
LONG = Route('long', work_s=1.5)
LONGER = Route('longer', work_s=4.5)
ONCE = Route('once', False, work_s=2.5)
WIDE = Route('wide', work_s=0.02, answer_bytes=1_000_000)
# Any of the routes of callers that open a connection for each request, with
# the greatest of their timeouts.
CALL = Route('', timeout_s=1.2)
# Routes of the service with long requests.
WORK_ROUTES = (LONG, LONGER, ONCE, WIDE)


class Client(msgspec.Struct, frozen=True):
    """A caller and what its requests may expect.

    Attributes:
        host: The host that it sends to.
        caller: The caller.
        route: The route of its requests.
    """

    host: hosts_.Host
    caller: pipelining.PipeliningCaller | uploading.UploadingCaller
    route: Route


class SentRequest(msgspec.Struct, frozen=True):
    """A request with its host and route."""

    host: hosts_.Host
    route: Route
    req: pipelining.SentRequest


class Execution(msgspec.Struct, frozen=True):
    """An execution of a request on a target."""

    target: str
    run: platform_targets.Run


class Checker:
    """Judges the requests of callers that keep their connections.

    Args:
        hosts: The hosts.
        target_disruptions: Faults of targets by their name.

    Attributes:
        clients: The callers.
        counts: Requests by what became of them.
    """

    def __init__(
        self,
        hosts: list[hosts_.Host],
        target_disruptions: dict[str, disruptions.Disruptions],
    ) -> None:
        self._hosts = hosts
        self._target_disruptions = target_disruptions
        self._cut_off: list[SentRequest] = []
        self.clients: list[Client] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def add_clients(self) -> None:
        """Adds callers of all kinds."""
        for index, host in enumerate(self._hosts):
            self.clients += [
                _pipelining(host, SHORT, 3, pause_s=PAUSE_S),
                _pipelining(host, LONG, 1),
                _pipelining(host, LONGER, 1),
                _uploading(host, 0.0, 0.0),
                _uploading(host, 2.0, 0.3 * index),
            ]
        for host in self._hosts[:READING_HOSTS]:
            self.clients += [
                _pipelining(host, WIDE, 3, bytes_per_s=8e5),
                _pipelining(host, WIDE, 2, bytes_per_s=2e6),
            ]

    def note_cut_off(
        self,
        host: hosts_.Host,
        request_id: str,
        started_s: float,
        ended_s: float,
    ) -> None:
        """Notes a request on a connection of its own that got no answer."""
        req = pipelining.SentRequest(request_id, started_s)
        req.ended_s = ended_s
        # Its host may have closed the listener before it took the connection.
        req.sent = False
        self._cut_off.append(SentRequest(host, CALL, req))

    def stop(self) -> None:
        """Lets the callers send no further requests."""
        for client in self.clients:
            client.caller.stop()

    def check(self, targets: list[platform_targets.TargetServer]) -> list[str]:
        """Judges all requests and returns the violations.

        Args:
            targets: All targets of the run.
        """
        executions = collections.defaultdict(list)
        for target in targets:
            for run in target.runs:
                executions[run.request_id].append(Execution(target.name, run))
        violations = []
        for sent in self._sent_requests():
            ran = executions[sent.req.request_id]
            fault = self._fault(sent, ran)
            if sent.route is CALL and not ran:
                self.counts['calls cut off, not run'] += 1
            if fault:
                violations.append(
                    f'{sent.req.request_id} to {sent.host.name}: {fault}, '
                    f'sent {_describe_stop(sent.host, sent.req)}'
                )
        return violations

    def _sent_requests(self) -> abc.Iterator[SentRequest]:
        for client in self.clients:
            for req in client.caller.requests:
                yield SentRequest(client.host, client.route, req)
        yield from self._cut_off

    def _fault(
        self,
        sent: SentRequest,
        ran: list[Execution],
    ) -> str:
        """Returns what is wrong with a request; empty if nothing is."""
        req, idempotent = sent.req, sent.route.idempotent
        signalled_s = _stop_around(sent.host, req)
        self.counts['requests'] += 1
        excuse = self._excuse(sent, ran, signalled_s)
        if signalled_s is not None:
            self.counts['in stops, excused' if excuse else 'in stops'] += 1
        if len(ran) > 1 and not idempotent:
            return f'ran {len(ran)} times'
        if req.mixed:
            return 'got the answer of another request'
        if req.status in _NOT_RUN_STATUSES and ran and not idempotent:
            return f'answered {req.status}, but ran at {ran[0].target}'
        loss = _loss(req, ran, signalled_s)
        if not loss:
            return ''
        if excuse:
            self.counts[f'lost, {excuse}'] += 1
            return ''
        return loss

    def _excuse(
        self,
        sent: SentRequest,
        ran: list[Execution],
        signalled_s: float | None,
    ) -> str:
        """Returns what excuses a lost request; empty if nothing does."""
        req = sent.req
        since_s = req.sent_s - hosts_.CONTACT_S
        if sent.host.unplanned.overlap(since_s, req.ended_s):
            return 'fault of the host'
        if any(
            self._target_disruptions[execution.target].overlap(
                since_s, req.ended_s
            )
            for execution in ran
            if execution.target in self._target_disruptions
        ):
            return 'fault of the target'
        timeout_s = sent.route.timeout_s - TIMEOUT_MARGIN_S
        if req.ended_s >= req.sent_s + timeout_s:
            return 'timeout'
        if signalled_s is not None and _works_late(req, ran, signalled_s):
            return 'work in the last sixth of the grace period'
        return ''


def _loss(
    req: pipelining.SentRequest,
    ran: list[Execution],
    signalled_s: float | None,
) -> str:
    """Returns how a request was lost; empty if it was not."""
    if not req.complete and ran:
        reason = 'stated to be unread' if req.unread else 'no whole answer'
        return f'ran at {ran[0].target}, {reason}'
    if not req.complete:
        waited_s = req.ended_s - req.sent_s
        is_due = req.sent and not req.behind and waited_s > LOSS_SLACK_S
        return f'not run, no answer for {waited_s:.2f} s' if is_due else ''
    if signalled_s is None or req.stamped:
        return ''
    # The target's own work ends when the host breaks it off.
    if any(execution.run.ended != 'done' for execution in ran):
        return f'broken off at {ran[0].target}, answered {req.status}'
    return ''


def _works_late(
    req: pipelining.SentRequest, ran: list[Execution], signalled_s: float
) -> bool:
    """Returns whether a target works on a request near the end of a stop."""
    end_s = signalled_s + hosts_.GRACE_S
    late_s = end_s - hosts_.GRACE_S * LATE_WORK_SHARE
    return req.sent_s <= signalled_s + LATE_WORK_SENT_S and any(
        execution.run.started_s < end_s and execution.run.ended_s >= late_s
        for execution in ran
    )


def _stop_around(
    host: hosts_.Host, req: pipelining.SentRequest
) -> float | None:
    """Returns the time of the last SIGTERM that a request meets, if any."""
    limit_s = hosts_.GRACE_S + AFTER_GRACE_S
    met = [
        signalled_s
        for signalled_s in host.signalled_s
        if req.sent_s <= signalled_s + limit_s and req.ended_s >= signalled_s
    ]
    return met[-1] if met else None


def _describe_stop(host: hosts_.Host, req: pipelining.SentRequest) -> str:
    signalled_s = _stop_around(host, req)
    if signalled_s is None:
        return f'at {req.sent_s:.2f} s, ended at {req.ended_s:.2f} s, no stop'
    return (
        f'{req.sent_s - signalled_s:.2f} s and ended '
        f'{req.ended_s - signalled_s:.2f} s after SIGTERM'
    )


def _pipelining(
    host: hosts_.Host,
    route: Route,
    depth: int,
    *,
    bytes_per_s: float = 0.0,
    pause_s: float = 0.0,
) -> Client:
    caller = pipelining.PipeliningCaller(
        host.ip,
        host.port,
        _SITE,
        f'/{route.name}/',
        depth,
        bytes_per_s,
        pause_s,
        DEADLINE_MS,
    )
    return Client(host, caller, route)


def _uploading(host: hosts_.Host, body_s: float, delay_s: float) -> Client:
    caller = uploading.UploadingCaller(
        host.ip,
        host.port,
        _SITE,
        f'/{ONCE.name}/',
        BODY_BYTES,
        body_s,
        delay_s,
    )
    return Client(host, caller, ONCE)
