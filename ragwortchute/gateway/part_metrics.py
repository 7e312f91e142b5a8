"""Metrics of parts of a gateway host."""

from ragwortchute import scraping
from ragwortchute.gateway import stats as stats_
from ragwortchute.gateway.locality import locality_part
from ragwortchute.gateway.organisations import quotas as quotas_
from ragwortchute.gateway.resources import account as account_
from ragwortchute.gateway.rollouts import runtime
from ragwortchute.gateway.selection import target_report


def add_refusals(metrics: scraping.Metrics, stats: stats_.Stats) -> None:
    """Adds counters of refusals, failed attempts and organisations."""
    metrics.add_counter(
        'ragwortchute_gateway_refusals_total',
        'Final answers that no target made, by reason.',
        lambda: dict(stats.refusals),
        'reason',
    )
    metrics.add_counter(
        'ragwortchute_gateway_refused_priorities_total',
        'Requests refused without a run, by reason and priority.',
        lambda: dict(stats.refused_priorities),
        'reason_priority',
    )
    metrics.add_counter(
        'ragwortchute_gateway_attempts_total',
        'Attempts without an answer to pass on, by outcome.',
        lambda: dict(stats.attempts),
        'outcome',
    )
    metrics.add_counter(
        'ragwortchute_gateway_organisation_requests_total',
        'Requests by organisation; the largest, and the sum of the rest.',
        stats.organisation_requests.shown,
        'organisation',
    )
    metrics.add_counter(
        'ragwortchute_gateway_organisation_refusals_total',
        'Final answers that no target made, by organisation.',
        stats.organisation_refusals.shown,
        'organisation',
    )


def add_limits(metrics: scraping.Metrics, account: account_.Account) -> None:
    """Adds metrics of limits on callers."""
    metrics.add_counter(
        'ragwortchute_gateway_limited_total',
        'Requests refused and connections closed at a limit, by limit.',
        lambda: dict(account.shed),
        'limit',
    )
    for name, help_text, read_value in (
        (
            'ragwortchute_gateway_request_bytes',
            'Memory of requests and of responses that are not taken.',
            lambda: account.held_bytes,
        ),
        (
            'ragwortchute_gateway_accepted_connections',
            'Connections accepted from callers and other hosts.',
            lambda: len(account.connections),
        ),
        (
            'ragwortchute_gateway_target_connections',
            'Connections to targets and other hosts.',
            lambda: account.upstream.used,
        ),
    ):
        metrics.add_gauge(
            name,
            help_text,
            read_value,
        )


def add_targets(
    metrics: scraping.Metrics, report: target_report.TargetReport
) -> None:
    """Adds gauges of what targets have said."""
    metrics.add_gauge(
        'ragwortchute_gateway_target_limit_per_second',
        'Requests per second that a target takes from all hosts.',
        report.limits_per_s,
        'target',
    )
    metrics.add_gauge(
        'ragwortchute_gateway_target_pause_seconds',
        'Time for which a target wants no request from this host.',
        report.pauses_s,
        'target',
    )
    metrics.add_gauge(
        'ragwortchute_gateway_target_leaving',
        'Targets that have said that they leave.',
        report.leaving,
        'target',
    )


def add_quotas(metrics: scraping.Metrics, quotas: quotas_.HostQuotas) -> None:
    """Adds metrics of the quotas of organisations."""
    for name, help_text, read_value in (
        (
            'ragwortchute_gateway_quota_admitted_total',
            'Requests admitted under a quota.',
            lambda: quotas.admitted,
        ),
        (
            'ragwortchute_gateway_quota_refused_total',
            'Requests refused over a quota.',
            lambda: quotas.refused,
        ),
        (
            'ragwortchute_gateway_quota_refused_alone_total',
            'Requests refused while the host used its share of a quota.',
            lambda: quotas.refused_alone,
        ),
    ):
        metrics.add_counter(
            name,
            help_text,
            read_value,
        )
    metrics.add_gauge(
        'ragwortchute_gateway_quota_used',
        'Used share of the rate of an organisation over all hosts, of '
        'those with the least credit.',
        quotas.used,
        'organisation',
    )
    metrics.add_gauge(
        'ragwortchute_gateway_quota_alone',
        'Whether this host uses only its own share of quotas.',
        lambda: int(quotas.is_alone()),
    )


def add_locality(
    metrics: scraping.Metrics, locality: locality_part.Locality
) -> None:
    """Adds metrics of requests by service and failure domain."""
    metrics.add_gauge(
        'ragwortchute_gateway_spillover_share',
        'Share of requests that look outside their failure domain first.',
        locality.shares,
        'service',
    )
    for name, help_text, counts, label in (
        (
            'ragwortchute_gateway_domain_sends_total',
            'Sends by service and failure domain of the target.',
            locality.sends,
            'domain',
        ),
        (
            'ragwortchute_gateway_crossings_total',
            'Sends to other failure domains, by service and reason.',
            locality.reasons,
            'reason',
        ),
        (
            'ragwortchute_gateway_crossing_bytes_total',
            'Bodies of requests and answers that crossed, in bytes, by '
            'service and failure domain of the target.',
            locality.moved_bytes,
            'domain',
        ),
    ):
        metrics.add_counter(
            name, help_text, lambda counts=counts: dict(counts), label
        )


def add_rollouts(metrics: scraping.Metrics, rollouts: runtime.Rollouts) -> None:
    """Adds metrics of rollouts by service and version."""
    metrics.add_counter(
        'ragwortchute_gateway_rollout_sends_total',
        'Sends during rollouts, by service and version.',
        lambda: dict(rollouts.sends),
        'version',
    )
    metrics.add_counter(
        'ragwortchute_gateway_rollout_failures_total',
        'Failed and slow responses in rollouts, by service and version.',
        lambda: dict(rollouts.failures),
        'version',
    )
    metrics.add_gauge(
        'ragwortchute_gateway_rollout_phase',
        'Phase of a rollout: 1 observe, 2 widen, 3 move, 4 drain, '
        '5 succeeded, 6 rolled back.',
        rollouts.phases,
        'version',
    )
    metrics.add_gauge(
        'ragwortchute_gateway_rollout_share',
        'Sends of this host to the new version per request.',
        rollouts.shares,
        'version',
    )
