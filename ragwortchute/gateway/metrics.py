"""Metrics endpoint of a gateway host."""

from ragwortchute import scraping
from ragwortchute.gateway import application
from ragwortchute.gateway import http_messages

PATH = '/metrics'


class MetricsEndpoint:
    """Serves the metrics of a host.

    Args:
        gateway: The host.
    """

    def __init__(self, gateway: application.Gateway) -> None:
        self._gateway = gateway
        self._metrics = scraping.Metrics()
        scraping.add_process(self._metrics)
        self._add_request_metrics()
        self._add_limit_metrics()
        self._add_state_metrics()
        self._add_quota_metrics()

    async def serve(self, req: http_messages.Request) -> http_messages.Response:
        """Returns the metrics for the path `PATH`, else 404."""
        if req.path != PATH:
            return http_messages.Response(404)
        content, headers = self._metrics.render(())
        return http_messages.Response(
            200,
            [
                (name.lower().encode(), value.encode())
                for name, value in headers.items()
            ],
            content,
        )

    def _add_request_metrics(self) -> None:
        stats = self._gateway.stats
        metrics = self._metrics
        for name, help_text, read_value in (
            (
                'ragwortchute_gateway_sends_total',
                'Requests sent to targets.',
                lambda: stats.sends,
            ),
            (
                'ragwortchute_gateway_repeats_total',
                'Sends beyond the first one of a request.',
                lambda: stats.retries,
            ),
            (
                'ragwortchute_gateway_hedges_total',
                'Second sends while the first one was running.',
                lambda: stats.hedges,
            ),
            (
                'ragwortchute_gateway_relays_total',
                'Requests passed on to another region.',
                lambda: stats.relays,
            ),
            (
                'ragwortchute_gateway_probes_total',
                'Health requests sent to targets.',
                lambda: self._gateway.probes,
            ),
        ):
            metrics.add_counter(
                name,
                help_text,
                lambda read_value=read_value: {'': read_value()},
            )
        metrics.add_counter(
            'ragwortchute_gateway_refusals_total',
            'Final answers that no target made, by reason.',
            lambda: dict(stats.refusals),
            'reason',
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
        metrics.add_counter(
            'ragwortchute_gateway_part_failures_total',
            'Errors that ended a part of the host, which is started again.',
            lambda: dict(stats.part_failures),
            'part',
        )
        metrics.add_counter(
            'ragwortchute_gateway_answers_total',
            'Answers by route and upper bound of their duration in ms.',
            self._latency_counts,
            'route_ms',
        )
        metrics.add_counter(
            'ragwortchute_gateway_answer_seconds_total',
            'Sum of the durations of answers in seconds, by route.',
            lambda: {
                route: latency.total_s
                for route, latency in stats.latency.items()
            },
            'route',
        )

    def _add_limit_metrics(self) -> None:
        account = self._gateway.account
        self._metrics.add_counter(
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
            self._metrics.add_gauge(
                name,
                help_text,
                lambda read_value=read_value: {'': read_value()},
            )

    def _add_state_metrics(self) -> None:
        gateway = self._gateway
        metrics = self._metrics
        metrics.add_gauge(
            'ragwortchute_gateway_requests_running',
            'Requests of callers that run at this moment.',
            lambda: {'': gateway.callers.running},
        )
        metrics.add_gauge(
            'ragwortchute_gateway_body_bytes',
            'Memory reserved for long bodies of requests.',
            lambda: {'': gateway.bodies.used_bytes},
        )
        metrics.add_gauge(
            'ragwortchute_gateway_revision',
            'Revision up to which changes are known, by prefix.',
            lambda: gateway.revisions(),
            'prefix',
        )
        metrics.add_gauge(
            'ragwortchute_gateway_replica_age_seconds',
            'Time since the store is known to have had no later change, by '
            'prefix.',
            lambda: gateway.replica_ages_s(),
            'prefix',
        )
        metrics.add_gauge(
            'ragwortchute_gateway_store_down',
            'Whether the last call to the store failed.',
            lambda: {'': int(gateway.health.down)},
        )
        metrics.add_gauge(
            'ragwortchute_gateway_hosts',
            'Hosts that are alive, this one included.',
            lambda: {'': len(gateway.hosts())},
        )
        metrics.add_gauge(
            'ragwortchute_gateway_targets',
            'Targets that are known.',
            lambda: {'': len(gateway.state.targets)},
        )

        metrics.add_gauge(
            'ragwortchute_gateway_target_limit_per_second',
            'Requests per second that a target takes from all hosts.',
            gateway.target_report.limits_per_s,
            'target',
        )
        metrics.add_gauge(
            'ragwortchute_gateway_target_pause_seconds',
            'Time for which a target wants no request from this host.',
            gateway.target_report.pauses_s,
            'target',
        )
        metrics.add_gauge(
            'ragwortchute_gateway_target_leaving',
            'Targets that have said that they leave.',
            gateway.target_report.leaving,
            'target',
        )

    def _add_quota_metrics(self) -> None:
        quotas = self._gateway.quotas
        if quotas is None:
            return
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
            self._metrics.add_counter(
                name,
                help_text,
                lambda read_value=read_value: {'': read_value()},
            )
        self._metrics.add_gauge(
            'ragwortchute_gateway_quota_used',
            'Used share of the rate of an organisation over all hosts, of '
            'those with the least credit.',
            quotas.used,
            'organisation',
        )
        self._metrics.add_gauge(
            'ragwortchute_gateway_quota_alone',
            'Whether this host uses only its own share of quotas.',
            lambda: {'': int(quotas.is_alone())},
        )

    def _latency_counts(self) -> dict[str, float]:
        """Returns cumulative counts by route and upper bound in ms."""
        return {
            f'{route}/{bound}': count
            for route, latency in self._gateway.stats.latency.items()
            for bound, count in latency.by_bound().items()
        }
