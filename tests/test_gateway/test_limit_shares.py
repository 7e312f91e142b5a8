"""Tests of the division of the limits that targets name among the hosts."""

import random

import pytest

from ragwortchute.gateway import model
from ragwortchute.gateway.peers import limit_shares
from ragwortchute.gateway.peers import shares
from ragwortchute.gateway.selection import pacing
from ragwortchute.gateway.selection import target_statements
from tests.test_gateway import rig as rigs
from tests.test_gateway import test_target_limits

# Mean time between two requests of a host, or less if its share is larger.
STEP_S = 0.05
DURATION_S = 40.0


def allowed(limit_per_s):
    """Returns how many requests a target may get in a window."""
    window_s = test_target_limits.WINDOW_S
    overage = test_target_limits.OVERAGE
    return overage * limit_per_s * window_s + test_target_limits.SLACK


def send_all(names, limit_per_s, seed, views=None):
    """Returns the times at which hosts with steady demand send requests.

    Args:
        names: Names of the hosts.
        limit_per_s: Limit of the target.
        seed: Seed of the times of the requests.
        views: Hosts that each host knows, all of them by default.
    """
    rng = random.Random(seed)
    sent_s = []
    for name in names:
        known = views[name] if views else names
        fleet = pacing.make_fleet(name, known, True)
        share = fleet.share_of_limit('t', 'a', limit_per_s)
        if share is None:
            continue
        pacer = shares.TokenBucket()
        step_s = min(STEP_S, 0.2 / share.rate_per_s)
        now_s = rng.random() * STEP_S
        while now_s < DURATION_S:
            if not pacer.wait_s(now_s, share.rate_per_s, share.burst):
                pacer.spend()
                sent_s.append(now_s)
            now_s += rng.expovariate(1 / step_s)
    return sent_s


class TestDivision:
    """The limit must hold over all hosts, and be used."""

    @pytest.mark.parametrize('hosts', [1, 8, 60, 312])
    @pytest.mark.parametrize('limit_per_s', [0.0, 1.0, 3.0, 30.0, 300.0])
    def test_limit_holds_and_is_used(self, hosts, limit_per_s):
        names = [f'h{number}' for number in range(hosts)]
        sent_s = send_all(names, limit_per_s, hosts)
        most = test_target_limits.most_in_window(sent_s)
        assert most <= allowed(limit_per_s)
        if hosts >= shares.MIN_HOSTS:
            assert len(sent_s) >= 0.6 * limit_per_s * DURATION_S

    @pytest.mark.parametrize('limit_per_s', [1.0, 3.0, 30.0])
    def test_limit_holds_while_a_fifth_of_the_hosts_is_new(self, limit_per_s):
        names = [f'h{number}' for number in range(60)]
        views = {name: names[:48] for name in names[:48]}
        views |= {name: names for name in names[48:]}
        sent_s = send_all(names, limit_per_s, 1, views)
        most = test_target_limits.most_in_window(sent_s)
        assert most <= allowed(limit_per_s)

    def test_hosts_of_the_region_of_the_target_share_it(self):
        names = ['a-1', 'a-2', 'b-1', 'b-2']
        regions = {name: name[0] for name in names}
        for name in names:
            fleet = pacing.make_fleet(name, names, True, regions)
            share = fleet.share_of_limit('t', 'a', 3.0)
            assert (share is not None) == (regions[name] == 'a')

    def test_host_that_has_not_learnt_of_the_others_sends_nothing(self):
        fleet = pacing.make_fleet('h', [], False)
        assert fleet.share_of_limit('t', 'a', 300.0) is None

    def test_share_that_was_not_used_does_not_pile_up(self):
        share = limit_shares.divide(3.0, 8)
        pacer = shares.TokenBucket()
        pacer.wait_s(0.0, share.rate_per_s, share.burst)
        sent = 0
        while not pacer.wait_s(1000.0, share.rate_per_s, share.burst):
            pacer.spend()
            sent += 1
        assert sent <= share.burst


def entry(name='t', born_ms=1):
    return model.TargetEntry(
        name, 's', '127.0.0.1', 1, 'a1', 2, True, 0.0, born_ms
    )


class TestStatements:
    """Hosts must agree on what a target has said last."""

    def test_news_pass_from_host_to_host(self):
        first, second, third = (
            target_statements.TargetStatements(rigs.MemoryLog())
            for _ in range(3)
        )
        key = target_statements.target_key(entry())
        first.note_limit(entry(), 3.5, 100.0)
        second.handle(first.encode(100.5), 100.5)
        third.handle(second.encode(101.0), 101.0)
        assert third.limit_per_s(key, 101.0) == 3.5
        first.note_limit(entry(), None, 102.0)
        second.handle(first.encode(102.5), 102.5)
        third.handle(second.encode(103.0), 103.0)
        assert third.limit_per_s(key, 103.0) is None

    def test_older_statement_is_ignored(self):
        first, second = (
            target_statements.TargetStatements(rigs.MemoryLog())
            for _ in range(2)
        )
        key = target_statements.target_key(entry())
        first.note_limit(entry(), 3.0, 100.0)
        second.note_limit(entry(), 9.0, 100.1)
        second.handle(first.encode(100.2), 100.2)
        assert second.limit_per_s(key, 100.2) == 9.0

    def test_limit_that_nobody_hears_of_is_forgotten(self):
        limits = target_statements.TargetStatements(rigs.MemoryLog())
        limits.note_limit(entry(), 3.0, 100.0)
        key = target_statements.target_key(entry())
        now_s = 100.1 + target_statements.MAX_AGE_S
        assert limits.limit_per_s(key, now_s) is None
        assert limits.encode(now_s) == b''

    def test_new_incarnation_has_no_limit(self):
        limits = target_statements.TargetStatements(rigs.MemoryLog())
        limits.note_limit(entry(), 3.0, 100.0)
        key = target_statements.target_key(entry(born_ms=2))
        assert limits.limit_per_s(key, 100.1) is None

    def test_answers_without_a_limit_are_not_kept(self):
        limits = target_statements.TargetStatements(rigs.MemoryLog())
        limits.note_limit(entry(), None, 100.0)
        assert limits.encode(100.1) == b''

    @pytest.mark.parametrize('number', [float('nan'), float('inf'), -3.0])
    def test_invalid_statement_is_ignored(self, number):
        limits = target_statements.TargetStatements(rigs.MemoryLog())
        key = target_statements.target_key(entry())
        data = target_statements._FORMAT.pack(key, number, 0)
        limits.handle(data + b'cut', 100.0)
        assert limits.limit_per_s(key, 100.0) is None

    def test_heartbeats_stay_small(self):
        limits = target_statements.TargetStatements(rigs.MemoryLog())
        for number in range(500):
            limits.note_limit(entry(f't{number}'), 3.0, 100.0)
        size = target_statements.MAX_PASSED_ON * target_statements._FORMAT.size
        assert len(limits.encode(100.1)) == size
