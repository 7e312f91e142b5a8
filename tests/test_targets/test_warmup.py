"""Tests of the warm-up limits and of the target table."""

from ragwortchute import documents
from ragwortchute.targets import table
from ragwortchute.targets import warmup

COLD_START = documents.ColdStart(1, 20.0, 10.0)


class TestWarmupLimiter:
    """Concurrency and rate during a warm-up."""

    def test_doubles_over_the_ramp(self):
        """Guards against full load before the end of the warm-up."""
        limiter = warmup.WarmupLimiter(8, COLD_START, 0.0)
        seen = {}
        now_s = 0.0
        while not limiter.done:
            if limiter.ready(0, now_s):
                limiter.start(now_s)
                limiter.answered(now_s)
            seen.setdefault(limiter.limit, now_s)
            now_s += 0.01
        assert sorted(seen) == [1, 2, 4, 8]
        assert seen[2] >= 10 - 1e-6
        assert seen[4] >= 20 - 1e-6
        assert seen[8] >= 30 - 1e-6
        assert not limiter.ready(8, now_s)

    def test_rate_allows_no_burst(self):
        """Guards against a burst after idle time."""
        limiter = warmup.WarmupLimiter(4, COLD_START, 0.0)
        started = 0
        for step in range(100):
            now_s = 30.0 + step * 0.01
            if limiter.ready(0, now_s):
                limiter.start(now_s)
                started += 1
        assert started <= 21

    def test_time_without_answers_and_sheds(self):
        """Guards against a warm-up that advances without enough answers."""
        limiter = warmup.WarmupLimiter(4, COLD_START, 0.0)
        limiter.start(0.0)
        for _ in range(3):
            limiter.answered(60.0)
        assert limiter.limit == 1
        limiter.answered(60.0)
        assert limiter.limit == 2
        limiter.shed(61.0)
        assert limiter.limit == 1


class TestTargetTable:
    """Connection counts, generations and changed documents."""

    def test_generations(self):
        """Guards against taking a new process for the previous one."""
        document = documents.ServiceDocument(
            's',
            (documents.Target('t', '127.0.0.1:1', 'luzon-0', 'luzon', 4),),
            (),
        )
        targets = table.TargetTable()
        targets.apply(document)
        state = targets.get('s', 't')
        targets.connection_opened('s', 't')
        targets.connection_opened('s', 't')
        targets.connection_closed('s', 't')
        assert (state.connections, state.generation) == (1, 1)
        targets.connection_closed('s', 't')
        targets.connection_opened('s', 't')
        assert (state.connections, state.generation) == (1, 2)
        moved = documents.Target('t', '127.0.0.1:2', 'luzon-0', 'luzon', 4)
        targets.apply(documents.ServiceDocument('s', (moved,), ()))
        assert targets.get('s', 't') is not state
        targets.connection_closed('s', 'unknown')
