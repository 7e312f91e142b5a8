"""Tests of retries, hedges and the outcomes of refusals."""

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
    """Answers as scripted for each target name.

    A script is a delay in seconds (float), an event to wait for, an error to
    raise (class) or a status (int).
    """

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
    """A dispatcher with fake slots, sender, guard and retry budget."""

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
        """Returns the attempt kind reported for each slot.

        Asserts that every slot was released exactly once.
        """
        assert all(len(lease.reports) == 1 for lease in self.source.leases)
        return [lease.reports[0].kind for lease in self.source.leases]


class TestStatus:
    """The HTTP status of an answer."""

    async def test_failure_is_the_answer_and_is_reported(self):
        """Guards against a retry after 5xx, and against losing the status."""
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
        """Guards against refusing a call that surely did not run yet."""
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
        """Guards against running a call twice, or a false `not-run`."""
        setup = Setup(FakeSender(t1=kind))
        outcome = await setup.run()
        assert outcome.failure().outcome is calls.Outcome.UNKNOWN
        assert setup.sender.sent == ['t1']
        setup.guard.broken.clear()
        idempotent = await setup.run(idempotent=True)
        assert idempotent.unwrap().target == 't2'
        setup.kinds()

    async def test_unknown_stays_unknown(self):
        """Guards against `not-run` if only the last attempt surely did not run.

        An earlier attempt may have run the call.
        """
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
        """Guards against a retry of a request that surely ran."""
        setup = Setup(FakeSender(t1=errors.AnswerTooLarge))
        outcome = await setup.run(idempotent=True)
        assert outcome.failure().outcome is calls.Outcome.RAN
        assert setup.sender.sent == ['t1']

    async def test_crashing_request(self):
        """Guards against a request that crashes one target after another."""
        lost = {target.name: errors.ConnectionLost for target in TARGETS}
        setup = Setup(FakeSender(**lost))
        outcome = await setup.run(idempotent=True, retries=9)
        assert outcome.failure().reason == 'crashes-targets'
        assert outcome.failure().outcome is calls.Outcome.UNKNOWN
        assert setup.guard.broken == ['t1', 't2']
        setup.kinds()


class TestBeforeSending:
    """Checks immediately before a request is sent."""

    async def test_deadline_passed(self):
        """Guards against sending a call after its deadline."""
        setup = Setup(FakeSender())
        outcome = await setup.run(deadline_s=CLOCK.monotonic() - 1)
        assert outcome.failure().reason == 'deadline'
        assert outcome.failure().outcome is calls.Outcome.NOT_RUN
        assert setup.sender.sent == []

    async def test_unusable_lease(self):
        """Guards against sending on a lease that expired during a pause."""
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
    """A second attempt that runs while the first one does."""

    async def test_hedge_wins(self):
        """Guards against waiting for a slow target."""
        setup = Setup(FakeSender(t1=asyncio.Event()), hedge_s=0.01)
        outcome = await setup.run(idempotent=True)
        assert outcome.unwrap().target == 't2'
        assert setup.sender.cancelled == ['t1']
        assert setup.kinds() == ['cancelled', 'answered']
        assert asyncio.current_task().cancelling() == 0

    async def test_first_wins(self):
        """Guards against a hedge that runs on after the first answer."""
        setup = Setup(FakeSender(t1=0.05, t2=asyncio.Event()), hedge_s=0.01)
        outcome = await setup.run(idempotent=True)
        assert outcome.unwrap().target == 't1'
        assert setup.sender.cancelled == ['t2']
        assert setup.kinds() == ['answered', 'cancelled']

    @pytest.mark.parametrize(
        'changes', [{'idempotent': False}, {'hedge': False}, {}]
    )
    async def test_no_hedge(self, changes):
        """Guards against hedging calls that must not run twice, or over budget.

        Only a hedge that the budget does not permit is counted as denied.
        """
        setup = Setup(FakeSender(t1=0.03), hedge_s=0.001, hedges=0)
        await setup.run(**{'idempotent': True, **changes})
        assert setup.sender.sent == ['t1']
        setup.kinds()
        counts = setup.dispatcher.counts
        assert counts.hedges == 0
        assert counts.hedges_denied == (0 if changes else 1)

    async def test_hedge_without_a_slot_is_not_denied(self):
        """Guards against counting a hedge without a free slot as denied."""
        setup = Setup(FakeSender(t1=0.03), hedge_s=0.001)
        setup.source.targets = TARGETS[:1]
        await setup.run(idempotent=True)
        assert setup.sender.sent == ['t1']
        counts = setup.dispatcher.counts
        assert (counts.hedges, counts.hedges_denied) == (0, 0)

    async def test_hedge_is_counted(self):
        """Guards against hedges that are missing from the counters."""
        setup = Setup(FakeSender(t1=0.5), hedge_s=0.001, hedges=1)
        assert (await setup.run(idempotent=True)).unwrap().target == 't2'
        counts = setup.dispatcher.counts
        assert (counts.hedges, counts.hedges_won) == (1, 1)
        assert setup.source.hedges == 0

    async def test_failed_hedge_leaves_the_first(self):
        """Guards against a failed hedge that ends the first attempt."""
        setup = Setup(
            FakeSender(t1=0.05, t2=errors.ConnectionLost), hedge_s=0.01
        )
        outcome = await setup.run(idempotent=True)
        assert outcome.unwrap().target == 't1'

    async def test_both_fail(self):
        """Guards against a call that is not retried after a failed hedge."""

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
        """Guards against slots that are never released, or released twice."""
        setup = Setup(FakeSender(t1=0.01, t2=0.004), hedge_s=0.003)
        task = asyncio.create_task(setup.run(idempotent=True))
        for _ in range(seed % 8):
            await asyncio.sleep(0)
        await asyncio.sleep(0.0005 * (seed // 2))
        task.cancel()
        done = await asyncio.gather(task, return_exceptions=True)
        assert isinstance(done[0], asyncio.CancelledError | result.Success)
        assert set(setup.kinds()) <= set(slots.AttemptKind)
