"""Metrics endpoint of a gateway host."""

import asyncio

import msgspec

from ragwortchute import scraping
from ragwortchute.gateway import application
from ragwortchute.gateway import part_metrics
from ragwortchute.gateway.http import http_messages

PATH = '/metrics'
# Load: callers that ask again and again. No request is served during rendering,
# which takes longer with each route, so a response is given again until
# rendering has taken less than this share of the time.
MAX_RENDER_SHARE = 0.2


class MetricsEndpoint:
    """Serves the metrics of a host.

    Args:
        gateway: The host.
    """

    def __init__(self, gateway: application.Gateway) -> None:
        self._gateway = gateway
        self._loop = asyncio.get_running_loop()
        self._rendered: http_messages.Response | None = None
        self._fresh_until_s = float('-inf')
        self._metrics = scraping.Metrics()
        scraping.add_process(self._metrics)
        self._add_request_metrics()
        self._add_answer_metrics()
        self._add_load_metrics()
        self._add_state_metrics()
        part_metrics.add_refusals(self._metrics, gateway.stats)
        part_metrics.add_limits(self._metrics, gateway.account)
        part_metrics.add_targets(self._metrics, gateway.target_report)
        if gateway.quotas is not None:
            part_metrics.add_quotas(self._metrics, gateway.quotas)
        if gateway.locality is not None:
            part_metrics.add_locality(self._metrics, gateway.locality)
        if gateway.rollouts is not None:
            part_metrics.add_rollouts(self._metrics, gateway.rollouts)

    async def serve(self, req: http_messages.Request) -> http_messages.Response:
        """Returns the metrics for the path `PATH`, else 404."""
        if req.path != PATH:
            return http_messages.Response(404)
        started_s = self._loop.time()
        if self._rendered is None or started_s >= self._fresh_until_s:
            self._rendered = self._render()
            duration_s = self._loop.time() - started_s
            self._fresh_until_s = started_s + duration_s / MAX_RENDER_SHARE
        # The connection sets `close` in what it gets.
        return msgspec.structs.replace(self._rendered)

    def _render(self) -> http_messages.Response:
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
                read_value,
            )

    def _add_answer_metrics(self) -> None:
        stats = self._gateway.stats
        metrics = self._metrics
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

    def _add_load_metrics(self) -> None:
        gateway = self._gateway
        metrics = self._metrics
        metrics.add_gauge(
            'ragwortchute_gateway_requests_running',
            'Requests of callers that run at this moment.',
            lambda: gateway.callers.running,
        )
        metrics.add_gauge(
            'ragwortchute_gateway_requests_waiting',
            'Requests of callers that wait for room on a target.',
            lambda: gateway.dispatcher.gate.waiting_requests,
        )
        metrics.add_gauge(
            'ragwortchute_gateway_full_targets_share',
            'Share of probed targets that have no free slot.',
            lambda: gateway.full_shares,
            'service',
        )
        metrics.add_gauge(
            'ragwortchute_gateway_body_bytes',
            'Memory reserved for long bodies of requests.',
            lambda: gateway.bodies.used_bytes,
        )

    def _add_state_metrics(self) -> None:
        gateway = self._gateway
        metrics = self._metrics
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
            lambda: int(gateway.health.down),
        )
        metrics.add_gauge(
            'ragwortchute_gateway_hosts',
            'Hosts that are alive, this one included.',
            lambda: len(gateway.hosts()),
        )
        metrics.add_gauge(
            'ragwortchute_gateway_targets',
            'Targets that are known.',
            lambda: len(gateway.state.targets),
        )
        metrics.add_counter(
            'ragwortchute_gateway_part_failures_total',
            'Errors that ended a part of the host, which is started again.',
            lambda: dict(gateway.stats.part_failures),
            'part',
        )

    def _latency_counts(self) -> dict[str, float]:
        """Returns cumulative counts by route and upper bound in ms."""
        return {
            f'{route}/{bound}': count
            for route, latency in self._gateway.stats.latency.items()
            for bound, count in latency.by_bound().items()
        }
