"""Tests of retries, hedges and what a refusal states."""

import asyncio

import pytest
from returns import result

from ragwortchute import calls
from ragwortchute import clock as clocks
from ragwortchute import errors
from ragwortchute import slots
from ragwortchute import upstream
from ragwortchute.dispatch import dispatcher
from tests import path_fakes

CLOCK = clocks.SystemClock()
TARGETS = tuple(
    path_fakes.make_target(f't{number}', f'127.0.0.1:{number}')
    for number in range(1, 5)
)


class FakeSender(upstream.Upstream):
    """Runs a script per target name."""

    def __init__(self, **scripts) -> None:
        self.scripts = scripts
        self.sent: list[str] = []
        self.cancelled: list[str] = []

    async def send(self, service, target, call, *, before_send=None):
        self.sent.append(target.name)
        step = self.scripts.get(target.name)
        try:
            if isinstance(step, float):
                await asyncio.sleep(step)
            if isinstance(step, asyncio.Event):
                await step.wait()
        except asyncio.CancelledError:
            self.cancelled.append(target.name)
            raise
        if isinstance(step, type):
            raise step('scripted', step='answer', peer=target.name)
        status = step if isinstance(step, int) else 200
        return upstream.TargetAnswer(calls.Answer(status, [], b'', target.name))

    async def keep_open(self, service, target, connections):
        return 0

    async def close(self):
        pass


class Setup:
    """A dispatcher on fakes."""

    def __init__(self, sender, *, hedge_s=9.0, retries=100, hedges=100):
        self.sender = sender
        self.source = path_fakes.FakeSlots(
            *TARGETS, hedge_s=hedge_s, hedges=hedges
        )
        self.guard = path_fakes.FakeGuard()
        self.retries = path_fakes.FakeBudget(retries)
        self.dispatcher = dispatcher.Dispatcher(
            slot_source=lambda service: self.source,
            sender=sender,
            guard=self.guard,
            retry_budget=lambda service: self.retries,
            clock=CLOCK,
        )

    async def run(self, **changes):
        return await self.dispatcher.run(path_fakes.make_call(CLOCK, **changes))

    def kinds(self):
        """Returns how each slot was released; each exactly once."""
        assert all(len(lease.reports) == 1 for lease in self.source.leases)
        return [lease.reports[0].kind for lease in self.source.leases]


class TestStatus:
    """The HTTP status of an answer."""

    async def test_failure_is_the_answer_and_is_reported(self):
        """Guards against a second execution after 5xx, or a lost status."""
        setup = Setup(FakeSender(t1=500))
        outcome = await setup.run(idempotent=True)
        assert outcome.unwrap().status == 500
        assert setup.sender.sent == ['t1']
        assert setup.kinds() == [slots.AttemptKind.ANSWERED]
        assert setup.source.leases[0].reports[0].status == 500


class TestRetries:
    """Further attempts on other targets."""

    @pytest.mark.parametrize('kind', [errors.TargetShed, errors.ConnectFailed])
    async def test_proof_of_not_run(self, kind):
        """Guards against refusing a call that another target can run."""
        setup = Setup(FakeSender(t1=kind))
        outcome = await setup.run()
        assert outcome.unwrap().target == 't2'
        assert setup.sender.sent == ['t1', 't2']
        setup.kinds()

    @pytest.mark.parametrize(
        'kind',
        [
            errors.ConnectionLost,
            errors.TruncatedAnswer,
            errors.AttemptTimeout,
            errors.TargetError,
        ],
    )
    async def test_call_that_may_have_run(self, kind):
        """Guards against a second execution, and against a false `not-run`."""
        setup = Setup(FakeSender(t1=kind))
        outcome = await setup.run()
        assert outcome.failure().outcome is calls.Outcome.UNKNOWN
        assert setup.sender.sent == ['t1']
        setup.guard.broken.clear()
        idempotent = await setup.run(idempotent=True)
        assert idempotent.unwrap().target == 't2'
        setup.kinds()

    async def test_unknown_stays_unknown(self):
        """Guards against a later proof covering an earlier attempt."""
        setup = Setup(
            FakeSender(t1=errors.ConnectionLost, t2=errors.TargetShed),
            retries=1,
        )
        outcome = await setup.run(idempotent=True)
        assert outcome.failure().outcome is calls.Outcome.UNKNOWN
        assert outcome.failure().reason == 'shed'

    async def test_budget_and_number(self):
        """Guards against retry storms."""
        sheds = {target.name: errors.TargetShed for target in TARGETS}
        denied = Setup(FakeSender(**sheds), retries=0)
        outcome = await denied.run()
        assert outcome.failure().outcome is calls.Outcome.NOT_RUN
        assert outcome.failure().reason == 'shed'
        assert denied.sender.sent == ['t1']
        limited = Setup(FakeSender(**sheds))
        await limited.run(retries=2)
        assert limited.sender.sent == ['t1', 't2', 't3']

    async def test_answer_too_large(self):
        """Guards against running a request again that surely ran."""
        setup = Setup(FakeSender(t1=errors.AnswerTooLarge))
        outcome = await setup.run(idempotent=True)
        assert outcome.failure().outcome is calls.Outcome.RAN
        assert setup.sender.sent == ['t1']

    async def test_crashing_request(self):
        """Guards against one request breaking target after target."""
        lost = {target.name: errors.ConnectionLost for target in TARGETS}
        setup = Setup(FakeSender(**lost))
        outcome = await setup.run(idempotent=True, retries=9)
        assert outcome.failure().reason == 'crashes-targets'
        assert outcome.failure().outcome is calls.Outcome.UNKNOWN
        assert setup.guard.broken == ['t1', 't2']
        setup.kinds()


class TestBeforeSending:
    """Checks right before each send."""

    async def test_deadline_passed(self):
        """Guards against work that nobody waits for."""
        setup = Setup(FakeSender())
        outcome = await setup.run(deadline_s=CLOCK.monotonic() - 1)
        assert outcome.failure().reason == 'deadline'
        assert outcome.failure().outcome is calls.Outcome.NOT_RUN
        assert setup.sender.sent == []

    async def test_unusable_lease(self):
        """Guards against sending on a lease that lapsed during a pause."""
        setup = Setup(FakeSender())
        setup.source.unusable = 1
        assert (await setup.run()).unwrap().target == 't1'
        assert setup.sender.sent == ['t1']
        setup.source.unusable = 100
        outcome = await setup.run(idempotent=True)
        assert outcome.failure().outcome is calls.Outcome.NOT_RUN
        assert setup.sender.sent == ['t1']
        setup.kinds()


class TestHedges:
    """A second attempt at the same time."""

    async def test_hedge_wins(self):
        """Guards against waiting for a slow target."""
        setup = Setup(FakeSender(t1=asyncio.Event()), hedge_s=0.01)
        outcome = await setup.run(idempotent=True)
        assert outcome.unwrap().target == 't2'
        assert setup.sender.cancelled == ['t1']
        assert setup.kinds() == ['cancelled', 'answered']
        assert asyncio.current_task().cancelling() == 0

    async def test_first_wins(self):
        """Guards against a loser that runs on."""
        setup = Setup(FakeSender(t1=0.05, t2=asyncio.Event()), hedge_s=0.01)
        outcome = await setup.run(idempotent=True)
        assert outcome.unwrap().target == 't1'
        assert setup.sender.cancelled == ['t2']
        assert setup.kinds() == ['answered', 'cancelled']

    @pytest.mark.parametrize(
        'changes', [{'idempotent': False}, {'hedge': False}, {}]
    )
    async def test_no_hedge(self, changes):
        """Guards against hedging what must not run twice, or over budget."""
        setup = Setup(FakeSender(t1=0.03), hedge_s=0.001, hedges=0)
        await setup.run(**{'idempotent': True, **changes})
        assert setup.sender.sent == ['t1']
        setup.kinds()
        counts = setup.dispatcher.counts
        assert counts.hedges == 0
        # A call that must not be hedged is not counted as denied.
        assert counts.hedges_denied == (0 if changes else 1)

    async def test_hedge_without_a_slot_is_not_denied(self):
        """Guards against a count that mixes the budget with free slots."""
        setup = Setup(FakeSender(t1=0.03), hedge_s=0.001)
        setup.source.targets = TARGETS[:1]
        await setup.run(idempotent=True)
        assert setup.sender.sent == ['t1']
        counts = setup.dispatcher.counts
        assert (counts.hedges, counts.hedges_denied) == (0, 0)

    async def test_hedge_is_counted(self):
        """Guards against hedges that no count shows."""
        setup = Setup(FakeSender(t1=0.5), hedge_s=0.001, hedges=1)
        assert (await setup.run(idempotent=True)).unwrap().target == 't2'
        counts = setup.dispatcher.counts
        assert (counts.hedges, counts.hedges_won) == (1, 1)
        assert setup.source.hedges == 0

    async def test_failed_hedge_leaves_the_first(self):
        """Guards against a failing hedge ending a call that still runs."""
        setup = Setup(
            FakeSender(t1=0.05, t2=errors.ConnectionLost), hedge_s=0.01
        )
        outcome = await setup.run(idempotent=True)
        assert outcome.unwrap().target == 't1'

    async def test_both_fail(self):
        """Guards against losing the retry after a hedge."""

        class Slow(FakeSender):
            async def send(self, service, target, call, *, before_send=None):
                if target.name == 't3':
                    return await super().send(service, target, call)
                await asyncio.sleep(0.02)
                raise errors.ConnectionLost('scripted')

        setup = Setup(Slow(), hedge_s=0.01)
        setup.guard.refuse_after = 9
        outcome = await setup.run(idempotent=True)
        assert outcome.unwrap().target == 't3'
        setup.kinds()

    @pytest.mark.parametrize('seed', range(40))
    async def test_cancellation_at_any_moment(self, seed):
        """Guards against a slot that is lost or released twice."""
        setup = Setup(FakeSender(t1=0.01, t2=0.004), hedge_s=0.003)
        task = asyncio.create_task(setup.run(idempotent=True))
        for _ in range(seed % 8):
            await asyncio.sleep(0)
        await asyncio.sleep(0.0005 * (seed // 2))
        task.cancel()
        done = await asyncio.gather(task, return_exceptions=True)
        assert isinstance(done[0], asyncio.CancelledError | result.Success)
        assert set(setup.kinds()) <= set(slots.AttemptKind)
