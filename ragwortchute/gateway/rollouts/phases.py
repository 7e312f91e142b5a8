"""State machine of a rollout, without I/O.

Times are shares of the time that the order gives. For 15 s: the version is
observed for 7.2 s and with more requests for up to 2.3 s, all requests move
within 0.5 s, and the last of them end at old targets 4 s later.
"""

import msgspec

from ragwortchute.gateway.rollouts import judgement
from ragwortchute.gateway.rollouts import neighbours
from ragwortchute.gateway.rollouts import records

HALF = 0.5
WIDEN_AT = 0.48
# A version that is clearly good is moved to from the first of these on. If it
# is not clear, more evidence is awaited until the second.
MOVE_FROM = 0.55
DECIDE_BY = 0.63
# The same if silent hosts have to be waited for at the end. Their requests have
# ended 5.5 s after the last phase has begun, which is before 15 s are over.
DECIDE_SILENT_BY = 0.6
# With fewer responses than this, as the targets have started late or the
# service has few requests, the decision waits until the second of these times.
ENOUGH_RESPONSES = 60
DECIDE_FEW_BY = 0.75
# Responses without which a version is not moved to.
MIN_RESPONSES = 5
# Requests that still go to old targets, as new ones are cold, are waited for
# until then.
DRAIN_BY = 0.68
# Shortest time in seconds from `drain` to `succeeded`: hosts that have started
# just before are known to the coordinator by then.
MIN_DRAIN_S = 2.0
# Until then, a host sends to old targets by its contact with a coordinator even
# if nothing confirms the record. Requests of silent hosts must have ended
# before the deadline: at 15 s, by 0.94 of the time.
OLD_BY_CONTACT_UNTIL = 0.6


class Situation(msgspec.Struct, frozen=True):
    """What the next step depends on.

    Attributes:
        record: The record.
        fraction: Age of the order as a share of its time.
        verdict: What the evidence says.
        fresh: Whether the evidence includes recent reports of a third of the
            hosts.
        stopped: Whether another host has found the version to be bad.
        moved: Whether hardly any request needs old targets.
        drained: Whether no request can be running at an old target.
        obstacle: Why there is nothing to judge, empty if there is.
        silent: Whether some hosts are silent.
        old_ready: Whether an old target is ready.
    """

    record: records.Record
    fraction: float
    verdict: judgement.Verdict
    fresh: bool
    stopped: bool
    moved: bool
    drained: bool
    obstacle: str = ''
    silent: bool = False
    old_ready: bool = True


class Step(msgspec.Struct, frozen=True):
    """A step to another phase.

    Attributes:
        phase: The phase.
        reason: Why the order is rolled back, else empty.
    """

    phase: records.Phase
    reason: str = ''


class Write(msgspec.Struct, frozen=True):
    """A status that is to be written.

    Attributes:
        record: The record that it replaces.
        step: The step that it records.
        status: The status.
    """

    record: records.Record
    step: Step
    status: records.Status


def may_have_succeeded(
    known: records.Record | None, unconfirmed_s: float
) -> bool:
    """Returns whether an order may have succeeded since a record was read.

    An order with an outcome, or one that was not known, may have been followed
    by another one that began and ended meanwhile, which takes longer.

    Args:
        known: Last record that was read, None if there was none.
        unconfirmed_s: Time in seconds since it was the newest for certain.
    """
    if known is None or known.ended:
        return unconfirmed_s > neighbours.ISOLATION_S
    return known.phase >= records.Phase.DRAIN or unconfirmed_s > MIN_DRAIN_S


def next_step(now: Situation) -> Step | None:
    """Returns the next step of a rollout, None if none is due."""
    record = now.record
    if record.ended:
        return None
    if record.problem:
        # The outcome must name the version, which may be what can't be read.
        if not record.version:
            return None
        return Step(records.Phase.ROLLED_BACK, record.problem)
    if record.phase == records.Phase.NONE:
        return Step(records.Phase.OBSERVE)
    if now.stopped or now.verdict.bad:
        return Step(
            records.Phase.ROLLED_BACK, now.verdict.bad or 'found-elsewhere'
        )
    if record.phase == records.Phase.DRAIN:
        return Step(records.Phase.SUCCEEDED) if now.drained else None
    if record.phase == records.Phase.MOVE:
        return _drain(now)
    if now.verdict.responses < MIN_RESPONSES:
        if now.fraction >= 1:
            return Step(
                records.Phase.ROLLED_BACK,
                now.obstacle or 'too-little-evidence',
            )
        return None
    if record.phase == records.Phase.OBSERVE:
        return Step(records.Phase.WIDEN) if now.fraction >= WIDEN_AT else None
    return _decide(now)


def _decide(now: Situation) -> Step | None:
    """Returns the decision on a version at the end of its observation."""
    if not now.fresh:
        return None
    enough = (
        now.verdict.responses >= ENOUGH_RESPONSES
        and now.verdict.late_responses >= judgement.MIN_LATE_RESPONSES
    )
    if not (enough or now.old_ready):
        # While no old target is ready, most requests are refused, so that few
        # responses do not mean few requests: a version that has hardly been
        # judged would get all of them after the move.
        if now.fraction >= 1:
            return Step(records.Phase.ROLLED_BACK, 'too-little-evidence')
        return None
    if now.fraction >= MOVE_FROM and now.verdict.good:
        return Step(records.Phase.MOVE)
    decide_by = DECIDE_SILENT_BY if now.silent else DECIDE_BY
    if now.fraction < (decide_by if enough else DECIDE_FEW_BY):
        return None
    if now.verdict.doubtful:
        return Step(records.Phase.ROLLED_BACK, 'doubtful')
    return Step(records.Phase.MOVE)


def _drain(now: Situation) -> Step | None:
    if now.obstacle:
        # Old targets are still needed while the version has no ready one.
        if now.fraction >= 1:
            return Step(records.Phase.ROLLED_BACK, now.obstacle)
        return None
    if now.moved or now.fraction >= DRAIN_BY:
        return Step(records.Phase.DRAIN)
    return None
