"""Decides when a hedge pays: a second send while the first one is running."""

from ragwortchute.gateway import attempts
from ragwortchute.gateway.selection import candidates

# A hedge is sent once an answer takes longer than this share of the latency
# objective and longer than this many times the expected time.
AFTER_OBJECTIVES = 0.4
AFTER_EXPECTED = 1.4


def delay_s(
    call: attempts.Call, outstanding: list[attempts.Attempt], now_s: float
) -> float:
    """Returns the time until a hedge is due; infinite if none may be.

    Args:
        call: The request.
        outstanding: Its attempts without an answer.
        now_s: Loop time in seconds.
    """
    if (
        call.hedge_decided
        or not call.route.idempotent
        or len(outstanding) != 1
        or call.sends >= call.route.attempts
    ):
        return float('inf')
    attempt = outstanding[0]
    after_s = max(
        call.route.objective_s * AFTER_OBJECTIVES,
        attempt.placement.expected_s * AFTER_EXPECTED,
    )
    return attempt.sent_s + after_s - now_s


def may_help(
    call: attempts.Call,
    first: attempts.Attempt,
    placed: candidates.Placement,
    now_s: float,
) -> bool:
    """Returns whether a hedge may answer in time.

    Args:
        call: The request.
        first: The attempt that is running.
        placed: Target that was selected for the hedge.
        now_s: Loop time in seconds.
    """
    remaining_s = call.deadline_s - now_s
    return (
        not first.fut.done()
        and not call.req.disconnected.done()
        and placed.expected_s < min(remaining_s, call.route.objective_s)
    )
