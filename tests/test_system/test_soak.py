"""A short seeded run of the soak, and the seeds that once failed."""

import pytest

from benchmarks import soak

SECONDS = 6.0
# Seeds that broke a promise once, with the cause.
REGRESSIONS = {
    103: 'a stopping host closed a connection with a request on its way',
}


class TestSoak:
    """Faults in series must not break a promise to callers or targets."""

    @pytest.mark.parametrize('seed', [1, *REGRESSIONS])
    async def test_promises_hold(self, seed, tmp_path):
        run = await soak.run_seed(seed, SECONDS, str(tmp_path))
        assert not run.broken, run.steps
        assert run.statuses[200] > 0
