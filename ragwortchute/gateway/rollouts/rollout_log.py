"""Log lines of rollouts with the evidence behind them."""

from ragwortchute.gateway import eventlog
from ragwortchute.gateway.rollouts import coordinator
from ragwortchute.gateway.rollouts import phases
from ragwortchute.gateway.rollouts import records
from ragwortchute.gateway.rollouts import service_state

# Greater ages, and those of what was never known, are logged as this.
_MAX_LOGGED_AGE_S = 1000.0


def log_decision(
    log: eventlog.EventLog,
    state: service_state.ServiceState,
    step: phases.Step,
    situation: phases.Situation,
    known: coordinator.Coordinator,
    now_s: float,
) -> None:
    """Logs a decision and the evidence for it.

    Args:
        log: Event log.
        state: The rollout as this host follows it.
        step: The step that was decided.
        situation: What it depended on.
        known: Evidence of all hosts.
        now_s: Loop time in seconds.
    """
    verdict = situation.verdict
    log.event(
        'rollout-decision',
        service=state.service,
        version=state.record.version,
        phase=step.phase.name.lower(),
        reason=step.reason,
        age_s=round(state.age_s(now_s), 2),
        responses=verdict.responses,
        failed=verdict.failed,
        slow=verdict.slow,
        late_responses=verdict.late_responses,
        old_responses=verdict.old_responses,
        old_failed=verdict.old_failed,
        log_ratio=round(verdict.log_ratio, 1),
        share=round(known.canary_share(), 4),
        evidence_age_s=_rounded_age_s(known.evidence_age_s(now_s)),
    )


def log_phase(
    log: eventlog.EventLog,
    state: service_state.ServiceState,
    confirmed_s: float,
    now_s: float,
) -> None:
    """Logs the phase that this host follows from now on.

    Args:
        log: Event log.
        state: The rollout as this host follows it.
        confirmed_s: Loop time until which the record is confirmed.
        now_s: Loop time in seconds.
    """
    record = state.record
    log.event(
        'rollout',
        service=record.service,
        version=record.version,
        phase=record.phase.name.lower(),
        revision=record.revision,
        age_s=round(state.age_s(now_s), 2),
        requests=state.exposure.requests,
        canary_sends=state.exposure.canary_sends,
        confirmed_age_s=_rounded_age_s(now_s - confirmed_s),
    )


def _rounded_age_s(age_s: float) -> float:
    return round(min(age_s, _MAX_LOGGED_AGE_S), 2)


def log_problem(log: eventlog.EventLog, record: records.Record) -> None:
    """Logs why an order can't be carried out."""
    log.event(
        'rollout-refused',
        service=record.service,
        version=record.version,
        problem=record.problem,
        revision=record.revision,
    )
