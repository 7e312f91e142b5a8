"""Tests of decisions that involve no network."""

import random

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from ragwortchute.gateway import dialect
from ragwortchute.gateway import directory
from ragwortchute.gateway import retry_budget
from ragwortchute.gateway import routing
from ragwortchute.gateway.peers import shares
from ragwortchute.gateway.selection import estimates
from ragwortchute.gateway.selection import pacing
from ragwortchute.gateway.selection import probe_budget
from ragwortchute.gateway.selection import service_load
from ragwortchute.gateway.store import sources
from tests.test_gateway import rig as rigs


class TestRoutes:
    """A request must get the route with the longest matching prefix."""

    def table(self, *prefixes, host='example'):
        return routing.RouteTable(
            tuple(
                rigs.route(name=prefix, path_prefix=prefix, host=host)
                for prefix in prefixes
            )
        )

    @pytest.mark.parametrize(
        ('path', 'expected'),
        [
            ('/a/b/c', '/a/b/'),
            ('/a/b/', '/a/b/'),
            ('/a/b', '/a/'),
            ('/a/', '/a/'),
            ('/a', None),
            ('/ab/c', None),
            ('/a//b/', '/a/'),
            ('/a/b/../x', '/a/b/'),
            ('', None),
        ],
    )
    def test_longest_prefix_wins(self, path, expected):
        route = self.table('/a/', '/a/b/').match('example', path)
        assert (route.name if route else None) == expected

    def test_other_host_has_no_route(self):
        assert self.table('/a/').match('other', '/a/x') is None

    def test_root_prefix_matches_every_path(self):
        assert self.table('/').match('example', '/x').name == '/'

    def test_homes_of_a_host_name_are_common_to_all_routes(self):
        at_home = rigs.route(homes=('a',))
        anywhere = rigs.route(path_prefix='/s/')
        both = rigs.route(path_prefix='/t/', homes=('a', 'b'))
        assert routing.RouteTable((at_home, both)).homes('example') == ('a',)
        assert routing.RouteTable((at_home, anywhere)).homes('example') == ()


class TestRetryBudgetOfAllHosts:
    """Retries of all hosts together must not exceed the limit."""

    @given(
        st.lists(
            st.tuples(
                st.floats(0, 3),
                st.integers(0, 3),
                st.booleans(),
            ),
            max_size=200,
        )
    )
    def test_limit_holds_over_all_hosts(self, steps):
        # Four hosts with a budget each, checked against the limit for all.
        hosts = 4
        budgets = [
            retry_budget.RetryBudget(0.2, 20.0, 10.0) for _ in range(hosts)
        ]
        now_s = 0.0
        requests = []
        retries = []
        for gap_s, host, wants in steps:
            now_s += gap_s
            budgets[host].note_request(now_s)
            requests.append(now_s)
            while wants and budgets[host].try_spend(now_s, hosts):
                retries.append(now_s)
            retried = [time_s for time_s in retries if time_s > now_s - 10]
            received = [time_s for time_s in requests if time_s > now_s - 10]
            assert len(retried) <= 0.2 * len(received) + 20

    def test_budget_is_restored_after_the_window(self):
        budget = retry_budget.RetryBudget(0.0, 10.0, 10.0)
        spent = 0
        while budget.try_spend(0.0, 1):
            spent += 1
        assert spent == 8
        assert not budget.try_spend(9.0, 1)
        assert budget.try_spend(10.5, 1)


class TestColdPace:
    """Hosts that use a cold target at the same time must not crash it."""

    @pytest.mark.parametrize('hosts', [1, 4, 12, 16, 139])
    @pytest.mark.parametrize('limit_per_s', [2.0, 17.15, 21.5])
    def test_all_hosts_together_keep_the_limit(self, hosts, limit_per_s):
        # All hosts send as much as they may from the moment a target is cold.
        rng = random.Random(hosts)
        names = [f'h{number}' for number in range(hosts)]
        sent = []
        for name in names:
            fleet = pacing.make_fleet(name, names, True)
            allowed = fleet.sends_per_window('t', limit_per_s)
            pacer = pacing.ColdPacer()
            now_s = 0.0
            while now_s < 10:
                if pacer.may_send(now_s, allowed):
                    pacer.record_send(now_s)
                    sent.append(now_s)
                now_s += rng.random() * 0.2
        sent.sort()
        assert sent
        for index, start_s in enumerate(sent):
            within = [time_s for time_s in sent[index:] if time_s < start_s + 1]
            assert len(within) <= limit_per_s

    def test_few_unknown_hosts_do_not_exceed_the_limit(self):
        # Two hosts have just started and no other host knows them yet.
        names = [f'h{number}' for number in range(14)]
        views = {name: names[:12] for name in names[:12]}
        views |= {name: names for name in names[12:]}
        total = sum(
            pacing.make_fleet(name, view, True).sends_per_window('t', 17.15)
            for name, view in views.items()
        )
        assert total <= 17.15

    def test_host_that_knows_no_other_takes_a_small_share(self):
        alone = pacing.make_fleet('h', [], True)
        assert alone.sends_per_window('t', 17.15) <= 17.15 / 4
        undiscovered = pacing.make_fleet('h', [], False)
        assert undiscovered.sends_per_window('t', 17.15) == 0

    def test_targets_have_different_owners(self):
        names = frozenset(f'h{number}' for number in range(100))
        assert shares.owners('t1', names, 5) != shares.owners('t2', names, 5)


class TestEstimates:
    """A slow, full, cold or failing target must not be estimated better."""

    def candidate(self, **fields):
        values = {'taken_s': 0.0, 'slots': 2}
        values.update(fields)
        reading = dialect.Reading(**values)
        return estimates.Candidate(reading, 0, 2, 0.002)

    def expected(self, **fields):
        return estimates.expected_latency_s(self.candidate(**fields), 0.06, 2.0)

    def test_free_target_of_nominal_speed_is_best(self):
        best = self.expected()
        assert best < self.expected(running=2)
        assert best < self.expected(slowness=5.0)
        assert best < self.expected(cold_s=1.0)

    def test_longer_queue_costs_more(self):
        costs = [
            self.expected(running=2, waiting=waiting) for waiting in range(6)
        ]
        assert costs == sorted(costs)
        assert len(set(costs)) == 6

    def test_slowness_lasts_for_the_persistence(self):
        # Requests that started at slowness 5 were expected after 100 ms and
        # the rest at the mean, and took five times their work.
        assert estimates.run_time_s(0.3, 5.0, 2.0, 1.0) == pytest.approx(1.5)
        assert estimates.run_time_s(0.3, 5.0, 2.0, 0.0) == pytest.approx(0.6)

    def test_slowness_may_be_another_after_the_queue(self):
        queued = {'running': 2, 'waiting': 1}
        assert self.expected(slowness=5.0, **queued) == self.expected(**queued)

    @pytest.mark.parametrize('kept', [0.0, 1.0])
    def test_persistence_is_learnt_from_durations(self, kept):
        load = service_load.ServiceLoad()
        load.mean_slowness = 2.0
        for _ in range(200):
            for slowness in (1.0, 5.0):
                observed = kept * slowness + (1 - kept) * 2.0
                load.note_duration(slowness, observed)
        assert load.persistence == pytest.approx(kept, abs=0.01)

    def test_requests_sent_since_the_reading_count(self):
        reading = dialect.Reading(0.0, slots=2)
        idle = estimates.Candidate(reading, 0, 2, 0.0)
        busy = estimates.Candidate(reading, 3, 2, 0.0)
        assert estimates.expected_latency_s(
            busy, 0.06, 2.0
        ) > estimates.expected_latency_s(idle, 0.06, 2.0)

    def test_failing_target_costs_more(self):
        candidate = self.candidate()
        failing = estimates.Candidate(candidate.reading, 0, 2, 0.002, 0.5)
        assert estimates.cost_s(failing, 0.06, 2.0, 0.2) > estimates.cost_s(
            candidate, 0.06, 2.0, 0.2
        )


class TestAddresses:
    """Callers must get the addresses of hosts that are near and alive."""

    HOSTS = [
        rigs.host('h1', 'a1'),
        rigs.host('h2', 'a1'),
        rigs.host('h3', 'a2'),
        rigs.host('h4', 'b1'),
    ]

    def choose(self, region, domain, homes=(), hosts=None):
        found = directory.choose_hosts(
            self.HOSTS if hosts is None else hosts,
            region,
            domain,
            homes,
            random.Random(1),
        )
        return sorted(host.name for host in found)

    def test_own_failure_domain_first(self):
        assert self.choose('a', 'a1') == ['h1', 'h2']

    def test_single_host_is_supplemented_from_the_region(self):
        assert self.choose('a', 'a2') == ['h1', 'h2', 'h3']

    def test_region_without_hosts_gets_all(self):
        assert self.choose('c', 'c1') == ['h1', 'h2', 'h3', 'h4']

    def test_homes_in_another_region_give_its_hosts(self):
        assert self.choose('a', 'a1', ('b',)) == ['h4']

    def test_homes_without_hosts_give_nearby_hosts(self):
        assert self.choose('a', 'a1', ('c',)) == ['h1', 'h2']

    def test_answer_is_bounded(self):
        hosts = [rigs.host(f'h{number}', 'a1') for number in range(200)]
        found = self.choose('a', 'a1', hosts=hosts)
        assert len(set(found)) == directory.MAX_ADDRESSES


class TestSources:
    """Only a few hosts may read the store; the others read from them."""

    HOSTS = [
        rigs.host('h1', 'a1'),
        rigs.host('h2', 'a1'),
        rigs.host('h3', 'a2'),
        rigs.host('h4', 'b1'),
    ]

    def order(self, name, hosts=None):
        hosts = hosts or self.HOSTS
        (me,) = [host for host in hosts if host.name == name]
        return [
            host.name if host else ''
            for host in sources.source_order(me, hosts)
        ]

    def test_one_host_of_a_domain_reads_the_store(self):
        assert self.order('h1')[0] == ''
        assert self.order('h2')[:2] == ['h1', '']
        assert self.order('h3')[0] == ''

    def test_hosts_of_the_region_come_before_others(self):
        assert self.order('h1') == ['', 'h3', 'h4']
        assert self.order('h4') == ['', 'h1', 'h3']

    def test_hosts_of_a_domain_never_wait_for_each_other(self):
        # While hosts are added, each knows others. Readers that left their role
        # to each other then read no change for four seconds.
        rng = random.Random(4)
        hosts = [
            rigs.host(f'h{number}', 'a1', incarnation=rng.randrange(4))
            for number in range(8)
        ]
        for _ in range(200):
            reads = {}
            for me in hosts:
                known = rng.sample(hosts, rng.randrange(len(hosts)))
                source = sources.source_order(me, [*known, me])[0]
                reads[me.name] = source.name if source else ''
            for host in hosts:
                seen = set()
                name = host.name
                while name:
                    assert name not in seen
                    seen.add(name)
                    name = reads[name]

    def test_two_readers_of_a_region_read_the_store(self):
        # Load: hundreds of hosts in many failure domains of a region.
        hosts = [
            rigs.host(f'h{domain}{number}', 'a1', incarnation=domain)
            for domain in range(4)
            for number in range(3)
        ]
        hosts = [
            msgspec.structs.replace(host, failure_domain=host.name[1])
            for host in hosts
        ]
        direct = [
            host.name
            for host in hosts
            if not self.order(host.name, hosts=hosts)[0]
        ]
        assert direct == ['h00', 'h10']
        assert self.order('h20', hosts=hosts)[:3] == ['h00', 'h10', '']
        assert self.order('h21', hosts=hosts)[:2] == ['h20', '']
        left = [host for host in hosts if host.name != 'h00']
        assert not self.order('h01', hosts=left)[0]

    def test_older_host_that_was_heard_of_comes_before_the_store(self):
        hosts = [rigs.host(f'h{number}', 'a1') for number in range(5)]
        heard = ['h4', 'h0', 'h2', 'h1']
        order = sources.source_order(hosts[3], hosts, heard)
        names = [host and host.name for host in order]
        assert names == ['h0', 'h2', 'h1', None]
        order = sources.source_order(hosts[1], hosts, heard)
        assert [host and host.name for host in order] == ['h0', None]

    def test_host_alone_reads_the_store(self):
        assert sources.source_order(self.HOSTS[1], []) == [None]

    def test_host_that_has_just_started_does_not_become_the_reader(self):
        returned = rigs.host('h1', 'a1', incarnation=5)
        hosts = [returned, *self.HOSTS[1:]]
        assert self.order('h1', hosts=hosts)[0] == 'h2'
        assert self.order('h2', hosts=hosts)[0] == ''


class TestProbeBudget:
    """In a burst, all hosts together must keep the limit on probes."""

    LIMIT_PER_S = 60.0

    def probes(self, hosts, targets, requests_per_s, seconds=30):
        """Returns the probes per target and second, if all targets are busy.

        All hosts get the same load.
        """
        budget = probe_budget.ProbeBudget(self.LIMIT_PER_S, 0.0)
        sent = 0
        for number in range(int(seconds * requests_per_s / hosts)):
            budget.update(number * hosts / requests_per_s, targets, hosts)
            for first_round in (True, False):
                count = budget.targets_to_probe(4, first_round=first_round)
                budget.spend(count)
                sent += count
        return sent * hosts / targets / seconds

    @pytest.mark.parametrize('hosts', [1, 17, 312])
    @pytest.mark.parametrize('requests_per_target_s', [5, 20, 50])
    def test_limit_holds(self, hosts, requests_per_target_s):
        rate = self.probes(hosts, 240, requests_per_target_s * 240)
        assert rate <= self.LIMIT_PER_S

    def test_moderate_load_is_not_limited(self):
        assert self.probes(17, 34, 34 * 5) == pytest.approx(40, rel=0.05)

    def test_every_request_may_probe_a_target(self):
        budget = probe_budget.ProbeBudget(self.LIMIT_PER_S, 0.0)
        budget.update(1.0, 4, 17)
        budget.spend(10_000)
        assert budget.targets_to_probe(3, first_round=True) == 1
        assert budget.targets_to_probe(4, first_round=False) == 0
