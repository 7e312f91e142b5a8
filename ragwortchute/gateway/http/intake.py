"""Checks a request before it is sent anywhere.

A request is served only if this host has read the store, its configuration is
recent enough and has a route for it. If the configuration has organisations, a
request needs a key of one of them unless its route is public.
"""

import asyncio
from collections import abc
import random

from ragwortchute.gateway import answers as answers_
from ragwortchute.gateway import attempts
from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import host_state
from ragwortchute.gateway import organisations
from ragwortchute.gateway import request_log as request_log_
from ragwortchute.gateway import routing
from ragwortchute.gateway import stats as stats_
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.organisations import identity as identity_
from ragwortchute.gateway.selection import crash_guard as crash_guard_

# The final answer is sent this long before the deadline of the caller.
ANSWER_MARGIN_S = 0.004
# For this long after its start, a host makes requests wait until it has read
# the store. After a power failure all hosts start at the same time, and most
# callers try only one other host after a refusal.
STARTUP_WAIT_S = 0.6
# Named to callers that this host can't serve yet; others may.
_RETRY_AFTER_S = 0.2
# Named where route and organisation have no home in common, which only another
# configuration can change.
_NO_HOME_RETRY_AFTER_S = 1.0


class Intake:
    """Turns requests into calls or refuses them.

    Args:
        state: Configuration and targets.
        dialect: Protocol of callers.
        crash_guard: Blocks requests that crash targets.
        is_outdated: Returns whether a newer configuration must be in force.
        identity: Identifies the organisations of requests.
        quotas: Quotas of organisations, None if there are none.
        answers: Builds refusals.
        request_log: Log of requests.
        stats: Counters.
        rng: Source of randomness.
    """

    __slots__ = (
        '_answers',
        '_crash_guard',
        '_dialect',
        '_identity',
        '_is_outdated',
        '_loop',
        '_quotas',
        '_request_log',
        '_rng',
        '_started_s',
        '_state',
        '_stats',
    )

    def __init__(
        self,
        state: host_state.HostState,
        dialect: dialects.Dialect,
        crash_guard: crash_guard_.CrashGuard,
        is_outdated: abc.Callable[[], bool],
        identity: identity_.Identity,
        quotas: organisations.Quotas | None,
        answers: answers_.Answers,
        request_log: request_log_.RequestLog,
        stats: stats_.Stats,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._dialect = dialect
        self._crash_guard = crash_guard
        self._is_outdated = is_outdated
        self._identity = identity
        self._quotas = quotas
        self._answers = answers
        answers.on_not_run = self._give_back
        self._request_log = request_log
        self._stats = stats
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
            if not relayed and not self._identity.may_refuse_route():
                return self._refuse(req, 'unconfirmed-route')
            return self._answer_not_found(req, 'no-route')
        caller = self._identity.identify(req, route, relayed=relayed)
        if caller == identity_.RELAY_MISMATCH:
            # The host that relayed it sends it to a target itself.
            return self._answer_not_found(req, caller)
        if isinstance(caller, str):
            return self._refuse(req, caller)
        blocked_s = self._crash_guard.blocked_s(req, self._loop.time())
        if blocked_s > 0:
            return self._answers.refuse(
                req,
                'crashes-targets',
                blocked_s,
                organisation=caller.organisation,
            )
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
        reason = self._identity.assign(call, caller)
        if call.key:
            self._stats.organisation_requests.add(call.organisation.name)
        if reason:
            return self._answers.give_up(call, reason, _NO_HOME_RETRY_AFTER_S)
        if relayed and self.is_outside_homes(call):
            # The host that relayed it has a different configuration.
            return self._refuse(req, identity_.RELAY_MISMATCH)
        wait_s = self._spend_credit(call)
        if wait_s > 0:
            return self._answers.give_up(call, answers_.OVER_QUOTA, wait_s)
        return call

    def refuse_early(
        self, req: http_messages.Request
    ) -> http_messages.Response | None:
        """Returns the refusal of a request whose body has not been read.

        Args:
            req: The request without its body. Its headers may change.

        Returns:
            The refusal, or None if its head gives no reason for one.
        """
        state = self._state
        if not state.complete or state.cfg.organisations is None:
            return None
        route = state.table.match(req.host, req.path)
        if route is None:
            return None
        caller = self._identity.identify(req, route, relayed=False)
        if isinstance(caller, str):
            return self._refuse(req, caller)
        return self._refuse_over_quota(req, caller)

    def recheck(self, call: attempts.Call) -> str:
        """Returns why a request must not be sent any more, empty if it may."""
        return self._identity.recheck(call)

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

    def _spend_credit(self, call: attempts.Call) -> float:
        """Spends credit of an organisation for a request.

        Only the first host that reads the request does so.

        Returns:
            0.0 if it is admitted, else the time in seconds until credit is
            expected.
        """
        if self._quotas is None or not call.key:
            return 0.0
        now_s = self._loop.time()
        wait_s = self._quotas.admit(call.organisation, now_s)
        call.has_credit = wait_s <= 0
        return wait_s

    def _give_back(self, call: attempts.Call) -> None:
        """Returns the credit of a request that has not run."""
        if call.has_credit:
            call.has_credit = False
            self._quotas.give_back(call.organisation, self._loop.time())

    def _refuse_over_quota(
        self, req: http_messages.Request, caller: identity_.Caller
    ) -> http_messages.Response | None:
        """Refuses a request for which there is no credit now.

        The credit is spent once its body has been read.
        """
        if self._quotas is None or caller.organisation is None:
            return None
        now_s = self._loop.time()
        wait_s = self._quotas.admit(caller.organisation, now_s)
        if wait_s <= 0:
            self._quotas.give_back(caller.organisation, now_s)
            return None
        self._stats.organisation_requests.add(caller.organisation.name)
        return self._answers.refuse(
            req, answers_.OVER_QUOTA, wait_s, organisation=caller.organisation
        )

    def _answer_not_found(
        self, req: http_messages.Request, reason: str
    ) -> http_messages.Response:
        request_id = self._dialect.request_id(req)
        self._request_log.log_answer(request_id, 404, reason, 0, req.arrived_s)
        return http_messages.Response(404)

    def _refuse(
        self, req: http_messages.Request, reason: str
    ) -> http_messages.Response:
        return self._answers.refuse(req, reason, _RETRY_AFTER_S)
