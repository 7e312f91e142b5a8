"""Tests of the order in which requests beyond a quota are admitted."""

import random

import pytest

from ragwortchute.gateway import model
from ragwortchute.gateway.organisations import quota_limits
from ragwortchute.gateway.organisations import quota_messages
from ragwortchute.gateway.organisations import quota_priorities
from ragwortchute.gateway.organisations import quota_use
from tests.test_gateway import quota_model

LIMIT = quota_limits.make_limit(
    model.Organisation('hot', frozenset(), None, 1000.0, 1000.0),
    quota_model.BOUNDS,
)
# Share of the requests by priority.
MIX = {0: 0.2, 1: 0.7, 2: 0.1}
REQUESTS = 8000
PER_S = 400.0


def play(hosts, admit_fraction):
    """Returns the admitted and received requests of many hosts, by priority."""
    rng = random.Random(1)
    uses = [quota_use.Use(LIMIT, random.Random(seed)) for seed in range(hosts)]
    state = quota_messages.State(LIMIT.key, admit_fraction, 500.0, PER_S)
    admitted, received = dict.fromkeys(MIX, 0), dict.fromkeys(MIX, 0)
    for number in range(REQUESTS):
        use = rng.choice(uses)
        use.note_announcement(state)
        priority = rng.choices(list(MIX), MIX.values())[0]
        now_s = number / PER_S
        received[priority] += 1
        admitted[priority] += not use.admit(now_s, now_s, hosts, priority)
    return admitted, received


class TestOrder:
    """Load: twice the quota, routes of three priorities, hosts on their own.

    Urgent requests were refused as often as others.
    """

    @pytest.mark.parametrize('hosts', [1, 8, 100])
    def test_urgent_requests_go_first(self, hosts):
        admitted, received = play(hosts, 0.5)
        assert admitted[0] >= 0.95 * received[0]

    @pytest.mark.parametrize('hosts', [1, 8, 100])
    @pytest.mark.parametrize('admit_fraction', [0.1, 0.5, 0.9])
    def test_as_many_are_admitted_as_announced(self, hosts, admit_fraction):
        admitted, _ = play(hosts, admit_fraction)
        total = sum(admitted.values())
        assert abs(total - admit_fraction * REQUESTS) <= 0.05 * REQUESTS

    @pytest.mark.parametrize('hosts', [1, 8, 100])
    def test_no_priority_starves(self, hosts):
        admitted, received = play(hosts, 0.4)
        for priority in MIX:
            share = admitted[priority] / received[priority]
            assert share >= 0.4 * quota_priorities.MIN_PART * 0.9


class TestReturn:
    """Callers must not all come back at once, and urgent ones come first."""

    def test_urgent_callers_return_first(self):
        use = quota_use.Use(LIMIT, random.Random(1))
        state = quota_messages.State(LIMIT.key, 0.1, -200.0, 2000.0)
        waits_s = {0: [], 2: []}
        for number in range(400):
            use.note_announcement(state)
            priority = number % 2 * 2
            wait_s = use.admit(1.0, 1.0, 8, priority)
            if wait_s:
                waits_s[priority].append(wait_s)
        means_s = {
            priority: sum(items) / len(items)
            for priority, items in waits_s.items()
        }
        assert means_s[2] >= 1.5 * means_s[0]
        assert max(waits_s[2]) - min(waits_s[2]) >= 1.0


class TestOnePriority:
    """Without different priorities, all requests get the announced share."""

    def test_portion_is_the_announced_share(self):
        mix = quota_priorities.PriorityMix()
        for _ in range(10):
            mix.note(1, 0.0)
        portion = mix.portion(1, 0.3)
        assert portion.admitted == pytest.approx(0.3)
        assert portion.refused == pytest.approx(0.7)
        assert portion.refused_before == 0.0
