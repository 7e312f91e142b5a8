"""Tests of the guarantees under faults, with entry hosts as processes."""

import asyncio

import pytest
import pytest_asyncio
from returns import result

from ragwortchute.client import caller as caller_lib
from standins import harness
from standins import matrix_cluster
from standins import matrix_faults
from standins import matrix_steps

SEED = 5
pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def cluster():
    cluster = matrix_cluster.Cluster(SEED)
    try:
        await cluster.start()
        await harness.warm_up(cluster, 3.0)
        yield cluster
    finally:
        await cluster.stop()


async def run(cluster, name, step, *faults):
    verdict = await harness.FaultTrial(cluster, SEED, name).run(
        matrix_steps.STEPS[step], faults
    )
    assert verdict.violations == {}
    assert verdict.error == ''
    assert verdict.totals.answers > 0
    return verdict


class HostRestartsDuringOutage(matrix_faults.StoreDown):
    """The store is unavailable while one host restarts."""

    async def begin(self, cell):
        await super().begin(cell)
        host = cell.cluster.hosts['makati-1']
        host.kill()
        host.start()
        await cell.cluster.wait_ready('makati-1')


class TargetsTruncate(harness.Fault):
    """Two targets truncate their answers."""

    async def begin(self, cell):
        for name in (
            f'{matrix_cluster.SERVICE}-0',
            f'{matrix_cluster.SERVICE}-1',
        ):
            behaviour = cell.cluster.targets.targets[name].behaviour
            behaviour.truncate = True

    async def end(self, cell):
        for target in cell.cluster.targets.targets.values():
            target.behaviour.truncate = False


class TestHosts:
    """A lost host must not cause a repeated write or a false refusal."""

    async def test_killed_while_writes_run_and_are_sent_again(self, cluster):
        verdict = await run(
            cluster, 'kill', 'record', matrix_faults.HostKilled()
        )
        assert verdict.reached

    async def test_paused_past_its_lease_and_resumed(self, cluster):
        verdict = await run(
            cluster,
            'pause',
            'waiting for the answer',
            matrix_faults.HostPaused(),
        )
        assert verdict.reached

    async def test_planned_stop_under_load_ends_with_0(self, cluster):
        verdict = await run(cluster, 'stop', 'planned stop')
        assert verdict.reached
        assert verdict.totals.answers == verdict.totals.calls


class TestStore:
    """An outage of the store must not block calls, restarts or orders."""

    async def test_host_restarts_while_the_store_is_down(self, cluster):
        await run(cluster, 'outage', 'connect', HostRestartsDuringOutage())

    async def test_domain_goes_out_while_the_store_is_down(self, cluster):
        await run(
            cluster, 'domain', 'domain out or in', matrix_faults.StoreDown()
        )

    async def test_document_change_is_in_force_on_all_hosts(self, cluster):
        await run(cluster, 'document', 'document apply')


class TestTargets:
    """Faults of targets must not cause wrong answers to callers."""

    async def test_truncated_answer_is_never_a_whole_one(self, cluster):
        await run(cluster, 'cut', 'waiting for the answer', TargetsTruncate())

    async def test_cold_restart_under_load_is_not_overloaded(self, cluster):
        await run(
            cluster,
            'cold',
            'waiting for the answer',
            matrix_faults.TargetRestarted(),
        )

    async def test_request_that_crashes_two_targets_is_refused(self, cluster):
        client = caller_lib.CallerClient(cluster.caller_urls())
        reasons = []
        for number in range(4):
            outcome = await client.call(
                matrix_cluster.SERVICE,
                'POST',
                '/crash',
                body=b'crash-target',
                headers=[('x-call', 'crash')],
                key=f'crash-{number}',
            )
            assert isinstance(outcome, result.Failure)
            reasons.append(outcome.failure().reason)
            # Leaves time to announce the suspect request to the other hosts.
            await asyncio.sleep(0.3)
        await client.close()
        assert reasons[2:] == ['crashes-targets', 'crashes-targets']
        assert cluster.targets.log.count('crash') == 2
