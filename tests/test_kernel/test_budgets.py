"""Tests of the budgets for retries, hedges and link bytes."""

from ragwortchute import budgets
from ragwortchute import clock as clock_lib


class TestCallBudget:
    """Tests of `CallBudget`."""

    async def test_percentage_floor_and_window(self):
        """Guards against more retries than the recent calls allow."""
        clock = clock_lib.ManualClock()
        budget = budgets.retry_budget(clock, 10.0, hosts=4)
        for _ in range(100):
            budget.record_call(clock.monotonic())
        # 10 % of 100 calls, and a quarter of the floor of 1/s over 10 s, the
        # share of one of 4 hosts.
        assert sum(budget.try_spend() for _ in range(50)) == 12
        await clock.advance(9.0)
        assert not budget.try_spend()
        await clock.advance(1.5)
        assert sum(budget.try_spend() for _ in range(50)) == 2
        await clock.advance(1000.0)
        assert budget.available() == 2.5

    def test_hedges_have_no_floor(self):
        """Guards against hedges while there are no calls."""
        assert not budgets.CallBudget(clock_lib.ManualClock(), 5.0).try_spend()


class TestLinkBudget:
    """Tests of `LinkBudget`."""

    async def test_rate_and_negative_balance(self):
        """Guards against sending more bytes than the link rate allows."""
        clock = clock_lib.ManualClock()
        budget = budgets.LinkBudget(clock, 1000.0)
        assert budget.try_spend(800)
        assert not budget.try_spend(800)
        budget.charge(1200)
        await clock.advance(1.0)
        assert not budget.try_spend(1)
        await clock.advance(1.0)
        assert budget.try_spend(800)
        await clock.advance(60.0)
        assert budget.balance() == 1000.0
