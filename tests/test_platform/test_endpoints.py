"""Tests of address look-ups, readiness, metrics and the deploy file."""

import asyncio
import json
import pathlib
import tomllib

import pytest

from ragwortchute.gateway import metrics
from ragwortchute.gateway.http import http_messages
from ragwortchute.platform import daemon
from ragwortchute.platform import endpoints
from tests.test_gateway import host_deployment
from tests.test_gateway import test_application

ROOT = pathlib.Path(__file__).resolve().parents[2]


def request(target):
    return http_messages.Request('GET', target, 'x', [], [], 0.0, None)


@pytest.fixture
async def host():
    deployment = host_deployment.Deployment()
    await deployment.start('a1')
    (host,) = deployment.hosts
    await deployment.until(lambda: host.ready)
    yield host
    await deployment.stop()


class TestResolve:
    """Callers must get addresses or an error status."""

    async def test_response_has_addresses_and_ttl(self, host):
        endpoints_ = endpoints.Endpoints(host)
        resp = await endpoints_.resolve(
            request('/resolve?name=x.example&region=a&zone=a1')
        )
        body = json.loads(resp.body)
        assert body['addresses'] == [host.membership.me.caller_address]
        assert 0 < body['ttl_s'] <= 5

    async def test_unknown_path_is_not_found(self, host):
        endpoints_ = endpoints.Endpoints(host)
        assert (await endpoints_.resolve(request('/other'))).status == 404

    async def test_host_without_configuration_returns_503(self, host):
        host.state.cfg = None
        endpoints_ = endpoints.Endpoints(host)
        assert (
            await endpoints_.resolve(request('/resolve?name=x'))
        ).status == 503


class TestReady:
    """A host that stops or has no configuration must not be ready."""

    async def test_host_is_ready_until_it_stops(self, host):
        endpoints_ = endpoints.Endpoints(host)
        assert (await endpoints_.ready(request('/ready'))).status == 200
        leave_task = asyncio.create_task(host.leave())
        await asyncio.sleep(0)
        assert (await endpoints_.ready(request('/ready'))).status == 503
        await leave_task


class TestMetrics:
    """The counters of a host must appear in its metrics."""

    async def test_counters_are_exported(self, host):
        await test_application.TestRelay().request(host)
        endpoint = metrics.MetricsEndpoint(host)
        resp = await endpoint.serve(request('/metrics'))
        text = resp.body.decode()
        assert 'ragwortchute_gateway_sends_total 1' in text
        assert 'ragwortchute_gateway_store_down 0' in text
        assert 'ragwortchute_gateway_answers_total{route_ms="r1/inf"} 1' in text

    async def test_rendering_takes_a_share_of_the_time(self, host, monkeypatch):
        # Each request was rendered anew, for 89 ms with 1,000 routes.
        endpoint = metrics.MetricsEndpoint(host)
        now_s = 0.0
        rendered = []

        def render(accept):
            nonlocal now_s
            now_s += 0.1
            rendered.append(now_s)
            return b'%d' % len(rendered), {}

        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, 'time', lambda: now_s)
        monkeypatch.setattr(endpoint._metrics, 'render', render)
        for _ in range(100):
            resp = await endpoint.serve(request('/metrics'))
            # As the connection does with the last response.
            assert not resp.close
            resp.close = True
            now_s += 0.01
        assert len(rendered) <= 0.25 * now_s / 0.1
        now_s += 1.0
        resp = await endpoint.serve(request('/metrics'))
        assert resp.body == b'%d' % len(rendered)
        assert rendered[-1] == now_s

    async def test_unknown_path_is_not_found(self, host):
        endpoint = metrics.MetricsEndpoint(host)
        assert (await endpoint.serve(request('/'))).status == 404


class TestDeployFile:
    """The deploy file must match the ports and packages of the program."""

    def test_metrics_port(self):
        text = (ROOT / 'deploy' / 'system.toml').read_text()
        (role,) = tomllib.loads(text)['roles'].values()
        assert role['metrics'] == f'{daemon.METRICS_PORT}{metrics.PATH}'
        assert role['run'] == 'python3 -m ragwortchute.platform'

    def test_requirements_are_locked(self):
        locked = (ROOT / 'requirements.lock').read_text().splitlines()
        for line in (ROOT / 'deploy' / 'requirements.txt').read_text().split():
            assert line in locked
