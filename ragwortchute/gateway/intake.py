"""Checks a request before it is sent anywhere.

A request is served only if this host has read the store, its configuration is
recent enough and has a route for it.
"""

import asyncio
from collections import abc
import random

from ragwortchute.gateway import answers as answers_
from ragwortchute.gateway import attempts
from ragwortchute.gateway import crash_guard as crash_guard_
from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import host_state
from ragwortchute.gateway import http_messages
from ragwortchute.gateway import request_log as request_log_
from ragwortchute.gateway import routing

# The final answer is sent this long before the deadline of the caller.
ANSWER_MARGIN_S = 0.004
# For this long after its start, a host makes requests wait until it has read
# the store. After a power failure all hosts start at the same time, and most
# callers try only one other host after a refusal.
STARTUP_WAIT_S = 0.6
# Named to callers that this host can't serve yet; others may.
_RETRY_AFTER_S = 0.2


class Intake:
    """Turns requests into calls or refuses them.

    Args:
        state: Configuration and targets.
        dialect: Protocol of callers.
        crash_guard: Blocks requests that crash targets.
        is_outdated: Returns whether a newer configuration must be in force.
        answers: Builds refusals.
        request_log: Log of requests.
        rng: Source of randomness.
    """

    __slots__ = (
        '_answers',
        '_crash_guard',
        '_dialect',
        '_is_outdated',
        '_loop',
        '_request_log',
        '_rng',
        '_started_s',
        '_state',
    )

    def __init__(
        self,
        state: host_state.HostState,
        dialect: dialects.Dialect,
        crash_guard: crash_guard_.CrashGuard,
        is_outdated: abc.Callable[[], bool],
        answers: answers_.Answers,
        request_log: request_log_.RequestLog,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._dialect = dialect
        self._crash_guard = crash_guard
        self._is_outdated = is_outdated
        self._answers = answers
        self._request_log = request_log
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()

    async def accept(
        self, req: http_messages.Request, *, relayed: bool
    ) -> attempts.Call | http_messages.Response:
        """Returns the call for a request, or the answer that ends it.

        Args:
            req: The request.
            relayed: Whether another host relayed it.
        """
        state = self._state
        if not state.complete and not await self._wait_for_state(req):
            return self._refuse(req, 'no-configuration')
        if self._is_outdated():
            return self._refuse(req, 'outdated-configuration')
        route = state.table.match(req.host, req.path)
        if route is None:
            request_id = self._dialect.request_id(req)
            self._request_log.log_answer(
                request_id, 404, 'no-route', 0, req.arrived_s
            )
            return http_messages.Response(404)
        blocked_s = self._crash_guard.blocked_s(req, self._loop.time())
        if blocked_s > 0:
            return self._answers.refuse(req, 'crashes-targets', blocked_s)
        remaining_s = self._dialect.remaining_s(req)
        if remaining_s is None or remaining_s > route.timeout_s:
            remaining_s = route.timeout_s
        call = attempts.Call(
            req,
            self._dialect.request_id(req),
            route,
            routing.pick_service(route, self._rng),
            req.arrived_s + remaining_s - ANSWER_MARGIN_S,
        )
        if relayed and self.is_outside_homes(call):
            # The host that relayed it has a different configuration.
            return self._refuse(req, 'relay-mismatch')
        return call

    def is_outside_homes(self, call: attempts.Call) -> bool:
        """Returns whether a call may only be served in other regions."""
        return bool(call.homes) and self._state.region not in call.homes

    async def _wait_for_state(self, req: http_messages.Request) -> bool:
        """Waits, shortly after the start, until the store has been read.

        Returns:
            Whether the configuration and targets are complete.
        """
        left_s = self._started_s + STARTUP_WAIT_S - self._loop.time()
        remaining_s = self._dialect.remaining_s(req)
        if remaining_s is not None:
            left_s = min(left_s, remaining_s / 2)
        return await self._state.wait_complete(left_s)

    def _refuse(
        self, req: http_messages.Request, reason: str
    ) -> http_messages.Response:
        return self._answers.refuse(req, reason, _RETRY_AFTER_S)
