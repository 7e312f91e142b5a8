"""Follows answers that are passed on while they arrive to their end.

What an answer means is decided by its head. Once that has been passed on, the
request can't be sent again: if the body breaks off, the connection of the
caller ends, too, and the failure counts against the target.
"""

import asyncio
from collections import abc

from ragwortchute import errors
from ragwortchute.gateway import attempts
from ragwortchute.gateway import request_log as request_log_
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.http import pools
from ragwortchute.gateway.selection import crash_checks
from ragwortchute.gateway.selection import crash_guard
from ragwortchute.gateway.selection import measurements as measurements_
from ragwortchute.gateway.selection import targets as targets_


class StreamedAnswers:
    """Follows the answers of targets.

    Args:
        request_log: Log of requests.
        checks: Checks whether a target crashed.
        note_failure: Counts a failure of a target, with a weight.
        measurements: Records durations.
    """

    __slots__ = ('_checks', '_measurements', '_note_failure', '_request_log')

    def __init__(
        self,
        request_log: request_log_.RequestLog,
        checks: crash_checks.CrashChecks,
        note_failure: abc.Callable[[targets_.Target, float], None],
        measurements: measurements_.Measurements,
    ) -> None:
        self._request_log = request_log
        self._checks = checks
        self._note_failure = note_failure
        self._measurements = measurements

    def follow(
        self,
        call: attempts.Call,
        attempt: attempts.Attempt,
        reply: http_client.Reply,
    ) -> None:
        """Follows the answer to an attempt, unless it is complete.

        Args:
            call: The request.
            attempt: The attempt; its connection goes back to the pool.
            reply: The answer.
        """
        if reply.rest is None:
            return
        target = attempt.target
        # Computed now, as the body is dropped before the answer ends and a
        # failure is reported by the hash.
        crash_guard.digest(call.req)

        def end(error: errors.TargetError | None) -> None:
            target.pool.release(attempt.conn)
            now_s = asyncio.get_running_loop().time()
            self._measurements.note_end(call, attempt, now_s)
            if error is None:
                return
            self._note_failure(target, 1.0)
            self._request_log.log_broken_answer(call, target.entry.name, error)
            self._checks.check(call, attempt)

        reply.rest.begin(
            call.deadline_s, end, ends_with_caller=call.route.idempotent
        )


def follow_relay(
    call: attempts.Call,
    reply: http_client.Reply,
    pool: pools.Pool,
    conn: http_client.ClientConnection,
    log_broken: abc.Callable[[errors.TargetError], None],
) -> None:
    """Follows the answer of another host, unless it is complete.

    Args:
        call: The request.
        reply: The answer.
        pool: Pool of the connection, to which it goes back.
        conn: Connection to the host.
        log_broken: Logs that the answer was broken off.
    """
    if reply.rest is None:
        pool.release(conn)
        return

    def end(error: errors.TargetError | None) -> None:
        pool.release(conn)
        if error is not None:
            log_broken(error)

    reply.rest.begin(
        call.deadline_s, end, ends_with_caller=call.route.idempotent
    )
