"""Tests of the decisions on leaving a failure domain, without a network."""

import random
import types

import pytest

from ragwortchute import scraping
from ragwortchute.gateway import model
from ragwortchute.gateway import part_metrics
from ragwortchute.gateway.locality import crossings
from ragwortchute.gateway.locality import locality_part
from ragwortchute.gateway.locality import selection
from ragwortchute.gateway.locality import spillover as spillover_
from ragwortchute.gateway.selection import probe_order
from ragwortchute.gateway.selection import requirements
from standins import platform_targets

WORTH = crossings.Worth(0.02, 0.1)
REQUEST_S = 0.2
STEP_S = 0.25


def target(name, domain):
    entry = model.TargetEntry(
        name, 'svc', '127.0.0.1', 1, domain, 4, True, 0.0, 1
    )
    return types.SimpleNamespace(
        entry=entry,
        same_domain=domain == 'a1',
        same_region=domain[0] == 'a',
    )


def feed(spillover, own, other, seconds, start_s=0.0, worth_s=WORTH.domain_s):
    """Feeds constant readings; returns the shares and the time of the end."""
    shares = []
    for step in range(round(seconds / STEP_S)):
        now_s = start_s + step * STEP_S
        for _ in range(2):
            spillover.note_own(own, now_s)
        spillover.note_other('a2', other, now_s)
        spillover.update(now_s, REQUEST_S, worth_s)
        shares.append(spillover.share)
    return shares, start_s + seconds


class TestCrossingCost:
    """A crossing must be weighed with what the operator says it is worth."""

    def test_own_domain_costs_nothing(self):
        assert not crossings.cost_s(
            WORTH, same_domain=True, same_region=True, moved_bytes=1e6
        )

    def test_other_domain_costs_its_worth(self):
        assert WORTH.domain_s == crossings.cost_s(
            WORTH, same_domain=False, same_region=True, moved_bytes=1e6
        )

    def test_other_region_costs_time_on_the_link(self):
        # 360 KB take 0.096 s on a link of 30 Mbit/s.
        cost_s = crossings.cost_s(
            WORTH, same_domain=False, same_region=False, moved_bytes=360e3
        )
        assert cost_s == pytest.approx(WORTH.region_s + 0.096)


class TestSpillover:
    """A share must follow lasting congestion only, and not oscillate."""

    def test_no_share_while_the_own_domain_has_room(self):
        spillover = spillover_.Spillover()
        shares, _ = feed(spillover, spillover_.FREE_OCCUPANCY, 0.0, 10)
        assert not any(shares)

    def test_no_share_while_all_domains_are_full(self):
        spillover = spillover_.Spillover()
        shares, _ = feed(spillover, 1.5, 1.5, 10)
        assert not any(shares)

    def test_no_share_if_a_crossing_is_worth_more(self):
        spillover = spillover_.Spillover()
        shares, _ = feed(spillover, 1.0, 0.5, 10, worth_s=REQUEST_S)
        assert not any(shares)

    def test_share_settles_within_3_s(self):
        spillover = spillover_.Spillover()
        shares, _ = feed(spillover, 1.0, 0.5, 10)
        settled = shares[round(3 / STEP_S) :]
        assert shares[-1] > spillover_.START_SHARE
        assert max(settled) - min(settled) <= 0.05

    def test_share_starts_at_a_greater_load_than_it_ends(self):
        between = spillover_.FREE_OCCUPANCY + WORTH.domain_s / REQUEST_S + 0.03
        spillover = spillover_.Spillover()
        shares, end_s = feed(spillover, between, 0.5, 10)
        assert not any(shares)
        _, end_s = feed(spillover, 1.0, 0.5, 10, end_s)
        shares, _ = feed(spillover, between, 0.5, 10, end_s)
        assert shares[-1] > 0

    def test_share_ends_once_the_own_domain_has_room(self):
        spillover = spillover_.Spillover()
        _, end_s = feed(spillover, 1.0, 0.5, 10)
        shares, _ = feed(spillover, 0.3, 0.5, 10, end_s)
        assert shares[-1] == 0

    def test_all_leave_at_once_if_the_own_domain_does_not_answer(self):
        spillover = spillover_.Spillover()
        _, end_s = feed(spillover, 0.3, 0.5, 3)
        spillover.note_lost()
        spillover.update(end_s, REQUEST_S, WORTH.domain_s)
        assert spillover.share == 1

    def test_hosts_come_back_gradually(self):
        spillover = spillover_.Spillover()
        _, end_s = feed(spillover, 0.3, 0.5, 3)
        spillover.note_lost()
        shares, _ = feed(spillover, 0.0, 0.5, 5, end_s)
        steps = [a - b for a, b in zip(shares, shares[1:], strict=False)]
        assert shares[-1] == 0
        assert max(steps) < 0.35

    def test_old_readings_of_other_domains_are_not_used(self):
        spillover = spillover_.Spillover()
        spillover.note_other('a2', 0.5, 10.0)
        assert spillover.knows_others(11.0)
        assert not spillover.knows_others(10.0 + spillover_.MAX_AGE_S)


class TestOrder:
    """The probes that a request may send must be used where they tell most."""

    def setup_method(self):
        self.own = [target(f'o{number}', 'a1') for number in range(3)]
        self.others = [target(f'p{number}', 'a2') for number in range(8)]
        self.spillover = spillover_.Spillover()

    def order(self, draw, now_s=1.0, key=0.5, own_key=0.5):
        used = selection.Selection(self.spillover, WORTH, 0.0, draw, now_s)
        keyed = [(own_key + used.key(item), item) for item in self.own]
        keyed += [(key + used.key(item), item) for item in self.others]
        keyed.sort(key=lambda item: item[0])
        return used, used.arrange(keyed)

    def test_own_domain_first(self):
        self.spillover.note_other('a2', 0.5, 0.9)
        _, order = self.order(0.5)
        assert order[:3] == self.own

    def test_without_readings_as_without_locality(self):
        used, _ = self.order(0.5)
        for item in self.own + self.others:
            assert used.key(item) == probe_order.other_domain_key(item)
            assert not used.crossing_s(item)

    def test_other_domain_is_read_again_after_a_while(self):
        self.spillover.note_other('a2', 0.5, 0.0)
        _, order = self.order(0.5, now_s=selection.REFRESH_S + 1)
        assert order[0] in self.own
        assert order[1] in self.others

    def test_spilled_request_has_a_reading_of_its_own_domain(self):
        self.spillover.note_other('a2', 0.5, 0.9)
        self.spillover.share = 0.6
        _, order = self.order(0.5)
        assert order[0] in self.others
        assert order[1] in self.own
        _, order = self.order(0.7)
        assert order[:3] == self.own

    def test_congested_own_domain_is_left_at_once(self):
        self.spillover.note_other('a2', 0.5, 0.9)
        _, order = self.order(0.5, own_key=0.5 + selection.UNFIT_KEY)
        assert order[0] in self.others

    def test_less_occupied_domains_come_first(self):
        self.others = [target('p', 'a2'), target('q', 'a3')]
        self.spillover.note_other('a2', 1.5, 0.9)
        self.spillover.note_other('a3', 0.5, 0.9)
        self.spillover.share = 1.0
        _, order = self.order(0.5)
        assert order[0].entry.failure_domain == 'a3'

    def test_without_own_targets_all_leave(self):
        self.own = []
        self.spillover.note_other('a2', 0.5, 0.9)
        used, order = self.order(0.5)
        assert order == self.others
        assert used.reason(order[0]) == 'no-local-target'

    def test_own_targets_without_answer_are_left(self):
        self.spillover.note_other('a2', 0.5, 0.9)
        used, order = self.order(0.5)
        used.begin_round(order[:2], 0.02)
        used.note_no_answer(1.0)
        assert used.reason(self.others[0]) == 'no-local-answer'
        _, order = self.order(0.5)
        assert all(item in self.others for item in order[:3])

    @pytest.mark.parametrize(
        ('is_full', 'reason'), [(True, 'local-full'), (False, 'local-slow')]
    )
    def test_reason_names_the_reading(self, is_full, reason):
        self.spillover.note_other('a2', 0.5, 0.9)
        used, order = self.order(0.5)
        used.begin_round(order[:2], 0.02)
        for item in order[:2]:
            used.note_answer(item, is_full=is_full)
        assert used.reason(self.others[0]) == reason
        assert used.reason(self.own[0]) == ''

    def test_looks_further_only_if_more_can_be_gained_than_the_worth(self):
        self.spillover.note_other('a2', 0.5, 0.9)
        used, order = self.order(0.5)
        used.begin_round(order[:2], 0.02)
        assert not used.looks_further(0.119, 0.1, 1.0)
        assert used.looks_further(0.121, 0.1, 1.0)

    def test_other_regions_come_after_domains_of_the_region_with_room(self):
        self.spillover.note_other('a2', 0.5, 0.9)
        used, order = self.order(0.5)
        used.begin_round(order[:2], 0.02)
        assert used.prefers_region
        used.begin_round(self.others[:1], 0.02)
        assert not used.prefers_region

    def test_other_regions_need_not_wait_for_full_domains(self):
        self.spillover.note_other('a2', 1.0, 0.9)
        used, order = self.order(0.5)
        used.begin_round(order[:2], 0.02)
        assert not used.prefers_region

    def test_search_takes_no_longer_than_a_crossing_is_worth(self):
        self.spillover.note_other('a2', 0.5, 0.9)
        used, order = self.order(0.5)
        assert used.begin_round(order[:2], 0.5) == WORTH.domain_s
        end_s = 1.0 + WORTH.domain_s
        assert used.looks_further(0.2, 0.1, end_s - 0.001)
        assert not used.looks_further(0.2, 0.1, end_s)

    def test_request_that_cannot_stay_asks_other_domains_once(self):
        self.spillover.note_other('a2', 0.5, 0.9)
        used, order = self.order(0.5)
        used.begin_round(order[:1], 0.02)
        required = requirements.Requirements(order, 0.1, 0.3, 1.0)
        assert not required.may_leave()
        required.locality = used
        assert required.may_leave()
        assert not required.may_leave()
        _, order = self.order(-1.0)
        assert order[0] in self.others

    def test_request_that_has_asked_other_domains_is_refused(self):
        used, order = self.order(0.5)
        used.begin_round(self.others[:1], 0.02)
        required = requirements.Requirements(order, 0.1, 0.3, 1.0)
        required.locality = used
        assert not required.may_leave()


class _Domain:
    """Domain of many hosts; its occupancy follows their shares with a lag."""

    def __init__(self, load, rng):
        self.load = load
        self.occupancy = load
        self.hosts = [spillover_.Spillover() for _ in range(25)]
        self.phases = [rng.random() for _ in self.hosts]

    def share(self):
        return sum(item.share for item in self.hosts) / len(self.hosts)


class TestManyHosts:
    """Hosts that decide independently must not leave and return in step."""

    @pytest.mark.parametrize('seed', range(5))
    def test_shares_settle(self, seed):
        rng = random.Random(seed)
        names = ('a1', 'a2', 'a3', 'a4')
        loads = (0.6, 0.75, 1.0, 0.74)
        domains = [_Domain(load, rng) for load in loads]
        history = []
        for step in range(80):
            now_s = step * STEP_S
            sent = [item.load * item.share() for item in domains]
            for item, left in zip(domains, sent, strict=True):
                arriving = (sum(sent) - left) / 3
                aim = item.load - left + arriving
                item.occupancy += (aim - item.occupancy) * 0.5
            for own, item in enumerate(domains):
                for known in item.hosts:
                    self.read(known, own, domains, names, now_s, rng)
            history.append([item.share() for item in domains])
        for shares in zip(*history[round(3 / STEP_S) :], strict=True):
            mean = sum(shares) / len(shares)
            assert max(abs(share - mean) for share in shares) <= 0.05

    def read(self, known, own, domains, names, now_s, rng):
        for _ in range(2):
            noise = rng.uniform(-0.4, 0.4)
            known.note_own(max(0, domains[own].occupancy + noise), now_s)
        other = rng.choice([item for item in range(4) if item != own])
        noise = rng.uniform(-0.4, 0.4)
        occupancy = max(0, domains[other].occupancy + noise)
        known.note_other(names[other], occupancy, now_s)
        known.update(now_s, REQUEST_S, WORTH.domain_s)


class TestUse:
    """Operators must see what leaves a domain and why, and only while on."""

    async def start(self, start, failure_domain, *, is_on=True):
        server = platform_targets.TargetServer('t0')
        server.failure_domain = failure_domain
        rig = await start(server)
        if is_on:
            part = locality_part.create(WORTH, rig.rng, rig.log)
            rig.selector.locality = rig.dispatcher.choice.locality = part
        answer = await rig.request(method='POST', body=b'hello')
        assert answer.status == 200
        (line,) = [fields for kind, fields in rig.log.lines if kind == 'send']
        return rig, line, len(answer.body)

    async def test_crossing_is_logged_and_counted(self, start):
        rig, line, size = await self.start(start, 'a2')
        assert line['left'] == 'no-local-target'
        part = rig.dispatcher.choice.locality
        assert part.sends == {'svc/a2': 1}
        assert part.reasons == {'svc/no-local-target': 1}
        assert part.moved_bytes == {'svc/a2': len(b'hello') + size}

    async def test_own_domain_is_counted_without_a_reason(self, start):
        rig, line, _ = await self.start(start, 'a1')
        assert 'left' not in line
        part = rig.dispatcher.choice.locality
        assert part.sends == {'svc/a1': 1}
        assert not part.reasons
        assert not part.moved_bytes

    async def test_changes_of_the_share_are_logged(self, start):
        rig, _, _ = await self.start(start, 'a1')
        part = rig.dispatcher.choice.locality
        part._service('svc').spillover.note_lost()
        required = requirements.Requirements(
            list(rig.state.targets.values()), 0.1, 0.3, 1.0
        )
        for now_s in (10.0, 10.1):
            part.begin(required, 1.0, now_s)
        lines = [item for kind, item in rig.log.lines if kind == 'spillover']
        assert [(item['share'], item['lost']) for item in lines] == [(1, True)]
        assert part.shares() == {'svc': 1.0}

    async def test_nothing_is_kept_while_it_is_off(self, start):
        rig, line, _ = await self.start(start, 'a2', is_on=False)
        assert 'left' not in line
        assert locality_part.create(None, rig.rng, rig.log) is None
        assert rig.dispatcher.choice.locality is None

    async def test_metrics_name_domains_and_reasons(self, start):
        rig, _, _ = await self.start(start, 'a2')
        metrics = scraping.Metrics()
        part_metrics.add_locality(metrics, rig.dispatcher.choice.locality)
        content, _ = metrics.render(())
        for text in (
            b'ragwortchute_gateway_spillover_share{service="svc"} 0',
            b'ragwortchute_gateway_domain_sends_total{domain="svc/a2"} 1',
            b'crossings_total{reason="svc/no-local-target"} 1',
            b'ragwortchute_gateway_crossing_bytes_total{domain="svc/a2"}',
        ):
            assert text in content
