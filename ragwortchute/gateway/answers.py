"""Final answers to callers: those of targets, failures and refusals.

A refusal with status 503 guarantees that the request has not been executed.
Where that is uncertain, the status is 502 or 504. That holds also for the
answer of a target that has executed a request and returns such a status.
"""

import asyncio
import random

from ragwortchute.gateway import attempts
from ragwortchute.gateway import candidates
from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import http_client
from ragwortchute.gateway import http_messages
from ragwortchute.gateway import request_log as request_log_
from ragwortchute.gateway import stats as stats_

MIN_RETRY_AFTER_S = 0.05
# Longer estimates are capped, as the load may change within this time.
MAX_RETRY_AFTER_S = 1.0
# Times named to callers are spread over this range of factors, so that callers
# don't return at the same time.
MIN_SPREAD = 0.75
MAX_SPREAD = 1.25


class Answers:
    """Builds, logs and counts final answers.

    Args:
        dialect: Protocol of callers and targets.
        request_log: Log of requests.
        stats: Counters.
        rng: Source of randomness.
    """

    __slots__ = ('_dialect', '_loop', '_request_log', '_rng', '_stats')

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
        self._stats.count_refusal('relay')
        self._request_log.log_answer(
            call.request_id, reply.status, 'relay', 1, call.req.arrived_s, call
        )
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
            self._stats.count_refused_priority(reason, call.priority)
            return self.refuse(call.req, reason, wait_s, call.sends, call)
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
            call,
        )
        self._stats.count_refusal(reason)
        return http_messages.Response(status)

    def refuse(
        self,
        req: http_messages.Request,
        reason: str,
        wait_s: float,
        sends: int = 0,
        call: attempts.Call | None = None,
    ) -> http_messages.Response:
        """Returns an answer stating that a request has not been executed.

        Args:
            req: The request.
            reason: Refusal reason.
            wait_s: Time in seconds after which the caller may retry. It is
                randomised so that callers don't retry at the same time.
            sends: Number of targets that it was sent to and that rejected it.
            call: The same request, None if it has no route yet.
        """
        wait_s = max(MIN_RETRY_AFTER_S, wait_s)
        wait_s *= self._rng.uniform(MIN_SPREAD, MAX_SPREAD)
        self._request_log.log_answer(
            self._dialect.request_id(req),
            503,
            reason,
            sends,
            req.arrived_s,
            call,
        )
        self._stats.count_refusal(reason)
        return http_messages.Response(503, [http_messages.retry_after(wait_s)])


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
