"""A short seeded run of the soak test, and seeds that failed before."""

import pytest

from benchmarks import soak

SECONDS = 6.0
# Seeds that violated a guarantee before, with the cause.
REGRESSIONS = {
    103: 'a stopping host closed a connection with a request in transit',
}


class TestSoak:
    """Successive faults must not violate guarantees to callers or targets."""

    @pytest.mark.parametrize('seed', [1, *REGRESSIONS])
    async def test_promises_hold(self, seed, tmp_path):
        run = await soak.run_seed(seed, SECONDS, str(tmp_path))
        assert not run.violations, run.fault_log
        assert run.statuses[200] > 0
