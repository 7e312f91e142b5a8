"""Final answers to callers: those of targets, failures and refusals.

A refusal with status 503 guarantees that the request has not been executed.
Where that is uncertain, the status is 502 or 504. That holds also for the
answer of a target that has executed a request and returns such a status.
"""

import asyncio
from collections import abc
import random

from ragwortchute.gateway import attempts
from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import model
from ragwortchute.gateway import request_log as request_log_
from ragwortchute.gateway import stats as stats_
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.organisations import identity
from ragwortchute.gateway.selection import candidates

MIN_RETRY_AFTER_S = 0.05
# Longer estimates are capped, as the load may change within this time.
MAX_RETRY_AFTER_S = 1.0
# Times named to callers are spread over this range of factors, so that callers
# don't return at the same time.
MIN_SPREAD = 0.75
MAX_SPREAD = 1.25
OVER_QUOTA = 'over-quota'

_UNAUTHORISED = 401
# Refusals with another status than 503. All state that a request has not run.
_STATUSES = {
    identity.UNKNOWN_KEY: _UNAUTHORISED,
    identity.KEY_WITHDRAWN: _UNAUTHORISED,
    OVER_QUOTA: 429,
}


class Answers:
    """Builds, logs and counts final answers.

    Args:
        dialect: Protocol of callers and targets.
        request_log: Log of requests.
        stats: Counters.
        rng: Source of randomness.

    Attributes:
        on_not_run: Called with a request that is answered by a refusal which
            states that it has not run.
    """

    __slots__ = (
        '_dialect',
        '_loop',
        '_request_log',
        '_rng',
        '_stats',
        'on_not_run',
    )

    def __init__(
        self,
        dialect: dialects.Dialect,
        request_log: request_log_.RequestLog,
        stats: stats_.Stats,
        rng: random.Random,
    ) -> None:
        self._dialect = dialect
        self._request_log = request_log
        self._stats = stats
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self.on_not_run: abc.Callable[[attempts.Call], None] = lambda _: None

    def deliver(
        self, call: attempts.Call, reply: http_client.Reply, now_s: float
    ) -> http_messages.Response:
        """Returns the answer of a target that has executed a request.

        Args:
            call: The request.
            reply: The answer.
            now_s: Loop time in seconds.
        """
        if self._dialect.states_not_run(reply.status):
            # The caller would send it again, and it would run twice.
            reply.discard_rest()
            return self._fail(call, 502, f'executed-{reply.status}')
        elapsed_s = now_s - call.req.arrived_s
        self._stats.count_answer(call.route.name, elapsed_s)
        self._request_log.log_answer(
            call.request_id,
            reply.status,
            'answer',
            call.sends,
            call.req.arrived_s,
            call.organisation,
            call,
        )
        return self._pass_on(reply)

    def pass_on_refusal(
        self, call: attempts.Call, reply: http_client.Reply
    ) -> http_messages.Response:
        """Returns the refusal of a host that a request was relayed to.

        Args:
            call: The request.
            reply: Answer of that host.
        """
        self._count_refusal('relay', call.req, call.organisation)
        self._request_log.log_answer(
            call.request_id,
            reply.status,
            'relay',
            1,
            call.req.arrived_s,
            call.organisation,
            call,
        )
        if reply.status == _UNAUTHORISED or self._dialect.states_not_run(
            reply.status
        ):
            self.on_not_run(call)
        return self._pass_on(reply)

    def _pass_on(self, reply: http_client.Reply) -> http_messages.Response:
        return http_messages.Response(
            reply.status,
            self._dialect.answer_headers(reply),
            reply.body,
            rest=reply.rest,
        )

    def give_up(
        self, call: attempts.Call, reason: str, wait_s: float = 0.0
    ) -> http_messages.Response:
        """Returns the final answer to a request that can't be served.

        Args:
            call: The request.
            reason: Refusal reason.
            wait_s: Time in seconds after which the caller may retry.
        """
        if call.last_failure is not None:
            return self.deliver(call, call.last_failure, self._loop.time())
        if reason == 'deadline' and call.sends:
            status = 504
        elif call.maybe_executed or (call.sends and reason == 'caller-gone'):
            status = 502
        else:
            self.on_not_run(call)
            self._stats.count_refused_priority(reason, call.priority)
            return self.refuse(
                call.req, reason, wait_s, call.sends, call.organisation, call
            )
        return self._fail(call, status, reason)

    def _fail(
        self, call: attempts.Call, status: int, reason: str
    ) -> http_messages.Response:
        """Returns an answer that does not tell whether a request has run."""
        self._request_log.log_answer(
            call.request_id,
            status,
            reason,
            call.sends,
            call.req.arrived_s,
            call.organisation,
            call,
        )
        self._count_refusal(reason, call.req, call.organisation)
        return http_messages.Response(status)

    def refuse(
        self,
        req: http_messages.Request,
        reason: str,
        wait_s: float,
        sends: int = 0,
        organisation: model.Organisation | None = None,
        call: attempts.Call | None = None,
    ) -> http_messages.Response:
        """Returns an answer stating that a request has not been executed.

        Args:
            req: The request.
            reason: Refusal reason.
            wait_s: Time in seconds after which the caller may retry. It is
                randomised so that callers don't retry at the same time.
            sends: Number of targets that it was sent to and that rejected it.
            organisation: Organisation of the caller, None if none is known.
            call: The same request, None if it has no route yet.
        """
        status = _STATUSES.get(reason, 503)
        wait_s = max(MIN_RETRY_AFTER_S, wait_s)
        wait_s *= self._rng.uniform(MIN_SPREAD, MAX_SPREAD)
        self._request_log.log_answer(
            self._dialect.request_id(req),
            status,
            reason,
            sends,
            req.arrived_s,
            organisation,
            call,
        )
        self._count_refusal(reason, req, organisation)
        if status == _UNAUTHORISED:
            return http_messages.Response(status)
        return http_messages.Response(
            status, [http_messages.retry_after(wait_s)]
        )

    def _count_refusal(
        self,
        reason: str,
        req: http_messages.Request,
        organisation: model.Organisation | None,
    ) -> None:
        self._stats.count_refusal(reason)
        # The host that relayed a request counts its refusal, too.
        if organisation is not None and not req.organisation:
            self._stats.organisation_refusals.add(organisation.name)


def retry_after_s(refused: candidates.NoPlacement) -> float:
    """Returns the time that is named to a caller before it is spread.

    An estimate is capped. What targets have asked for is not, and callers must
    not return earlier.
    """
    if refused.stated:
        return refused.wait_s / MIN_SPREAD
    if refused.reason == candidates.NO_ROOM:
        # A caller that can't come back in time must learn it now.
        return refused.wait_s
    return min(MAX_RETRY_AFTER_S, refused.wait_s)
