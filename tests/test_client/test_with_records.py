"""Tests of the client against hosts with the real recorder."""

import pytest
from returns import result

from ragwortchute import calls
from ragwortchute.client import caller
from tests.test_client import servers
from tests.test_records import cluster as cluster_lib


class Deployment:
    """Hosts a, b and c; host a can drop responses.

    Attributes:
        responses_to_drop: Number of responses that host a still drops.
        before_drop: Awaited before host a drops a response.
    """

    def __init__(self):
        self.cluster = cluster_lib.Cluster('abc')
        self.cluster.gate.set()
        self.hosts = {}
        self.responses_to_drop = 0
        self.before_drop = None

    async def start(self):
        for name in 'abc':
            host = servers.ScriptedHost(name, [self.serve(name)])
            host.addresses = self.addresses
            self.hosts[name] = await host.start()
        urls = [host.url for host in self.hosts.values()]
        self.client = caller.CallerClient(urls, organisation='t')

    async def stop(self):
        await self.client.close()
        for host in self.hosts.values():
            await host.stop()
        for name in list(self.cluster.hosts):
            await self.cluster.kill(name)

    def addresses(self):
        return calls.AddressAnswer(
            tuple(
                calls.Address(
                    name, host.url, 'd', 'luzon', self.cluster.token(name)
                )
                for name, host in self.hosts.items()
                if name in self.cluster.hosts
            ),
            5000,
        )

    def serve(self, name):
        async def handle(headers, body):
            call = self.cluster.call(
                headers['ragwortchute-origin'],
                headers['idempotency-key'],
                first='ragwortchute-first-send' in headers,
                body=body,
            )
            try:
                outcome = await self.cluster.send(name, call)
            except ConnectionResetError:
                return 'drop'
            if name == 'a' and self.responses_to_drop:
                self.responses_to_drop -= 1
                if self.before_drop is not None:
                    await self.before_drop()
                return 'drop'
            if isinstance(outcome, result.Success):
                answer = outcome.unwrap()
                return answer.status, answer.headers, answer.body
            return outcome.failure()

        return handle


@pytest.fixture
async def deployment():
    deployment = Deployment()
    await deployment.start()
    yield deployment
    await deployment.stop()


async def pay(deployment):
    return await deployment.client.call(
        'billing', 'POST', '/pay', body=b'one', timeout_s=3.0
    )


class TestClientWithRecords:
    """The client and the recorder together must run a key at most once."""

    async def test_lost_answer_is_fetched_through_another_host(
        self, deployment
    ):
        deployment.responses_to_drop = 1
        outcome = await pay(deployment)
        assert cluster_lib.shown(outcome) == 'answer to one'
        assert [host for _, host in deployment.cluster.ran] == ['a']

    async def test_origin_killed_after_dispatch_is_unknown(self, deployment):
        async def kill():
            await deployment.cluster.kill('a')

        deployment.responses_to_drop = 1
        deployment.before_drop = kill
        outcome = await pay(deployment)
        assert cluster_lib.shown(outcome) == 'unknown origin-unreachable'
        assert len(deployment.cluster.ran) == 1

    async def test_origin_stopped_after_dispatch_hands_over_its_record(
        self, deployment
    ):
        async def stop():
            assert await deployment.cluster.hosts['a'].recorder.hand_over(9.0)
            await deployment.cluster.kill('a')

        deployment.responses_to_drop = 1
        deployment.before_drop = stop
        outcome = await pay(deployment)
        assert cluster_lib.shown(outcome) == 'answer to one'
        assert len(deployment.cluster.ran) == 1

    async def test_key_refused_by_a_full_record_runs_at_the_next_origin(
        self, deployment
    ):
        deployment.cluster.hosts['a'].recorder.budget.limit_bytes = 0
        outcome = await pay(deployment)
        assert cluster_lib.shown(outcome) == 'answer to one'
        assert [host for _, host in deployment.cluster.ran] == ['b']

    async def test_origin_killed_before_the_call_runs_no_key_twice(
        self, deployment
    ):
        await pay(deployment)
        await deployment.cluster.kill('a')
        outcome = await pay(deployment)
        assert cluster_lib.shown(outcome) in (
            'answer to one',
            'unknown origin-unreachable',
        )
        keys = [key for key, _ in deployment.cluster.ran]
        assert len(keys) == len(set(keys))
