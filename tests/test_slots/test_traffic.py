"""Tests of the byte budget for loan messages of a host."""

import collections
import random

from returns import result

from ragwortchute import clock as clock_
from ragwortchute import documents
from ragwortchute import slots
from ragwortchute import wire
from ragwortchute.codecs import capnp
from ragwortchute.peers import frames
from ragwortchute.slots import loans
from ragwortchute.slots import traffic
from ragwortchute.slots import waiting
from tests.test_slots import cluster as cluster_

BYTES_PER_S = 2000
BURST_BYTES = 2000
SERVICES = 12
TARGETS = 4
SLOTS = 3
STEP_S = 0.01
SEED = 5
_LOANS = (wire.SlotStatus, wire.SlotRequest, wire.SlotGrant, wire.SlotReturn)


class Borrower:
    """A service with waiting calls and idle loans that are set by a test."""

    def __init__(self, name, since_s=0.0, idle=()):
        self.name = name
        self.waiting = 1
        self.since_s = since_s
        self.idle = list(idle)
        self.traffic = None

    def waiting_since_s(self):
        return self.since_s

    def loan_request(self):
        message = wire.SlotRequest('h0', self.name, 1)
        if not self.traffic.try_spend(
            message, reserve_bytes=traffic.RESERVE_BYTES
        ):
            return None
        return traffic.LoanRequest('h1', message)

    def idle_loans(self):
        return list(self.idle)

    def mark_returned(self, idle):
        self.idle.remove(idle)


def make_idle(peer, number):
    loan = loans.Loan(number, peer, f't{number}', 1, 9.0)
    return loans.IdleSlots(loan, 1)


def make_traffic():
    clock = clock_.ManualClock()
    return clock, traffic.SlotTraffic(clock, capnp.CapnpCodec())


def spend_all(slot_traffic):
    while slot_traffic.try_spend(wire.SlotStatus('h0', 's', 1, 1)):
        pass


class TestSlotTraffic:
    """Order and size of the messages that the budget permits."""

    async def test_longest_waits_come_first(self):
        """Guards against services that never send a request."""
        clock, slot_traffic = make_traffic()
        services = [Borrower(f's{i}', float(i * 7 % 60)) for i in range(60)]
        for service in services:
            service.traffic = slot_traffic
        asked = [
            loan.message.service for loan in slot_traffic.requests(services)
        ]
        assert 0 < len(asked) < 60
        order = sorted(services, key=lambda service: service.since_s)
        assert asked == [service.name for service in order[: len(asked)]]
        assert not list(slot_traffic.requests(services))
        await clock.advance(0.5)
        assert list(slot_traffic.requests(services))

    async def test_returns_of_a_lender_share_a_message(self):
        """Guards against a message for every returned slot."""
        clock, slot_traffic = make_traffic()
        first = Borrower('s0', idle=[make_idle('h1', 1), make_idle('h2', 2)])
        second = Borrower('s1', idle=[make_idle('h1', 3)])
        sent = slot_traffic.returns('h0', [first, second], 0.0)
        assert {item.host for item in sent} == {'h1', 'h2'}
        for item in sent:
            numbers = [slots_.loan_id for slots_ in item.message.all()]
            assert numbers == ([1, 3] if item.host == 'h1' else [2])
        assert not first.idle
        assert not second.idle
        second.idle.append(make_idle('h1', 4))
        assert not slot_traffic.returns('h0', [first, second], 0.09)
        assert slot_traffic.returns('h0', [first, second], 0.1)

    async def test_return_beyond_the_budget_keeps_the_loan(self):
        """Guards against dropping slots without telling the lender."""
        clock, slot_traffic = make_traffic()
        service = Borrower('s0', idle=[make_idle('h1', 1)])
        spend_all(slot_traffic)
        assert not slot_traffic.returns('h0', [service], 0.0)
        assert service.idle
        await clock.advance(0.1)
        assert slot_traffic.returns('h0', [service], 0.1)
        assert not service.idle

    async def test_large_return_is_cut_to_the_budget(self):
        """Guards against a return that exceeds the budget forever."""
        _, slot_traffic = make_traffic()
        idle = [make_idle('h1', i << 40 | i) for i in range(400)]
        service = Borrower('s0', idle=idle)
        (sent,) = slot_traffic.returns('h0', [service], 0.0)
        assert 0 < len(sent.message.all()) < 400
        assert len(service.idle) == 400 - len(sent.message.all())


class Load:
    """Generates calls of many services and checks the limits.

    It counts the requests on each target and the bytes that each host sends
    for loans.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.rng = random.Random(SEED)
        self.codec = capnp.CapnpCodec()
        self.names = [f'service-{i}' for i in range(SERVICES)]
        self.running = []
        self.in_use = collections.Counter()
        self.sent = collections.Counter()
        self.balance_bytes = dict.fromkeys(cluster.names, BURST_BYTES)
        self.sent_in_total = collections.Counter()
        self.sent_by_type = collections.Counter()
        for name, transport in cluster.network.transports.items():
            self.count_grants(name, transport)

    def count_grants(self, name, transport):
        """Counts the grants, which the log of the network does not contain."""
        handler = transport.handlers[wire.SlotRequest]

        async def counted(host, message):
            answer = await handler(host, message)
            if isinstance(answer, wire.SlotGrant):
                self.count(name, answer)
            return answer

        transport.handlers[wire.SlotRequest] = counted

    def count(self, host, message):
        size = len(self.codec.encode(message)) + frames.OVERHEAD_BYTES
        self.sent[host] += size
        self.sent_by_type[type(message)] += 1

    async def start(self):
        """Applies the services and makes all targets warm on all hosts."""
        for host in self.cluster.hosts.values():
            for name in self.names:
                host.manager.apply(make_document(name))
        await self.cluster.clock.advance(0.5)
        for host in self.cluster.hosts.values():
            for name in self.names:
                service = host.manager.service(name)
                service.retry_budget.percent = 0.0
                service.retry_budget.floor_per_s = 0.0
                for target, entry in service.warmth.entries.items():
                    notice = wire.TargetNotice(name, target, 'p0', 'warm', 1)
                    service.warmth.proved(notice, entry.state.generation)
        # Own slots are unused as long as an earlier process may have lent them.
        await self.cluster.clock.advance(1.5)
        self.cluster.network.log.clear()
        self.sent.clear()

    def arrive(self, host, name):
        service = self.cluster.hosts[host].manager.service(name)
        now_s = self.cluster.clock.monotonic()
        call = self.cluster.call(timeout_s=2.0)

        def done(outcome):
            if isinstance(outcome, result.Success):
                self.dispatch(outcome.unwrap())

        service.enqueue(waiting.Pending(call, frozenset(), done), now_s)

    def dispatch(self, lease):
        if not lease.usable():
            lease.release(cluster_.report(slots.AttemptKind.CANCELLED, 0.0))
            return
        now_s = self.cluster.clock.monotonic()
        self.in_use[lease.target.name] += 1
        assert self.in_use[lease.target.name] <= SLOTS, lease.target.name
        # Requests last less than the time by which the lender's term exceeds
        # that of the borrower.
        end_s = now_s + self.rng.uniform(0.02, 0.08)
        self.running.append((end_s, now_s, lease))

    def finish(self):
        now_s = self.cluster.clock.monotonic()
        due = [item for item in self.running if item[0] <= now_s]
        self.running = [item for item in self.running if item[0] > now_s]
        for _, begun_s, lease in due:
            self.in_use[lease.target.name] -= 1
            lease.release(
                cluster_.report(
                    slots.AttemptKind.ANSWERED,
                    now_s - begun_s,
                    incarnation='p0',
                )
            )

    async def step(self, second):
        for name in self.names:
            # Each second another host receives most calls of a service.
            busy = (second + self.names.index(name)) % len(self.cluster.names)
            for i, host in enumerate(self.cluster.names):
                if self.rng.random() < (0.9 if i == busy else 0.1):
                    self.arrive(host, name)
        await self.cluster.clock.advance(STEP_S)
        self.finish()
        log = self.cluster.network.log
        for sender, _, message in log:
            if isinstance(message, _LOANS):
                self.count(sender, message)
        log.clear()
        for host in self.cluster.names:
            gained = self.balance_bytes[host] + BYTES_PER_S * STEP_S
            self.balance_bytes[host] = (
                min(BURST_BYTES, gained) - self.sent[host]
            )
            # Bytes gained during the step may be spent in the same step.
            assert self.balance_bytes[host] >= -BYTES_PER_S * STEP_S, host
            self.sent_in_total[host] += self.sent[host]
        self.sent.clear()


def make_document(name):
    return documents.ServiceDocument(
        service=name,
        targets=tuple(
            documents.Target(
                f'{name}-t{i}', '127.0.0.1:1', 'luzon-0', 'luzon', SLOTS
            )
            for i in range(TARGETS)
        ),
        routes=(),
    )


class TestBound:
    """Limits with many busy services."""

    async def test_bytes_of_many_busy_services(self):
        """Guards against loan messages over budget and slots used twice."""
        async with cluster_.Cluster() as cluster:
            load = Load(cluster)
            await load.start()
            for step in range(600):
                await load.step(step // 100)
            for host in cluster.names:
                # The calls need more than the budget, so most of it is used.
                assert load.sent_in_total[host] > BYTES_PER_S * 6 * 0.75, host
            for kind in (wire.SlotRequest, wire.SlotGrant, wire.SlotReturn):
                assert load.sent_by_type[kind] > 20, kind


class TestEmptyBudget:
    """Loans while the budget is used up."""

    async def test_unsent_return_lapses_at_its_term(self):
        """Guards against slots that are lost or used twice.

        The return cannot be sent, so the loan ends with its term.
        """
        async with cluster_.Cluster(targets=3) as cluster:
            await cluster.warm_up()
            sent_s = cluster.clock.monotonic()
            lender = cluster.hosts['h0'].service
            borrower = cluster.hosts['h1'].service
            request = wire.SlotRequest('h1', cluster_.SERVICE, 1)
            grant = lender.grant(request)
            (lent,) = grant.slots
            slot_traffic = cluster.hosts['h1'].manager.traffic
            spend_all(slot_traffic)
            borrower.granted('h0', grant, sent_s)
            assert borrower.usable_slots(lent.target) == 2
            for _ in range(98):
                spend_all(slot_traffic)
                await cluster.clock.advance(0.01)
                assert lender.usable_slots(lent.target) == 0
            assert borrower.usable_slots(lent.target) == 2
            for _ in range(14):
                spend_all(slot_traffic)
                await cluster.clock.advance(0.01)
            assert borrower.usable_slots(lent.target) == 1
            assert lender.usable_slots(lent.target) == 1

    async def test_grant_that_cannot_be_sent_lends_nothing(self):
        """Guards against slots lent in a grant that is never sent."""
        async with cluster_.Cluster(targets=3) as cluster:
            await cluster.warm_up()
            host = cluster.hosts['h0']
            before = host.service.spare(cluster.clock.monotonic())
            spend_all(host.manager.traffic)
            request = wire.SlotRequest('h1', cluster_.SERVICE, 1)
            assert host.service.grant(request) is None
            assert host.service.lent() == 0
            assert host.service.spare(cluster.clock.monotonic()) == before
