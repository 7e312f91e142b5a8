"""What targets say binds nine host processes under load."""

import pytest

from benchmarks.soak import run as runs
from benchmarks.soak import statements
from tests import steady_load

HOSTS_PER_DOMAIN = 3
REQUESTS_PER_S = 160
# A target in need must not become idle.
MIN_LIMIT_USED = 0.7


class Load:
    """Callers that send requests to all hosts at a steady rate."""

    def __init__(self, run):
        self.run = run
        self.count = 0
        self.statuses = []

    async def send(self, seconds):
        await steady_load.send(self._call, REQUESTS_PER_S, seconds)

    async def _call(self):
        self.count += 1
        hosts = self.run.hosts
        host = hosts[self.count % len(hosts)]
        self.statuses.append(await self.run.call(host, runs.READ))


class TestStatements:
    """Hosts must keep to what targets ask for and still serve callers."""

    @pytest.fixture
    async def load(self, tmp_path):
        run = runs.Soak(1, str(tmp_path), [], HOSTS_PER_DOMAIN)
        try:
            await run.start()
            load = Load(run)
            await load.send(1.0)
            load.statuses.clear()
            yield load
        finally:
            await run.stop()

    async def test_one_target_each(self, load):
        checker = load.run.statement_checker
        limited, leaving, paused = load.run.targets[:3]
        limit = checker.name_limit(limited, 3.0)
        leaving.leaving = True
        paused.fault = 'shed'
        paused.retry_after = '4'
        window_s = 2 * statements.LIMIT_WINDOW_S
        await load.send(statements.CONTACT_S + window_s)
        assert leaving.arrivals and paused.pauses
        assert not checker.check()
        used = [
            arrived_s
            for arrived_s, _ in limited.arrivals
            if arrived_s >= limit.named_s + statements.CONTACT_S
        ]
        assert len(used) >= MIN_LIMIT_USED * limit.per_s * window_s
        assert set(load.statuses) == {200}

    async def test_all_targets_want_a_pause(self, load):
        for target in load.run.targets:
            target.fault = 'shed'
            target.retry_after = '2'
        await load.send(4.0)
        assert all(target.pauses for target in load.run.targets)
        assert not load.run.statement_checker.check()
        for target in load.run.targets:
            target.fault = ''
        await load.send(5.0)
        load.statuses.clear()
        await load.send(1.0)
        assert set(load.statuses) == {200}

    async def test_all_targets_leave(self, load):
        for target in load.run.targets:
            target.leaving = True
        await load.send(5.0)
        assert not load.run.statement_checker.check()
        assert set(load.statuses[-REQUESTS_PER_S:]) == {503}
