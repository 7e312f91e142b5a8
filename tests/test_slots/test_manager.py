"""Tests of cold starts, loans and shares across hosts that fail."""

import asyncio

import pytest
from returns import pipeline

from ragwortchute import documents
from ragwortchute import slots
from ragwortchute import wire
from ragwortchute.slots import service as service_
from ragwortchute.targets import state as state_
from tests.test_slots import cluster as cluster_

Phase = state_.Phase
Kind = slots.AttemptKind


def check_limits(cluster):
    """Asserts that no target runs more requests than its age permits."""
    for target, process in cluster.processes.items():
        assert process.running <= cluster.limit(target), target


class TestColdStart:
    """Cold targets that are used by several hosts."""

    async def test_sum_over_hosts_stays_within_the_ramp(self):
        """Guards against several hosts sending to the same cold target."""
        async with cluster_.Cluster() as cluster:
            for host in ('h1', 'h2'):
                assert cluster.send(host) is None
            await cluster.drive(
                cluster_.RAMP_S * 1.5, check=lambda: check_limits(cluster)
            )
            await cluster.clock.advance(0.5)
            for host in cluster.hosts.values():
                assert host.state('t0').proved_warm()

    async def test_no_lease_or_gains_means_no_request(self):
        """Guards against an owner that sends without a valid lease."""
        async with cluster_.Cluster() as cluster:
            membership = cluster.hosts['h0'].membership
            membership.lease = False
            assert cluster.send('h0') is None
            membership.lease = True
            membership.gains = False
            assert cluster.send('h0') is None
            membership.gains = True
            await cluster.clock.advance(0.1)
            assert cluster.send('h0') is not None

    @pytest.mark.parametrize('kind', [Kind.CANCELLED, Kind.TIMEOUT])
    async def test_request_given_up_may_still_run(self, kind):
        """Guards against two requests on a target that may run only one.

        A target notices a cancellation later than the host that cancelled.
        """
        async with cluster_.Cluster(targets=1) as cluster:
            request = cluster.send('h0')
            await cluster.clock.advance(0.2)
            request.lease.release(cluster_.report(kind, 0.2))
            assert cluster.send('h0') is None
            await cluster.clock.advance(service_.CANCEL_GRACE_S / 2)
            assert cluster.send('h0') is None
            await cluster.clock.advance(service_.CANCEL_GRACE_S * 2)
            cluster.processes['t0'].running -= 1
            assert cluster.send('h0') is not None
            check_limits(cluster)

    async def test_two_views_never_share_a_cold_target(self):
        """Guards against a new owner that sends while the old one may do so.

        The old owner is partitioned and does not learn of the new view.
        """
        async with cluster_.Cluster(targets=1) as cluster:
            old, new = cluster.hosts['h0'], cluster.hosts['h1']
            running = [cluster.send('h0')]
            new.membership.epoch = 2
            new.membership.owners = {'t0': 'h1'}
            new.membership.gains = False
            cluster.network.partition(['h0'], ['h1', 'h2'])
            for _ in range(30):
                await cluster.clock.advance(0.1)
                assert cluster.send('h1') is None
            old.membership.lease = False
            new.membership.gains = True
            await cluster.clock.advance(0.2)
            # The request of the old owner may run until its deadline.
            assert cluster.send('h1') is None
            cluster.lose(running.pop())
            await cluster.clock.advance(2.0)
            assert cluster.send('h0') is None
            assert cluster.send('h1') is not None
            check_limits(cluster)

    async def test_old_owner_that_is_reachable_is_asked(self):
        """Guards against a new owner that ignores requests of the old one.

        It must neither send while the old owner has a request in flight, nor
        wait for the full hold once that request has ended.
        """
        async with cluster_.Cluster(targets=1) as cluster:
            request = cluster.send('h0')
            for host in cluster.hosts.values():
                host.membership.epoch = 2
                host.membership.owners = {'t0': 'h1'}
            await cluster.clock.advance(0.5)
            assert cluster.send('h1') is None
            cluster.answer(request)
            await cluster.clock.advance(0.3)
            assert cluster.send('h0') is None
            assert cluster.send('h1') is not None

    async def test_paused_owner_wakes_with_an_unusable_lease(self):
        """Guards against sending after a pause longer than the host's lease."""
        async with cluster_.Cluster(targets=1) as cluster:
            lease = cluster.take('h0')
            paused = cluster.hosts['h0']
            paused.task.cancel()
            paused.membership.lease = False
            cluster.network.down.add('h0')
            for name in ('h1', 'h2'):
                cluster.hosts[name].membership.epoch = 2
                cluster.hosts[name].membership.owners = {'t0': 'h1'}
            await cluster.clock.advance(5.0)
            assert cluster.send('h1') is not None
            assert cluster.dispatch(lease) is None
            lease = cluster.take('h0')
            assert lease is None
            # A new lease is not enough: another host owned the target in the
            # meantime.
            paused.membership.lease = True
            paused.membership.epoch = 3
            paused.membership.gains = False
            assert cluster.take('h0') is None
            check_limits(cluster)

    async def test_silent_restart_behind_the_same_address(self):
        """Guards against full load on a new process that is cold."""
        async with cluster_.Cluster(targets=1) as cluster:
            await cluster.warm_up()
            running = [cluster.send(name) for name in cluster.names]
            assert all(running)
            cluster.restart('t0', running)
            for _ in range(2):
                for name in cluster.names:
                    assert cluster.send(name) is None
                await cluster.clock.advance(0.01)
            # The target is suspect until an answer shows the new incarnation.
            await cluster.drive(
                cluster_.RAMP_S * 2, check=lambda: check_limits(cluster)
            )
            for host in cluster.hosts.values():
                assert host.state('t0').proved_warm()
                assert host.state('t0').incarnation == 'p0+'

    async def test_lost_connections_of_the_same_process(self):
        """Guards against a full warm-up after the loss of connections only."""
        async with cluster_.Cluster(targets=1) as cluster:
            await cluster.warm_up()
            for name in ('h0', 'h1'):
                cluster.hosts[name].upstream.break_all('t0')
                assert cluster.send(name) is None
                await cluster.drive(1.0)
                state = cluster.hosts[name].state('t0')
                assert state.proved_warm(), name

    async def test_sheds_below_the_slots_stop_all_hosts(self):
        """Guards against load on a target that turned cold without restart."""
        async with cluster_.Cluster(targets=1) as cluster:
            await cluster.warm_up()
            held = cluster.send('h2')
            request = cluster.send('h1')
            request.process.running -= 1
            request.lease.release(
                cluster_.report(Kind.SHED, 0.001, running=1, incarnation='p0')
            )
            await cluster.clock.advance(0.3)
            for name in cluster.names:
                assert cluster.hosts[name].state('t0').phase is Phase.COLD
                # The request of h2 still runs and uses up the cold limit.
                assert cluster.send(name) is None
            cluster.answer(held)
            await cluster.clock.advance(0.3)
            assert cluster.send('h1') is None
            assert cluster.send('h0') is not None

    async def test_whole_domain_returns(self):
        """Guards against full load on targets whose domain came back."""
        async with cluster_.Cluster(targets=3) as cluster:
            await cluster.warm_up()
            for host in cluster.hosts.values():
                host.domains_out |= {'luzon-0', 'luzon-1'}
                host.manager.domains_changed()
            leases = [cluster.take(name) for name in cluster.names * 3]
            assert {lease.target.name for lease in leases if lease} == {'t2'}
            for lease in filter(None, leases):
                lease.release(cluster_.report(Kind.CANCELLED, 0.0))
            for target in ('t0', 't1'):
                cluster.restart(target)
            await cluster.clock.advance(1.0)
            for host in cluster.hosts.values():
                host.domains_out.clear()
                host.manager.domains_changed()
            await cluster.drive(
                cluster_.RAMP_S * 2, check=lambda: check_limits(cluster)
            )
            assert cluster.hosts['h2'].state('t0').proved_warm()

    async def test_restarted_host_learns_warm_targets(self):
        """Guards against a new warm-up of warm targets when a host restarts."""
        async with cluster_.Cluster(targets=1) as cluster:
            await cluster.warm_up()
            for name in ('h0', 'h2'):
                await cluster.drive(0.1)
                await cluster.hosts[name].kill()
                cluster.hosts[name] = cluster_.Host(cluster, name, 7)
                cluster.hosts[name].start()
                await cluster.clock.advance(0.2)
                assert cluster.hosts[name].state('t0').proved_warm()
                # The earlier process of the host may have lent its slot.
                assert cluster.take(name) is None
                await cluster.clock.advance(1.2)
                assert cluster.send(name) is not None

    async def test_late_notice_does_not_cover_a_new_process(self):
        """Guards against applying a delayed notice to a new process."""
        async with cluster_.Cluster(targets=1) as cluster:
            warmth = cluster.hosts['h1'].service.warmth
            upstream = cluster.hosts['h1'].upstream
            notice = wire.TargetNotice('dispatch', 't0', 'p0', 'warming', 1)
            assert warmth.on_notice('h0', notice).accepted
            upstream.break_all('t0')
            await cluster.clock.advance(0.3)
            assert cluster.hosts['h1'].state('t0').connections
            late = wire.TargetNotice('dispatch', 't0', 'p0', 'warm', 1)
            assert not warmth.on_notice('h0', late).accepted
            assert cluster.take('h1') is None

    async def test_draining_target_gets_no_new_work(self):
        """Guards against work for a target that is leaving."""
        async with cluster_.Cluster(targets=1) as cluster:
            await cluster.warm_up()
            cluster.answer(cluster.send('h1'), draining=True)
            await cluster.clock.advance(0.1)
            for name in cluster.names:
                assert cluster.take(name) is None


class TestLoans:
    """Loans between hosts, with lost hosts and messages."""

    async def borrow(self, cluster, host='h1'):
        """Makes a host use all its own slots and borrow one.

        Returns:
            The leases on own slots, and the lease on the borrowed slot.
        """
        await cluster.warm_up()
        await cluster.clock.advance(0.3)
        held = []
        while lease := cluster.take(host):
            held.append(lease)
        service = cluster.hosts[host].service
        service.retry_budget.percent = 0.0
        service.retry_budget.floor_per_s = 0.0
        call = cluster.call(timeout_s=30.0)
        task = asyncio.create_task(service.acquire(call))
        await cluster.clock.advance(0.02)
        assert pipeline.is_successful(task.result())
        return held, task.result().unwrap()

    def holdings(self, cluster, target):
        return [
            host.service.usable_slots(target) for host in cluster.hosts.values()
        ]

    async def test_waiting_call_gets_a_lent_slot_and_returns_it(self):
        """Guards against spare slots that stay unused while calls wait."""
        async with cluster_.Cluster(targets=3) as cluster:
            _, lease = await self.borrow(cluster)
            target = lease.target.name
            assert sum(self.holdings(cluster, target)) == cluster.slots
            assert sorted(self.holdings(cluster, target)) == [0, 1, 2]
            lease.release(cluster_.report(Kind.ANSWERED, 0.02))
            await cluster.clock.advance(0.2)
            assert self.holdings(cluster, target) == [1, 1, 1]

    async def test_lost_borrower(self):
        """Guards against slots that are lost or used twice with a lost host."""
        async with cluster_.Cluster(targets=3) as cluster:
            _, lease = await self.borrow(cluster)
            target = lease.target.name
            await cluster.hosts.pop('h1').kill()
            cluster.network.down.add('h1')
            await cluster.clock.advance(0.9)
            assert sum(self.holdings(cluster, target)) == 1
            await cluster.clock.advance(0.3)
            assert self.holdings(cluster, target) == [1, 1]

    async def test_lost_lender(self):
        """Guards against a borrower that uses slots after the term."""
        async with cluster_.Cluster(targets=3) as cluster:
            _, lease = await self.borrow(cluster)
            target = lease.target.name
            borrower = cluster.hosts['h1'].service
            assert borrower.usable_slots(target) == 2
            for name in ('h0', 'h2'):
                cluster.network.down.add(name)
            await cluster.clock.advance(1.05)
            assert borrower.usable_slots(target) == 1
            assert not lease.usable()

    async def test_lost_grant(self):
        """Guards against a lender that uses slots of a grant that was lost.

        The borrower may have received the grant, so the slots stay lent until
        the end of the term.
        """
        async with cluster_.Cluster(targets=3) as cluster:
            await cluster.warm_up()
            lender = cluster.hosts['h0'].service
            before = lender.spare(cluster.clock.monotonic())
            request = wire.SlotRequest('h1', cluster_.SERVICE, 1)
            assert len(lender.grant(request).slots) == 1
            assert lender.spare(cluster.clock.monotonic()) == before - 1
            await cluster.clock.advance(1.05)
            assert lender.spare(cluster.clock.monotonic()) == before - 1
            await cluster.clock.advance(0.1)
            assert lender.spare(cluster.clock.monotonic()) == before

    async def test_requests_of_all_services_share_a_limit(self):
        """Guards against control traffic that grows with each service."""
        async with cluster_.Cluster(hosts=2, targets=1) as cluster:
            host = cluster.hosts['h0']
            tasks = []
            for i in range(8):
                name = f'service-{i}'
                host.manager.apply(documents.ServiceDocument(name, (), ()))
                service = host.manager.service(name)
                call = cluster.call(9.0)
                tasks.append(asyncio.create_task(service.acquire(call)))
            await cluster.clock.advance(1.0)
            cluster.network.log.clear()
            await cluster.clock.advance(3.0)
            log = cluster.network.log
            asked = [m for *_, m in log if isinstance(m, wire.SlotRequest)]
            assert 30 <= len(asked) <= 4 * 20
            for task in tasks:
                task.cancel()

    async def test_loan_of_another_serving_set_is_refused(self):
        """Guards against using a slot that now belongs to a third host."""
        async with cluster_.Cluster(targets=3) as cluster:
            await cluster.warm_up()
            lender = cluster.hosts['h0']
            lender.membership.hosts = ['h0', 'h1']
            lender.membership.epoch = 2
            lender.manager.view_changed()
            request = wire.SlotRequest('h1', cluster_.SERVICE, 2)
            grant = lender.service.grant(request)
            assert grant.slots
            borrower = cluster.hosts['h1'].service
            borrower.granted('h0', grant, cluster.clock.monotonic())
            assert borrower.borrowed() == 0


class TestSpeed:
    """Slow targets."""

    async def test_share_of_a_slow_target_falls(self):
        """Guards against normal load on a target that turned slow."""
        async with cluster_.Cluster(hosts=2, targets=4, slots_=4) as cluster:
            await cluster.warm_up()
            service = cluster.hosts['h0'].service
            state = cluster.hosts['h0'].state('t1')
            assert state.candidate.share == 2
            lease = service.take_free(
                frozenset({'t0', 't2', 't3'}), cluster.clock.monotonic()
            )
            lease.release(cluster_.report(Kind.ANSWERED, 0.3, incarnation='p0'))
            assert state.candidate.share == 1
            taken = [cluster.take('h0') for _ in range(6)]
            names = {lease.target.name for lease in taken if lease}
            assert names == {'t0', 't2', 't3'}
            for lease in filter(None, taken):
                lease.release(cluster_.report(Kind.CANCELLED, 0.0))
            for _ in range(20):
                state.note_latency(0.02)
            await cluster.clock.advance(0.1)
            assert state.candidate.share == 2


class TestFailing:
    """Targets that answer 5xx, usually faster than the others."""

    async def load(self, cluster, seconds, failing):
        """Sends as many requests from h0 as its slots permit.

        Args:
            cluster: The cluster.
            seconds: Duration.
            failing: Names of the targets that answer 500 at once.

        Returns:
            The number of requests by target name.
        """
        counts = dict.fromkeys(cluster.processes, 0)
        running = []
        for _ in range(round(seconds / 0.005)):
            for request in list(running):
                target = request.lease.target.name
                bad = target in failing
                age_s = cluster.clock.monotonic() - request.begun_s
                if bad or age_s >= 0.02 - 1e-6:
                    running.remove(request)
                    cluster.answer(request, status=500 if bad else 200)
            while request := cluster.send('h0'):
                counts[request.lease.target.name] += 1
                running.append(request)
            await cluster.clock.advance(0.005)
        for request in running:
            bad = request.lease.target.name in failing
            cluster.answer(request, status=500 if bad else 200)
        return counts

    def shares(self, cluster):
        host = cluster.hosts['h0']
        return [host.state(t).candidate.share for t in cluster.processes]

    async def test_one_failing_target_is_only_probed(self):
        """Guards against a target that attracts calls by failing fast."""
        async with cluster_.Cluster(hosts=2, targets=4, slots_=4) as cluster:
            await cluster.warm_up()
            await self.load(cluster, 1.0, ())
            before = self.shares(cluster)
            await self.load(cluster, 0.3, {'t1'})
            counts = await self.load(cluster, 2.0, {'t1'})
            assert 10 <= counts['t1'] <= 21
            assert min(counts[t] for t in ('t0', 't2', 't3')) > 100
            assert self.shares(cluster) == [before[0], 1, *before[2:]]

    async def test_failing_target_recovers(self):
        """Guards against a recovered target that gets no work or turns cold."""
        async with cluster_.Cluster(hosts=2, targets=4, slots_=4) as cluster:
            await cluster.warm_up()
            await self.load(cluster, 1.0, ())
            before = self.shares(cluster)
            await self.load(cluster, 3.0, {'t1'})
            assert self.shares(cluster) != before
            await self.load(cluster, 5.0, ())
            assert self.shares(cluster) == before
            assert cluster.hosts['h0'].state('t1').proved_warm()
            counts = await self.load(cluster, 1.0, ())
            assert counts['t1'] > 50

    async def test_recovers_while_others_have_free_slots(self):
        """Guards against a target that is never probed at low load."""
        async with cluster_.Cluster(hosts=2, targets=4, slots_=4) as cluster:
            await cluster.warm_up()
            await self.load(cluster, 1.0, ())
            before = self.shares(cluster)
            await self.load(cluster, 1.0, {'t1'})
            assert self.shares(cluster) != before
            for _ in range(200):
                request = cluster.send('h0')
                await cluster.clock.advance(0.025)
                cluster.answer(request, status=200)
            assert self.shares(cluster) == before

    async def test_all_failing_changes_nothing(self):
        """Guards against a service that loses its slots if all targets fail."""
        async with cluster_.Cluster(hosts=2, targets=4, slots_=4) as cluster:
            await cluster.warm_up()
            await self.load(cluster, 1.0, ())
            before = self.shares(cluster)
            counts = await self.load(cluster, 2.0, set(cluster.processes))
            assert self.shares(cluster) == before
            assert min(counts.values()) > 100
            counts = await self.load(cluster, 1.0, ())
            assert min(counts.values()) > 50

    async def test_few_answers_change_nothing(self):
        """Guards against marking a target as failing after a few answers."""
        async with cluster_.Cluster(hosts=2, targets=4, slots_=4) as cluster:
            await cluster.warm_up()
            before = self.shares(cluster)
            service = cluster.hosts['h0'].service
            for _ in range(10):
                lease = service.take_free(
                    frozenset({'t0', 't2', 't3'}), cluster.clock.monotonic()
                )
                request = cluster.dispatch(lease)
                cluster.answer(request, status=500)
            assert self.shares(cluster) == before


class TestWaiting:
    """Waiting calls and overflow."""

    async def test_cancelled_call_leaks_no_slot(self):
        """Guards against slots lost to callers that disconnect."""
        async with cluster_.Cluster(hosts=1, targets=1) as cluster:
            await cluster.warm_up()
            service = cluster.hosts['h0'].service
            service.retry_budget.floor_per_s = 0.0
            service.retry_budget.percent = 0.0
            held = [cluster.take('h0') for _ in range(3)]
            task = asyncio.create_task(service.acquire(cluster.call()))
            await cluster.clock.advance(0.01)
            task.cancel()
            # The slot becomes free between cancellation and its handling.
            held.pop().release(cluster_.report(Kind.ANSWERED, 0.02))
            await cluster.clock.advance(0.01)
            assert task.cancelled()
            assert cluster.take('h0') is not None

    async def test_hedge_denied_by_slots_or_budget(self):
        """Guards against hedges over budget, and denied ones being charged."""
        async with cluster_.Cluster(hosts=1, targets=2) as cluster:
            await cluster.warm_up()
            service = cluster.hosts['h0'].service
            call = cluster.call()
            denied = service.try_acquire(call)
            assert denied.failure() is slots.HedgeDenial.BUDGET
            for _ in range(20):
                service.hedge_budget.record_call(cluster.clock.monotonic())
            both = frozenset({'t0', 't1'})
            denied = service.try_acquire(call, exclude=both)
            assert denied.failure() is slots.HedgeDenial.NO_SLOT
            assert service.hedge_budget.available() == 1
            assert pipeline.is_successful(service.try_acquire(call))
            assert service.hedge_budget.available() == 0
            denied = service.try_acquire(call)
            assert denied.failure() is slots.HedgeDenial.BUDGET
            denied = service.try_acquire(call, exclude=both)
            assert denied.failure() is slots.HedgeDenial.NO_SLOT

    async def test_deadline_and_wrong_host(self):
        """Guards against calls that wait although they cannot be served."""
        async with cluster_.Cluster(hosts=2, targets=1) as cluster:
            service = cluster.hosts['h1'].service
            task = asyncio.create_task(service.acquire(cluster.call(0.3)))
            await cluster.clock.advance(0.35)
            assert task.result().failure().reason == 'deadline'
            membership = cluster.hosts['h1'].membership
            membership.hosts = ['h0']
            await cluster.clock.advance(0.2)
            refused = await service.acquire(cluster.call())
            assert refused.failure().reason == 'wrong-host'

    async def test_overflow_is_bounded(self):
        """Guards against more than one overflow request per target."""
        async with cluster_.Cluster(hosts=3, targets=1, slots_=2) as cluster:
            await cluster.warm_up()
            services = [host.service for host in cluster.hosts.values()]
            service = next(s for s in services if s.usable_slots('t0') == 0)
            cluster.network.cut |= {
                (a, b) for a in cluster.names for b in cluster.names
            }
            service.retry_budget.percent = 100.0
            for _ in range(20):
                service.retry_budget.record_call(cluster.clock.monotonic())
            tasks = [
                asyncio.create_task(service.acquire(cluster.call(9.0)))
                for _ in range(3)
            ]
            await cluster.clock.advance(0.02)
            assert sum(task.done() for task in tasks) == 1
            done = next(task for task in tasks if task.done())
            assert done.result().unwrap().overflow
            assert isinstance(service, service_.ServiceSlots)
            for task in tasks:
                task.cancel()


class TestUpkeep:
    """The upkeep task of the manager."""

    async def test_error_in_one_service_stops_no_other(self, monkeypatch):
        """Guards against upkeep that stops for all services after an error.

        Waiting calls would then not be refused at their deadline.
        """
        async with cluster_.Cluster(hosts=1, targets=1) as cluster:
            manager = cluster.hosts['h0'].manager
            other = documents.ServiceDocument('billing', (), ())
            manager.apply(other)

            def fail():
                raise RuntimeError('fault of the test')

            monkeypatch.setattr(manager.service('dispatch'), 'tick', fail)
            service = manager.service('billing')
            call = cluster.call(0.2)
            task = asyncio.create_task(service.acquire(call))
            await cluster.clock.advance(0.3)
            assert task.result().failure().reason == 'deadline'
            assert not cluster.hosts['h0'].task.done()


class TestBaselinePolicies:
    """Balancers that are not limited to the shares of a host."""

    async def test_shares_are_ignored(self):
        """Guards against a baseline balancer that is limited to shares."""
        async with cluster_.Cluster(
            hosts=3, targets=1, balancer='least_inflight'
        ) as cluster:
            await cluster.warm_up()
            taken = [cluster.take('h1') for _ in range(4)]
            assert [lease is not None for lease in taken] == [
                True,
                True,
                True,
                False,
            ]


def test_document_defaults():
    """Guards against a default balancer that is not registered."""
    document = documents.ServiceDocument('s', (), ())
    assert document.balancer in service_.balancers.REGISTRY.names()
