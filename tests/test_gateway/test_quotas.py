"""Tests of the accounts, uses and messages of quotas.

Quotas under load are tested in `test_quota_load`.
"""

import itertools
import random
import struct

from hypothesis import given
from hypothesis import strategies as st
import pytest

from ragwortchute.gateway import model
from ragwortchute.gateway.organisations import quota_accounts
from ragwortchute.gateway.organisations import quota_limits
from ragwortchute.gateway.organisations import quota_messages
from ragwortchute.gateway.organisations import quota_part
from ragwortchute.gateway.organisations import quota_roles
from ragwortchute.gateway.organisations import quota_use
from ragwortchute.gateway.organisations import quotas
from ragwortchute.gateway.peers import peer_table
from tests.test_gateway import host_network
from tests.test_gateway import quota_model
from tests.test_gateway import quota_scenes
from tests.test_gateway import rig as rigs

HOT = model.Organisation('hot', frozenset(), None, 10.0, 10.0)
BOUNDS = quota_model.BOUNDS
LIMIT = quota_limits.make_limit(HOT, BOUNDS)
LIMITS = {LIMIT.key: LIMIT}


def report(number, admitted, demanded, recent=0, incarnation=1):
    use = quota_messages.Use(LIMIT.key, admitted, demanded, recent)
    return quota_messages.Report(
        0, incarnation, number, quota_messages.pack_uses([use])
    )


class TestAccounts:
    """Requests must be counted once, whatever happens to reports."""

    def level(self, reports):
        accounts = quota_accounts.Accounts({}, 0.0, 0.0, 0.0, 0.5)
        for sender, message in reports:
            accounts.record(sender, message, LIMITS, 0.1)
        accounts.update(LIMITS, {'h1'}, 1.0)
        states, _ = accounts.take_states(LIMITS)
        return states[0].level

    @given(st.lists(st.integers(0, 9), max_size=30), st.randoms())
    def test_lost_late_and_repeated_reports(self, numbers, rng):
        reports = [('h1', report(n, n, n, n)) for n in numbers]
        reports += [('h1', report(9, 9, 9, 9))] * 2
        late = [*reports, *rng.sample(reports, len(reports))]
        assert self.level(late) == self.level([('h1', report(9, 9, 9, 9))])

    def test_restarted_host_counts_from_zero(self):
        once = self.level([('h1', report(1, 8, 8, 8))])
        restarted = [
            ('h1', report(1, 5, 5, 5)),
            ('h1', report(1, 3, 3, 3, incarnation=2)),
            ('h1', report(2, 6, 6, 6)),
        ]
        assert self.level(restarted) == once

    def test_counts_wrap_around(self):
        start = 2**32 - 2
        wrapped = [
            ('h1', report(1, start, start, 0)),
            ('h1', report(2, start + 8, start + 8, 8)),
        ]
        assert self.level(wrapped) == self.level([('h1', report(1, 8, 8, 8))])

    def test_use_while_a_host_was_silent_is_not_counted(self):
        # It was given out by another coordinator; 1,000 requests of debt would
        # refuse everything after a partition has healed.
        accounts = quota_accounts.Accounts({}, 0.0, 1.0, 0.0, 0.5)
        accounts.record('h1', report(1, 5, 5, 5), LIMITS, 0.1)
        accounts.update(LIMITS, {'h1'}, 1.0)
        later_s = 1.0 + 2 * quota_accounts.SILENT_S
        accounts.record('h1', report(2, 1005, 1005, 2), LIMITS, later_s)
        accounts.update(LIMITS, {'h1'}, later_s)
        states, _ = accounts.take_states(LIMITS)
        assert not states or states[0].level > 0

    def test_silent_hosts_keep_their_part_of_the_credit(self):
        hosts = {'h1', 'h2', 'h3', 'h4'}
        accounts = quota_accounts.Accounts({}, 0.0, 0.2, 0.0, 0.5)
        for name in hosts:
            accounts.record(name, report(1, 0, 1), LIMITS, 0.5)
        accounts.update(LIMITS, hosts, 0.6)
        before = accounts.take_states(LIMITS)[0][0].level
        for name in ('h1', 'h2'):
            accounts.record(name, report(2, 0, 2), LIMITS, 1.5)
        accounts.update(LIMITS, hosts, 1.7)
        after = accounts.take_states(LIMITS)[0][0].level
        refill = 1.1 * LIMIT.rate_per_s * accounts.share
        assert accounts.share == 0.5
        assert after <= before + refill - 0.49 * LIMIT.depth

    def test_restarted_host_with_an_earlier_clock_is_heard(self):
        # Incarnations are times of the wall clock, which may have been set back
        # before the restart.
        accounts = quota_accounts.Accounts({}, 0.0, 1.0, 0.0, 0.5)
        accounts.record('h1', report(7, 5, 5, 5, incarnation=9), LIMITS, 0.6)
        later_s = 0.7 + quota_accounts.REPLACED_S
        early = report(1, 1, 1, 1, incarnation=4)
        accounts.record('h1', early, LIMITS, 0.7)
        accounts.update(LIMITS, {'h1'}, later_s)
        assert accounts.unheard == ['h1']
        accounts.record('h1', early, LIMITS, later_s)
        accounts.update(LIMITS, {'h1'}, later_s + 0.1)
        assert accounts.unheard == []

    def test_debt_outlives_the_removal_of_the_organisation(self):
        # One that is removed and added again would get its whole burst anew.
        accounts = quota_accounts.Accounts({}, 0.0, 1.0, 0.0, 0.5)
        accounts.record('h1', report(1, 30, 30, 30), LIMITS, 0.6)
        accounts.update(LIMITS, {'h1'}, 0.7)
        before = accounts.take_states(LIMITS)[0][0].level
        accounts.update({}, {'h1'}, 0.8)
        assert accounts.take_states({})[0] == []
        accounts.record('h1', report(2, 31, 31, 31), LIMITS, 1.0)
        accounts.update(LIMITS, {'h1'}, 1.1)
        after = accounts.take_states(LIMITS)[0][0].level
        assert after <= before + 0.4 * LIMIT.rate_per_s

    def test_account_of_a_removed_organisation_is_dropped(self):
        accounts = quota_accounts.Accounts({}, 0.0, 1.0, 0.0, 0.5)
        accounts.record('h1', report(1, 30, 30, 30), LIMITS, 0.6)
        for step in range(3):
            now_s = 1.0 + step * quota_accounts.RETENTION_S
            accounts.update({}, {'h1'}, now_s)
        assert not accounts._accounts

    @pytest.mark.parametrize('hosts', [1, 8, 117])
    def test_parts_give_out_the_rate_once(self, hosts):
        for heard in range(hosts + 1):
            total = sum(
                quota_accounts.rate_share(part, hosts)
                for part in (heard, hosts - heard)
            )
            assert total <= 1.0001

    def test_loss_of_a_failure_domain_leaves_most_of_the_rate(self):
        assert quota_accounts.rate_share(94, 117) >= quota_scenes.MIN_USED


class TestUse:
    """A host must not admit more than it knows to be allowed."""

    def test_credit_that_is_given_back_serves_the_same_request(self):
        # An upload asks before its body is read and again afterwards; two
        # draws would admit it far too rarely.
        host = make_host()
        state = quota_messages.State(LIMIT.key, 0.5, 5.0, 20.0)
        announce(host, [state])
        admitted = 0
        for _ in range(100):
            if not host.admit(HOT, 1.1):
                host.give_back(HOT, 1.1)
                assert host.admit(HOT, 1.1) == 0.0
                admitted += 1
            announce(host, [state])
        assert 45 <= admitted <= 55

    def test_credit_that_is_not_used_is_reported_as_returned(self):
        use = quota_use.Use(LIMIT, random.Random(1))
        assert not use.admit(1.0, 1.0, 8)
        use.give_back(1.0)
        use.measure(0.2, 1.1 + quota_use.RETURNED_S)
        assert use.report().admitted == 0

    def test_credit_of_a_long_request_is_reported_as_returned(self):
        # The host follows the organisation for 5 s after its last request; a
        # body may take longer.
        sent = []
        host = make_host({'hot': HOT}, sent)
        announce(host, [])
        assert not host.admit(HOT, 1.1)
        tick_until(host, 1.1, 8.0)
        host.give_back(HOT, 8.0)
        sent.clear()
        tick_until(host, 8.0, 8.5 + quota_use.RETURNED_S)
        uses = [
            use
            for _, _, payload in sent
            for use in quota_messages.unpack_uses(
                quota_messages.decode(payload).uses
            )
        ]
        assert [use.admitted for use in uses] == [0, 0]

    def test_credit_that_was_given_back_long_ago_is_not_used(self):
        # It was reported as returned, or is about to be.
        use = quota_use.Use(LIMIT, random.Random(1))
        assert not use.admit(1.0, 1.0, 8)
        use.give_back(1.0)
        assert not use.take_returned(1.1 + quota_use.RETURNED_S)
        assert use.take_returned(0.9 + quota_use.RETURNED_S)

    def test_organisation_that_is_added_again_keeps_its_counts(self):
        # With counts from zero, the coordinator would take a part of the new
        # ones for those that it knows.
        organisations = {'hot': HOT}
        host = make_host()
        host._read_organisations = lambda: organisations
        host.tick(1.0)
        for _ in range(3):
            host.admit(HOT, 1.0)
        organisations = {}
        host.tick(1.1)
        organisations = {'hot': HOT}
        host.tick(1.2)
        host.admit(HOT, 1.2)
        assert host._uses['hot'].demanded == 4

    def test_host_without_contact_uses_less_than_its_share(self):
        hosts = [quota_use.Use(LIMIT, random.Random(n)) for n in range(100)]
        admitted = 0
        for step in range(500):
            for use in hosts:
                admitted += not use.admit_alone(
                    step * 0.1, len(hosts), fresh=False
                )
        rate_per_s = LIMIT.rate_per_s * quota_limits.ALONE_RATE_FRACTION
        assert admitted <= 1.1 * (rate_per_s * 50 + LIMIT.alone_tokens)

    def test_refused_callers_return_spread_over_time(self):
        use = quota_use.Use(LIMIT, random.Random(1))
        use.note_announcement(quota_messages.State(LIMIT.key, 0, -20.0, 100.0))
        waits_s = [use.admit(1.0, 1.0, 8) for _ in range(200)]
        assert min(waits_s) >= 2.0
        assert max(waits_s) - min(waits_s) >= 10.0

    def test_organisation_without_a_limit_keeps_no_state(self):
        host = make_host()
        free = model.Organisation('free', frozenset())
        assert host.admit(free, 1.0) == 0.0
        host.give_back(free, 1.0)
        assert host.admitted == 0


def make_host(organisations=None, sent=None):
    sent = [] if sent is None else sent
    host = quotas.HostQuotas(
        rigs.host(),
        BOUNDS,
        lambda names, part, payload: sent.append((names, part, payload)),
        lambda now_s: quota_roles.Hosts(frozenset({'h1', 'h2'}), ('h1', 'h2')),
        lambda: organisations,
        rigs.MemoryLog(),
        random.Random(1),
    )
    host.tick(0.9)
    host.tick(1.0)
    return host


def tick_until(host, start_s, end_s):
    for step in range(round((end_s - start_s) / quotas.TICK_S)):
        host.tick(start_s + step * quotas.TICK_S)


_numbers = itertools.count(1)


def announce(host, states):
    message = quota_messages.Announcement(
        0,
        'h2',
        1,
        next(_numbers),
        states=quota_messages.pack_states(states),
    )
    host.handle('h2', quota_messages.encode(message), 1.0)


class TestMessages:
    """Malformed and superfluous messages must do no harm."""

    def test_nothing_is_sent_without_a_limit(self):
        sent = []
        free = model.Organisation('free', frozenset())
        host = make_host({'free': free}, sent)
        announce(host, [])
        for step in range(50):
            host.tick(1.0 + step * 0.1)
        passed_on = [item for item in sent if item[0] != ['h2']]
        assert not passed_on
        assert not host.reports_sent

    @given(st.binary(max_size=60))
    def test_malformed_message_is_logged(self, data):
        host = make_host({'hot': HOT})
        host.handle('h2', data, 1.0)

    def test_invalid_states_are_ignored(self):
        nan = float('nan')
        data = b''.join(
            struct.pack('<Qeee', *fields)
            for fields in (
                (1, nan, 1.0, 1.0),
                (2, 0.5, nan, 1.0),
                (3, 0.5, 1.0, -1.0),
                (4, 1.5, 1.0, 1.0),
            )
        )
        assert not quota_messages.unpack_states(data + b'cut')

    def test_overtaken_announcement_is_ignored(self):
        shard = quota_roles.Shard(0, 'h1', 1)
        for number, news in ((2, True), (2, False), (1, False), (3, True)):
            announcement = quota_messages.Announcement(0, 'h2', 1, number)
            assert shard.accept(announcement, 1.0) == news

    def test_restarted_coordinator_with_an_earlier_clock_is_followed(self):
        shard = quota_roles.Shard(0, 'h1', 1)
        new = quota_messages.Announcement(0, 'h2', 4, 1)
        assert shard.accept(quota_messages.Announcement(0, 'h2', 9, 5), 1.0)
        assert not shard.accept(new, 1.1)
        assert shard.accept(new, 1.1 + quota_roles.REPLACED_S)

    def test_late_announcement_of_the_last_coordinator_is_ignored(self):
        # The coordinator that has taken over would give up its accounts, and
        # nobody would coordinate.
        shard = quota_roles.Shard(0, 'h1', 1)
        hosts = quota_roles.Hosts(
            frozenset({'h1', 'h2'}), ('h1', 'h2'), settled=True
        )
        late = quota_messages.Announcement(0, 'h2', 1, 7)
        assert shard.accept(late, 1.0)
        steps = [shard.step(hosts, LIMITS, 1 + n * 0.1) for n in range(20)]
        assert shard.accounts is not None
        assert any(steps)
        shard._ranks = {'h2': 0, 'h1': 1}
        assert not shard.accept(late, 3.0)
        assert shard.accounts is not None

    def test_host_that_is_not_heard_has_no_contact(self):
        shard = quota_roles.Shard(0, 'h1', 1)
        for number, names in ((1, ['h7']), (2, ['h1', 'h7'])):
            announcement = quota_messages.Announcement(
                0,
                'h2',
                1,
                number,
                unheard=quota_messages.pack_names(names, number),
            )
            shard.accept(announcement, number * 1.0)
            assert shard.has_contact(number * 1.0, throttled=False) == (
                number == 1
            )
            assert shard.coordinator == 'h2'

    def test_host_that_hears_nobody_does_not_coordinate(self):
        # With the credit of all, each of many hosts that are cut off would
        # admit as much as all together.
        names = frozenset(f'h{number}' for number in range(20))
        hosts = quota_roles.Hosts(names, tuple(names), settled=True)
        shard = quota_roles.Shard(0, 'h1', 1)
        accounts_s = [
            now_s
            for now_s in (step * 0.1 for step in range(100))
            if not shard.step(hosts, LIMITS, now_s)
            and shard.accounts is not None
            and not shard.accounts.is_provisional(now_s)
        ]
        assert not accounts_s
        assert shard.announced_s == float('-inf')

    def test_live_hosts_are_named_before_dead_ones(self):
        # Hosts that are dead for good are members until they are released.
        dead = [f'd{number:03}' for number in range(200)]
        alive = ['h1', *(f'h{number}' for number in range(2, 400))]
        hosts = quota_roles.Hosts(
            frozenset([*dead, *alive]), tuple(alive), settled=True
        )
        shard = quota_roles.Shard(0, 'h1', 1)
        shard._waiting_since_s = -10.0
        assert shard.step(hosts, LIMITS, 1.0)
        for name in alive[:-1]:
            shard.accounts.record(name, report(1, 0, 0), LIMITS, 1.2)
        announcement = shard.step(hosts, LIMITS, 1.4)
        assert quota_messages.has_name(
            announcement.unheard, alive[-1], announcement.number
        )

    def test_each_host_has_as_many_senders_as_receivers(self):
        names = [f'h{number}' for number in range(60)]
        received = [
            name
            for sender in names
            for name in quota_roles.receivers(names, sender, 7)
        ]
        assert max(received.count(name) for name in names) <= 2

    def test_most_organisations_listed_are_those_nearest_their_quota(self):
        host = make_host({'hot': HOT})
        announce(host, [quota_messages.State(LIMIT.key, 0.2, 1.0, 40.0)])
        assert host.used() == {'hot': pytest.approx(0.8, abs=0.01)}


class TestLongPartition:
    """The sides of a partition must give out the quota once at any time.

    Hosts that are not heard of were forgotten after 30 s, and each side then
    gave out the whole rate.
    """

    async def test_sides_give_out_the_rate_once(self):
        rig = rigs.Rig()
        net = host_network.network(3)
        created = [
            quota_part.create(
                frozenset({'quota'}),
                {},
                host,
                rig.state,
                lambda: True,
                rig.log,
                rig.rng,
            )
            for host in net.hosts.values()
        ]
        net.run(4)
        sides = [{1, 2, 3, 4}, set(range(5, 13))]
        shares = []
        for side in sides:
            net.dead = set(net.hosts) - side
            net.run(2 * peer_table.DEAD_RETENTION_S)
            shares += [
                quota_accounts.rate_share(
                    len(side),
                    len(created[port - 1]._read_hosts(net.now_s).names),
                )
                for port in (min(side), max(side))
            ]
            net.dead = set()
            net.run(10)
        assert shares[0] + shares[2] <= 1.0001
        assert shares[1] + shares[3] <= 1.0001


class TestPart:
    """The part must cost nothing where no quotas are enforced."""

    async def test_part_is_created_only_with_its_contract(self):
        rig = rigs.Rig()
        for contracts in (frozenset(), frozenset({'quota'})):
            created = quota_part.create(
                contracts,
                {'quota_window_s': 4.0},
                rig.membership,
                rig.state,
                lambda: True,
                rig.log,
                rig.rng,
            )
            assert (created is not None) == bool(contracts)

    def test_unchanged_limits_are_kept(self):
        organisations = {'hot': HOT}
        host = make_host(organisations)
        same = model.Organisation('hot', frozenset(), None, 10.0, 10.0)
        assert host._limit(same) is host._limits[LIMIT.key]
