"""Tests of the parts of admission control."""

import asyncio
import random

import pytest

from ragwortchute.gateway import dialect
from ragwortchute.gateway import host_settings
from ragwortchute.gateway import model
from ragwortchute.gateway.admission import levels
from ragwortchute.gateway.admission import room
from ragwortchute.gateway.admission import scarcity
from ragwortchute.gateway.admission import shares
from ragwortchute.gateway.admission import waiting
from ragwortchute.gateway.selection import probe_budget
from ragwortchute.gateway.selection import work_times
from standins import platform_targets
from tests.test_gateway import rig as rigs

SLOTS = (1, 2, 4, 6, 40)
URGENT = rigs.route(name='urgent', path_prefix='/u/', timeout_s=9.0)
# With one target, the budget for probes would suffice for few requests.
PROBES = host_settings.FleetLimits(probes_per_s=1e4)
OBJECTIVE_S = rigs.route().objective_s
WRITE = rigs.route(idempotent=False, priority=1, timeout_s=9.0)


def reading(running, slots=4, taken_s=0.0):
    return dialect.Reading(taken_s, running=running, slots=slots)


class TestLevels:
    """Room must be kept only where more urgent requests can come."""

    def levels(self, *routes, organisations=None):
        found = levels.Levels()
        cfg = rigs.configuration(*routes)
        found.update(
            model.Configuration(
                1, cfg.routes, cfg.services, cfg.limits, organisations
            )
        )
        return found

    def test_equal_priorities_have_one_rank(self):
        found = self.levels(rigs.route(priority=7))
        assert found.count('svc') == 1
        assert found.rank('svc', 7, OBJECTIVE_S) == 0
        assert found.count('other') == 1

    def test_rank_counts_more_urgent_priorities(self):
        found = self.levels(
            rigs.route(priority=7), rigs.route(path_prefix='/s/', priority=3)
        )
        ranks = [found.rank('svc', item, OBJECTIVE_S) for item in (3, 5, 7, 9)]
        assert ranks == [0, 1, 1, 2]

    def test_priorities_of_organisations_count(self):
        organisation = model.Organisation('o', frozenset(), priority=0)
        found = self.levels(
            rigs.route(priority=1), organisations={'o': organisation}
        )
        assert found.rank('svc', 1, OBJECTIVE_S) == 1

    def test_priorities_that_organisations_replace_keep_no_room(self):
        # Room was kept for requests of the route's priority, which never came.
        organisation = model.Organisation('o', frozenset(), priority=1)
        found = self.levels(
            rigs.route(priority=0),
            rigs.route(path_prefix='/s/', priority=2),
            organisations={'o': organisation},
        )
        assert found.count('svc') == 1
        assert found.rank('svc', 1, OBJECTIVE_S) == 0

    def test_longer_objective_comes_later_at_equal_priority(self):
        long_s = OBJECTIVE_S * levels.PATIENT_OBJECTIVES
        found = self.levels(
            rigs.route(), rigs.route(path_prefix='/s/', objective_s=long_s)
        )
        priority = rigs.route().priority
        assert found.rank('svc', priority, OBJECTIVE_S) == 0
        assert found.rank('svc', priority, long_s * 0.99) == 0
        assert found.rank('svc', priority, long_s) == 1


class TestRoom:
    """Less urgent requests must leave room, but not all of it."""

    @pytest.mark.parametrize('slots', SLOTS)
    @pytest.mark.parametrize('rank', [1, 2, 9])
    def test_least_room_is_never_taken_away(self, rank, slots):
        limit = room.Limit(rank)
        for full_share in (0.0, 0.5, 1.0):
            assert limit.allows(0, slots, full_share, 0.99)
            assert not limit.allows(slots, slots, full_share, 0.0)

    def test_more_is_kept_the_fuller_the_service_and_the_lower_the_rank(self):
        kept = [
            [room.Limit(rank).kept(share / 20) for share in range(21)]
            for rank in range(4)
        ]
        assert set(kept[0]) == {0.0}
        for row, following in zip(kept, kept[1:], strict=False):
            assert row == sorted(row)
            assert all(a <= b for a, b in zip(row, following, strict=True))

    def test_nothing_is_kept_while_there_is_room(self):
        assert room.Limit(1).kept(0.6) == 0
        assert room.Limit(1).allows(3, 6, 0.6, 0.99)

    def test_all_hosts_keep_the_same_slots(self):
        # The part of a slot that is kept depends on the target only.
        limit = room.Limit(1)
        draws = [number / 10 for number in range(10)]
        free = [limit.allows(1, 4, 0.8, draw) for draw in draws]
        assert free == sorted(free, reverse=True)
        assert True in free
        assert False in free

    def test_share_follows_the_readings(self):
        fullness = room.Fullness()
        assert fullness.share() == 0
        fullness.note(dialect.Reading(0.0))
        assert fullness.share() == 0
        fullness.note(reading(4))
        for without in ({'cold_s': 1.0}, {'healthy': False}):
            fullness.note(dialect.Reading(0.0, slots=4, **without))
        assert fullness.share() == 1
        for number in range(100):
            fullness.note(reading(3 if number % 4 else 2, taken_s=number / 100))
        assert fullness.share() == pytest.approx(0.75, abs=0.05)
        for number in range(100):
            fullness.note(reading(0, taken_s=1 + number / 100))
        assert fullness.share() < 0.1

    def test_readings_out_of_order_are_counted(self):
        fullness = room.Fullness()
        fullness.note(reading(4, taken_s=5.0))
        fullness.note(reading(4, taken_s=4.0))
        assert fullness.share() == 1


class TestScarcity:
    """Admission must act only if requests end beyond their objectives."""

    def note(self, measure, late_one_in, count=200, start_s=0.0):
        for number in range(count):
            late = number % late_one_in == late_one_in - 1
            measure.note(late=late, now_s=start_s + number / 100)
        return measure.present

    def test_it_lasts_until_hardly_any_is_late(self):
        # It ended and began again several times a second at constant load.
        measure = scarcity.Scarcity()
        assert not self.note(measure, 12)
        assert self.note(measure, 3, start_s=2.0)
        assert self.note(measure, 9, start_s=4.0)
        assert not self.note(measure, 99, start_s=6.0)

    def test_few_requests_suffice(self):
        # Hosts that get few requests noticed overload only after seconds.
        measure = scarcity.Scarcity()
        assert self.note(measure, 1, 2)
        measure.note(late=False, now_s=60.0)
        assert not measure.present


class TestShares:
    """No kind and no organisation may get next to nothing."""

    def test_kind_without_its_share_lags(self):
        known = shares.Shares()
        for _ in range(20):
            for rank in (0, 2):
                known.note_offered(rank, '', 0.0)
            known.note_admitted(0, '', 0.1)
        assert known.is_lagging(2)
        assert not known.is_lagging(0)

    def test_organisation_that_uses_most_is_over_its_share(self):
        known = shares.Shares()
        for name, requests in (('large', 7), ('a', 1), ('b', 1)):
            for _ in range(requests):
                known.note_offered(0, name, 0.0)
                known.note_admitted(0, name, 0.1)
        assert known.is_over_share('large')
        assert not known.is_over_share('a')
        assert not known.is_over_share('unknown')

    def test_few_requests_do_not_make_an_organisation_large(self):
        known = shares.Shares()
        for name, requests in (('a', 2), ('b', 1), ('c', 0)):
            known.note_offered(0, name, 0.0)
            for _ in range(requests):
                known.note_admitted(0, name, 0.1)
        assert not known.is_over_share('a')

    def test_organisations_that_send_nothing_are_forgotten(self):
        known = shares.Shares()
        for number in range(1000):
            known.note_offered(0, f'o{number}', number * 1.0)
        assert len(known._organisations) < 30

    def test_short_peak_is_admitted_and_overload_is_not(self):
        known = shares.Shares()
        for _ in range(100):
            known.note_offered(1, '', 0.0)
            known.note_admitted(1, '', 0.1)
        assert [known.spend_exception() for _ in range(6)] == [True] * 5 + [
            False
        ]
        for _ in range(100):
            known.note_offered(1, '', 0.0)
        assert not known.spend_exception()

    def test_room_is_expected_later_if_fewer_are_admitted(self):
        known = shares.Shares()
        waits = []
        for _ in range(4):
            known.note_offered(1, '', 0.0)
            known.note_offered(1, '', 0.0)
            known.note_admitted(1, '', 0.1)
            waits.append(known.expected_room_s(1, 0.5))
            known.note_offered(1, '', 0.0)
        assert waits == sorted(waits)
        assert known.expected_room_s(2, 0.5) == shares.MEMORY_S


class TestWaitQueue:
    """The most urgent request must be the first one to get room."""

    def waiter(self, steps, until_s=0.5):
        now_s = asyncio.get_running_loop().time()
        return waiting.WaitingRequest(steps, now_s + until_s, now_s)

    async def test_order_is_urgency_then_end_of_the_wait(self):
        queue = waiting.WaitQueue()
        requests = [
            self.waiter(steps, until_s)
            for steps, until_s in ((2, 0.5), (2, 0.4), (1, 0.5), (2, 0.3))
        ]
        for waiter in requests:
            assert queue.join(waiter)
        order = []
        while queue.first is not None:
            order.append(requests.index(queue.first))
            assert queue.first.ready.done()
            queue.leave(queue.first)
        assert order == [0, 2, 3, 1]

    async def test_requests_that_leave_the_queue_do_not_get_a_turn(self):
        queue = waiting.WaitQueue()
        requests = [self.waiter(1) for _ in range(3)]
        for waiter in requests:
            queue.join(waiter)
        queue.leave(requests[1])
        queue.leave(requests[0])
        assert queue.first is requests[2]
        queue.leave(requests[2])
        assert len(queue) == 0

    async def test_freed_target_is_told(self):
        queue = waiting.WaitQueue()
        gone = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_soon(queue.note_end, 'target')
        assert await queue.wait_for_end(1.0, gone) == 'target'
        assert await queue.wait_for_end(0.001, gone) is None

    @pytest.mark.parametrize('time_s', [0.0, 0.1, 1.0, 60.0])
    def test_wait_leaves_four_fifths(self, time_s):
        assert 0 <= waiting.longest_wait_s(time_s) <= time_s / 5


class TestProbes:
    """Less urgent requests must not spend the probes of urgent ones."""

    def test_urgent_requests_probe_more(self):
        budget = probe_budget.ProbeBudget(60.0, 0.0)
        budget.update(0.0, 10, 10)
        assert budget.has_spare()
        budget.spend(20)
        assert not budget.has_spare()
        counts = [
            [
                budget.targets_to_probe(3, first_round=first, urgent=urgent)
                for first in (True, False)
            ]
            for urgent in (True, False)
        ]
        assert counts == [[3, 3], [1, 0]]


class TestWorkTimes:
    """Requests must not be judged by a mean that few of them have."""

    def test_long_work_is_learnt(self):
        route = rigs.route(timeout_s=60.0)
        known = work_times.WorkTimes()
        guess_s = pytest.approx(0.3 * route.objective_s)
        assert known.long_s(route) == known.expected_s(route) == guess_s
        rng = random.Random(1)
        samples = [rng.expovariate(10) for _ in range(300)]
        for work_s in samples:
            known.record(route, work_s)
        exceeded = sum(work_s > known.long_s(route) for work_s in samples)
        assert known.expected_s(route) == pytest.approx(0.1, rel=0.4)
        assert 0.04 < exceeded / len(samples) < 0.2

    def test_guess_leaves_time(self):
        route = rigs.route(timeout_s=0.5, objective_s=0.5)
        assert work_times.WorkTimes().expected_s(route) == 0.05


async def until(condition):
    """Waits until a condition holds."""
    for _ in range(600):
        if condition():
            return
        await asyncio.sleep(0.005)
    assert condition()


class TestRequests:
    """A host must send, delay or refuse requests as their urgency demands.

    The targets are real servers.
    """

    def server(self, **fields):
        return platform_targets.TargetServer('t0', **fields)

    async def start_full(self, start, work_s=0.5):
        """Starts a host whose target is occupied by an urgent request.

        The requests before it were late.
        """
        server = self.server(slots=1, work_s=work_s)
        rig = await start(server, routes=[URGENT, WRITE], limits=PROBES)
        self.set_scarce(rig)
        first = asyncio.create_task(rig.request('/u/x', deadline_ms=9000))
        await until(lambda: server.runs)
        return rig, server, first

    def set_scarce(self, rig):
        measure = rig.dispatcher.gate._service('svc').scarcity
        for _ in range(scarcity.MEMORY_REQUESTS):
            measure.note(late=True, now_s=asyncio.get_running_loop().time())

    async def wait(self, rig, count=1):
        """Sends less urgent requests that wait for room one by one."""
        tasks = []
        for number in range(count):
            tasks.append(
                asyncio.create_task(
                    rig.request(method='POST', deadline_ms=9000)
                )
            )
            gate = rig.dispatcher.gate
            await until(
                lambda gate=gate, number=number: (
                    gate.waiting_requests == number + 1
                )
            )
        return tasks

    async def test_less_urgent_request_waits_for_room(self, start):
        rig, _, first = await self.start_full(start)
        (task,) = await self.wait(rig)
        assert (await first).status == (await task).status == 200
        assert rig.dispatcher.gate.waiting_requests == 0
        (waited_ms,) = [
            fields['waited_ms']
            for kind, fields in rig.log.lines
            if kind == 'request' and fields['priority'] == 1
        ]
        assert waited_ms > 0

    async def test_request_without_room_is_refused(self, start):
        rig, server, first = await self.start_full(start, work_s=5.0)
        (task,) = await self.wait(rig)
        answer = await task
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        assert rig.stats.refused_priorities == {'no-room/1': 1}
        (held_ms,) = [
            fields['ms'] for kind, fields in rig.log.lines if kind == 'request'
        ]
        assert held_ms <= 9000 / 5
        assert len(server.runs) == 1
        first.cancel()

    async def test_request_that_waited_is_not_sent_in_a_stop(self, start):
        # It would still run when the host ends.
        rig, server, first = await self.start_full(start)
        (task,) = await self.wait(rig)
        loop = asyncio.get_running_loop()
        rig.grace_period.ends_s = loop.time()
        assert (await task).status == 503
        assert (await first).status == 200
        assert rig.stats.refusals == {'stopping': 1}
        assert len(server.runs) == 1

    @pytest.mark.parametrize('leaves', [0, 1])
    async def test_caller_that_leaves_is_not_served(self, start, leaves):
        # The first of those that wait probes, the second waits for its turn.
        rig, server, first = await self.start_full(start)
        tasks = await self.wait(rig, 2)
        tasks.pop(leaves).cancel()
        await until(lambda: rig.dispatcher.gate.waiting_requests == 1)
        assert (await first).status == (await tasks[0]).status == 200
        assert len(server.runs) == 2

    async def test_short_of_probes_request_is_sent_while_there_is_room(
        self, start
    ):
        # Hosts with few probes refused less urgent requests without load.
        rig = await start(
            self.server(slots=1),
            routes=[URGENT, WRITE],
            limits=host_settings.FleetLimits(probes_per_s=0.01),
        )
        self.set_scarce(rig)
        for _ in range(3):
            assert (await rig.request(method='POST')).status == 200

    async def test_equal_requests_are_sent_as_before(self, start):
        server = self.server(slots=1)
        rig = await start(server, routes=[WRITE])
        answers = await asyncio.gather(
            *(rig.request(method='POST') for _ in range(4))
        )
        assert [answer.status for answer in answers] == [200] * 4
        assert rig.dispatcher.gate._services == {}

    async def test_target_that_answers_no_request_is_left(self, start):
        # It answers health requests, and is free again after each deadline.
        servers = [
            platform_targets.TargetServer(f't{number}') for number in range(2)
        ]
        servers[0].fault = 'hang'
        route = rigs.route(idempotent=False, timeout_s=0.1)
        rig = await start(*servers, routes=[route])
        statuses = [
            (await rig.request(method='POST')).status for _ in range(20)
        ]
        assert statuses.count(504) <= 6
        assert statuses.count(200) == 20 - statuses.count(504)
