"""Log events of individual requests."""

import asyncio

from ragwortchute import errors
from ragwortchute.gateway import attempts
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import host_state
from ragwortchute.gateway import model
from ragwortchute.gateway import stats as stats_
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.selection import candidates
from ragwortchute.gateway.selection import targets as targets_

# Older configurations, and those that were never confirmed, are logged as this.
MAX_LOGGED_AGE_S = 1000.0
# Callers choose the identities of their requests, up to the longest head.
# Lines of 16 KB would exceed the rate of the log by far.
MAX_ID_BYTES = 256


class RequestLog:
    """Logs each decision on a request and the data behind it.

    Args:
        log: Event log.
        state: Source of the configuration revision that is logged.
        stats: Counts failed attempts.
    """

    __slots__ = ('_log', '_loop', '_state', '_stats')

    def __init__(
        self,
        log: eventlog.EventLog,
        state: host_state.HostState,
        stats: stats_.Stats,
    ) -> None:
        self._log = log
        self._state = state
        self._stats = stats
        self._loop = asyncio.get_running_loop()

    def log_send(self, call: attempts.Call, attempt: attempts.Attempt) -> None:
        """Logs a send with the state of the target at its selection."""
        placed = attempt.placement
        reading = placed.reading
        self._log.event(
            'send',
            id=_shown(call.request_id),
            target=placed.target.entry.name,
            version=placed.target.entry.software_version,
            n=call.sends,
            asked=placed.probed,
            running=reading.running,
            waiting=reading.waiting,
            slowness=reading.slowness,
            cold_s=reading.cold_s,
            age_ms=round((attempt.sent_s - reading.taken_s) * 1000, 1),
            expected_ms=round(placed.expected_s * 1000),
            revision=self._state.cfg_revision,
            **_crossing_field(placed),
            **_organisation_field(call.organisation),
        )

    def log_answer(
        self,
        request_id: bytes,
        status: int,
        outcome: str,
        sends: int,
        arrived_s: float,
        organisation: model.Organisation | None = None,
        call: attempts.Call | None = None,
    ) -> None:
        """Logs the final answer to a request.

        Args:
            request_id: Identity of the request.
            status: HTTP status of the answer.
            outcome: Reason of a refusal or failure, else `answer`.
            sends: Number of targets or hosts that it was sent to.
            arrived_s: Loop time of the arrival of the request, in seconds.
            organisation: Organisation of the caller, None if there is none.
            call: The request; None if it was refused before it had a route.
        """
        fields: dict[str, object] = {}
        if call is not None:
            fields['priority'] = call.priority
            fields['waited_ms'] = round(call.waited_s * 1000)
        self._log.event(
            'request',
            id=_shown(request_id),
            status=status,
            outcome=outcome,
            sends=sends,
            ms=round((self._loop.time() - arrived_s) * 1000, 1),
            revision=self._state.cfg_revision,
            revision_age_ms=self._configuration_age_ms(),
            **fields,
            **_organisation_field(organisation),
        )

    def _configuration_age_ms(self) -> int | None:
        """Returns for how long the configuration is not confirmed."""
        if self._state.cfg is None:
            return None
        age_s = self._loop.time() - self._state.cfg_confirmed_s
        return round(min(age_s, MAX_LOGGED_AGE_S) * 1000)

    def log_relay(
        self,
        call: attempts.Call,
        host: model.HostEntry,
        outcome: str,
        sent_s: float,
    ) -> None:
        """Logs the end of a relay of a request.

        Args:
            call: The request.
            host: Host that it was relayed to.
            outcome: HTTP status of the answer, or the error.
            sent_s: Loop time at which the relay began, in seconds.
        """
        self._log.event(
            'relay',
            id=_shown(call.request_id),
            to=host.name,
            outcome=outcome,
            ms=round((self._loop.time() - sent_s) * 1000, 1),
        )

    def log_skipped_answer(
        self,
        call: attempts.Call,
        target: targets_.Target,
        reply: http_client.Reply,
    ) -> None:
        """Logs and counts an answer of a target to another request.

        Args:
            call: The request that awaits its answer.
            target: The target.
            reply: The answer.
        """
        self._stats.count_failed_attempt('answer-skipped')
        self._log.event(
            'answer-skipped',
            id=_shown(call.request_id),
            target=target.entry.name,
            status=reply.status,
        )

    def log_broken_answer(
        self, call: attempts.Call, sender: str, error: errors.TargetError
    ) -> None:
        """Logs and counts an answer that broke off while it was passed on.

        Args:
            call: The request.
            sender: Name of the target or host that sent it.
            error: Why it broke off.
        """
        self._stats.count_failed_attempt('answer-broken')
        self._log.event(
            'answer-broken',
            id=_shown(call.request_id),
            sender=sender,
            outcome=type(error).__name__,
            ms=round((self._loop.time() - call.req.arrived_s) * 1000, 1),
            error=str(error),
        )

    def log_failed_attempt(
        self,
        call: attempts.Call,
        attempt: attempts.Attempt,
        outcome: str,
        error: str = '',
    ) -> None:
        """Logs and counts an attempt that failed.

        Args:
            call: The request.
            attempt: The attempt.
            outcome: Kind of failure.
            error: Message of the error, empty if there was none.
        """
        self._stats.count_failed_attempt(outcome)
        self._log.event(
            'attempt',
            id=_shown(call.request_id),
            target=attempt.target.entry.name,
            n=call.sends,
            outcome=outcome,
            ms=round((self._loop.time() - attempt.sent_s) * 1000, 1),
            error=error,
        )


def _shown(request_id: bytes) -> str:
    """Returns the identity of a request as it is logged."""
    return request_id[:MAX_ID_BYTES].decode('latin-1')


def _organisation_field(
    organisation: model.Organisation | None,
) -> dict[str, str]:
    return {} if organisation is None else {'organisation': organisation.name}


def _crossing_field(placed: candidates.Placement) -> dict[str, str]:
    reason = placed.crossing_reason
    return {'left': reason} if reason else {}
