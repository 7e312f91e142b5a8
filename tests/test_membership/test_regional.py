"""Tests of the regional membership under faults, on a manual clock."""

import pytest

from ragwortchute import wire
from ragwortchute.membership import regional
from ragwortchute.membership import rendezvous
from tests import simulation

_HOSTS = {f'h{i}': ('luzon-a', 'luzon-b', 'luzon-c')[i % 3] for i in range(7)}


@pytest.fixture
async def cluster():
    """Seven hosts of one region, led by h0, all leases valid."""
    cluster = simulation.Cluster(_HOSTS)
    cluster.start('h0')
    await cluster.advance(1)
    cluster.start(*list(_HOSTS)[1:])
    await cluster.advance(14)
    yield cluster
    await cluster.close()


def _members(cluster, host):
    return {member.host for member in cluster.view(host).members}


def _all_owned(cluster):
    return all(len(cluster.owners(t)) == 1 for t in cluster.targets)


async def _assert_recovers(cluster, delay_s=40):
    await cluster.advance(delay_s)
    for host in cluster.hosts:
        assert _members(cluster, host) == set(cluster.hosts)
    assert len(set(cluster.epochs().values())) == 1
    assert _all_owned(cluster)


class TestStart:
    """The hosts of a region must form one view in any order of starts."""

    async def test_hosts_join_in_one_write(self, cluster):
        assert set(cluster.epochs().values()) == {2}
        assert _all_owned(cluster)
        domains = [_HOSTS[host] for host in cluster.view('h0').witnesses]
        assert len(domains) == 5
        assert max(map(domains.count, domains)) == 2

    async def test_hosts_that_start_at_once_agree(self):
        cluster = simulation.Cluster(_HOSTS)
        cluster.start()
        await _assert_recovers(cluster, 20)
        await cluster.close()

    async def test_restart_changes_no_view_and_needs_no_store(self, cluster):
        cluster.store.down = True
        epochs = cluster.epochs()
        for host in ('h0', 'h1', 'h6'):
            cluster.kill(host)
            await cluster.advance(1)
            cluster.start(host)
            await cluster.advance(12)
        assert cluster.epochs() == epochs
        assert _all_owned(cluster)
        live = {
            m.host: m for m in cluster.hosts['h1'].membership.live_members()
        }
        assert live['h6'].incarnation == cluster.hosts['h6'].member.incarnation

    async def test_new_hosts_replace_the_view_of_a_removed_region(
        self, cluster
    ):
        for host in list(cluster.hosts):
            cluster.kill(host)
            cluster.store.remove(f'hosts/{host}')
        for number in range(3):
            cluster.domains[f'n{number}'] = 'luzon-a'
            cluster.list_host(f'n{number}')
        cluster.start('n0', 'n1', 'n2')
        await _assert_recovers(cluster, 80)


class TestLosses:
    """The loss of hosts must not stop the others or give a target two owners.

    `Cluster.advance` checks at every step that a target has at most one owner
    in each region.
    """

    async def test_killed_host_is_suspected_then_removed(self, cluster):
        cluster.store.down = True
        cluster.kill('h6')
        await cluster.advance(6)
        for host in cluster.hosts.values():
            live = {member.host for member in host.membership.live_members()}
            assert 'h6' not in live
            chosen = host.membership.serving_set('s', 7)
            assert 'h6' not in {member.host for member in chosen}
        assert set(cluster.epochs().values()) == {2}
        cluster.store.down = False
        await _assert_recovers(cluster, 12)

    async def test_paused_host_loses_its_lease_and_suspects_nobody(
        self, cluster
    ):
        cluster.pause('h0')
        await cluster.advance(3.2)
        assert not cluster.hosts['h0'].membership.lease_valid()
        await cluster.advance(10)
        await cluster.resume('h0')
        await cluster.advance(1)
        assert len(cluster.hosts['h0'].membership.live_members()) >= 6
        await _assert_recovers(cluster)

    @pytest.mark.parametrize('host', ['h0', 'h1', 'h6'])
    async def test_pause_shorter_than_a_lease_changes_no_view(
        self, cluster, host
    ):
        cluster.pause(host)
        await cluster.advance(2)
        await cluster.resume(host)
        await _assert_recovers(cluster, 6)
        assert set(cluster.epochs().values()) == {2}

    async def test_lost_leader_is_replaced(self, cluster):
        cluster.kill('h0')
        await cluster.advance(6)
        assert cluster.view('h5').leader == 'h1'
        assert sum(h.membership.takeovers for h in cluster.hosts.values()) == 1
        await _assert_recovers(cluster, 12)

    async def test_lost_leader_and_next_two_in_rank_are_replaced(self, cluster):
        for host in ('h0', 'h1', 'h2'):
            cluster.kill(host)
            cluster.store.remove(f'hosts/{host}')
        await _assert_recovers(cluster, 30)

    async def test_lost_witness_majority_blocks_owners_until_it_is_unlisted(
        self, cluster
    ):
        await self._lose_majority(cluster)
        assert not any(cluster.owners(t) for t in cluster.targets)
        for host in list(cluster.domains):
            if host not in cluster.hosts:
                cluster.store.remove(f'hosts/{host}')
        await _assert_recovers(cluster, 40)

    async def _lose_majority(self, cluster):
        for host in cluster.view('h0').witnesses[:3]:
            cluster.kill(host)
        await cluster.advance(30)

    async def test_several_losses_take_few_writes(self, cluster):
        before = cluster.store.calls['put']
        for host in ('h3', 'h4', 'h6'):
            cluster.kill(host)
        await _assert_recovers(cluster, 14)
        assert cluster.store.calls['put'] - before <= 2


class TestPartitions:
    """The sides of a partition must not replace each other's views in turn.

    Nor may a target have an owner on both sides.
    """

    async def test_minority_with_the_leader_is_replaced(self, cluster):
        left, right = ['h0', 'h3'], ['h1', 'h2', 'h4', 'h5', 'h6']
        cluster.network.partition(left, right)
        await cluster.advance(30)
        assert _members(cluster, 'h1') == set(right)
        assert _all_owned(cluster)
        epoch = cluster.view('h1').epoch
        await cluster.advance(60)
        assert cluster.view('h1').epoch == epoch
        assert not cluster.hosts['h0'].membership.lease_valid()
        cluster.network.heal()
        await _assert_recovers(cluster)

    async def test_three_sides_stop_changing_the_view(self, cluster):
        sides = [['h0', 'h1'], ['h2', 'h3'], ['h4', 'h5', 'h6']]
        for index, side in enumerate(sides):
            for other in sides[index + 1 :]:
                cluster.network.partition(side, other)
        await cluster.advance(40)
        stored = {cluster.view(host).epoch for host in cluster.hosts}
        await cluster.advance(60)
        assert {cluster.view(host).epoch for host in cluster.hosts} == stored
        cluster.network.heal()
        await _assert_recovers(cluster)

    async def test_majority_without_the_store_keeps_its_leases(self, cluster):
        left, right = ['h0', 'h3'], ['h1', 'h2', 'h4', 'h5', 'h6']
        cluster.network.partition(left, right)
        cluster.store.cut = set(right)
        await cluster.advance(40)
        assert cluster.hosts['h5'].membership.lease_valid()
        assert not cluster.hosts['h0'].membership.may_use_new_ownership()
        cluster.network.heal()
        cluster.store.cut = set()
        await _assert_recovers(cluster)

    async def test_leader_that_one_host_can_not_reach_stays(self, cluster):
        cluster.network.partition(['h0'], ['h1'])
        await cluster.advance(30)
        assert {cluster.view(h).leader for h in cluster.hosts} == {'h0'}


class TestStore:
    """Faults of the store must only affect when the next view is written."""

    async def test_leases_outlive_an_outage(self, cluster):
        cluster.store.down = True
        await cluster.advance(60)
        assert _all_owned(cluster)
        assert set(cluster.epochs().values()) == {2}

    async def test_write_whose_answer_is_lost_is_adopted(self, cluster):
        cluster.store.lose_answers = 1
        cluster.kill('h6')
        await cluster.advance(10)
        assert set(cluster.epochs().values()) == {3}
        await _assert_recovers(cluster, 10)

    async def test_takeover_whose_answer_is_lost_is_adopted(self, cluster):
        cluster.store.lose_answers = 1
        cluster.kill('h0')
        await cluster.advance(12)
        assert cluster.view('h5').leader == 'h1'
        await _assert_recovers(cluster, 12)

    async def test_concurrent_takeovers_lead_to_one_leader(self, cluster):
        # Each side has contact with three of the seven members, so both take
        # over after the delay of a minority, which exceeds all rank delays.
        cluster.network.partition(['h1', 'h2', 'h3'], ['h4', 'h5', 'h6'])
        cluster.kill('h0')
        await cluster.advance(30)
        leaders = {cluster.view(host).leader for host in cluster.hosts}
        assert len(leaders) == 1
        cluster.network.heal()
        await _assert_recovers(cluster)

    async def test_stale_read_does_not_restore_an_older_view(self, cluster):
        for host in cluster.hosts:
            cluster.store.make_stale(host)
        cluster.kill('h6')
        await cluster.advance(20)
        cluster.store.stale.clear()
        await _assert_recovers(cluster)

    async def test_hosts_missing_in_the_list_stay_members(self, cluster):
        for host in ('h1', 'h2', 'h4'):
            cluster.store.remove(f'hosts/{host}')
        await cluster.advance(40)
        assert set(cluster.epochs().values()) == {2}
        assert _all_owned(cluster)

    async def test_list_reads_do_not_grow_with_the_fleet(self, cluster):
        membership = cluster.hosts['h0'].membership
        small = len(_HOSTS) / membership._list_interval_s()
        members = [cluster.view('h0').members[0]] * 60
        membership._members = {str(i): m for i, m in enumerate(members)}
        assert 60 / membership._list_interval_s() < 2 * small


class TestOwners:
    """All hosts of one epoch must compute the same owners."""

    async def test_domain_that_is_out_owns_nothing(self, cluster):
        cluster.out = {'luzon-b'}
        await cluster.advance(12)
        owners = {o for t in cluster.targets for o in cluster.owners(t)}
        assert owners
        assert 'luzon-b' not in {_HOSTS[host] for host in owners}
        chosen = cluster.hosts['h0'].membership.serving_set('s', 7)
        assert 'luzon-b' not in {member.failure_domain for member in chosen}

    async def test_targets_that_move_with_the_size_have_no_owner_at_first(
        self, cluster
    ):
        host = cluster.hosts['h0'].membership
        before = {t: host.owner('s', t, 4) for t in cluster.targets}
        during = {t: host.owner('s', t, 2) for t in cluster.targets}
        await cluster.advance(10.1)
        after = {t: host.owner('s', t, 2) for t in cluster.targets}
        assert before != after
        for target, owner in during.items():
            kept = before[target] == after[target]
            assert owner == (after[target] if kept else '')

    async def test_leaving_hosts_are_excluded_from_serving_sets(self, cluster):
        def chosen():
            members = cluster.hosts['h0'].membership.serving_set('s', 7)
            return {member.host for member in members}

        cluster.list_host('h5', leaving=True)
        cluster.hosts['h0'].membership.mark_leaving('h4')
        await cluster.advance(6)
        assert chosen() == set(_HOSTS) - {'h4', 'h5'}
        cluster.list_host('h5')
        await cluster.advance(6)
        assert 'h5' in chosen()

    async def test_unreachable_host_is_excluded_from_serving_sets_only(
        self, cluster
    ):
        """A refused connection must not end a lease or move an owner."""
        members = cluster.hosts['h0'].membership
        owner = members.owner('s', 't', 7)
        gone = next(h for h in cluster.hosts if h != 'h0')
        members.set_reachable(gone, False)
        chosen = [m.host for m in members.serving_set('s', 7)]
        assert gone not in chosen
        assert gone in [m.host for m in members.view.members]
        assert members.owner('s', 't', 7) == owner
        members.set_reachable(gone, True)
        assert gone in [m.host for m in members.serving_set('s', 7)]

    async def test_serving_set_is_spread_over_failure_domains(self, cluster):
        for service in ('dispatch', 'billing', 'wash-till'):
            chosen = cluster.hosts['h3'].membership.serving_set(service, 3)
            assert len({member.failure_domain for member in chosen}) == 3


class TestOwnershipTransfer:
    """New owners must wait until the leases of former owners have expired.

    Taking a failure domain out moves owners at once, so a host that was
    disconnected just before still holds a lease. `Cluster.advance` checks that
    a target never has two owners in one region.
    """

    async def test_new_owners_wait_until_earlier_leases_expired(self, cluster):
        owners = {owner for t in cluster.targets for owner in cluster.owners(t)}
        isolated = max(owners)
        assert isolated != 'h0'
        cluster.network.partition([isolated], set(_HOSTS) - {isolated})
        cluster.store.cut = {isolated}
        cluster.out = {_HOSTS[isolated]}
        await cluster.advance(1.5)
        assert cluster.hosts[isolated].membership.lease_valid()
        assert cluster.view('h1').epoch == 3
        await cluster.advance(10)
        assert all(len(cluster.owners(t)) == 1 for t in cluster.targets)

    async def test_new_owners_wait_for_the_previous_witnesses(self, cluster):
        left, right = ['h0', 'h5', 'h6'], ['h1', 'h2', 'h3', 'h4']
        cluster.network.partition(left, right)
        cluster.store.cut = set(right)
        await cluster.advance(15)
        cluster.kill('h5')
        cluster.out = {'luzon-a'}
        await cluster.advance(30)
        assert cluster.view('h0').epoch >= 4
        assert cluster.hosts['h1'].membership.lease_valid()
        assert not cluster.hosts['h0'].membership.may_use_new_ownership()

    async def test_restarted_witness_does_not_acknowledge_an_old_epoch(
        self, cluster
    ):
        left, right = ['h0', 'h1', 'h2'], ['h3', 'h4', 'h5', 'h6']
        cluster.network.partition(left, right)
        cluster.store.cut = set(right)
        cluster.out = {'luzon-a'}
        await cluster.advance(6)
        assert cluster.hosts['h2'].membership.may_use_new_ownership()
        cluster.kill('h1')
        cluster.store.down = True
        cluster.network.heal()
        cluster.network.partition(['h0', 'h2'], ['h1', *right])
        cluster.start('h1')
        await cluster.advance(20)
        assert cluster.view('h1').epoch == 2
        assert not cluster.hosts['h5'].membership.lease_valid()


class TestRegions:
    """Hosts must know the members of other regions, which have other views."""

    async def test_members_of_other_regions_are_learned(self):
        domains = {'a0': 'luzon-a', 'a1': 'luzon-b', 'b0': 'visayas-a'}
        cluster = simulation.Cluster(domains)
        cluster.start()
        await cluster.advance(20)
        for host in cluster.hosts.values():
            live = {member.host for member in host.membership.live_members()}
            assert live == set(domains)
        cluster.domains['b1'] = 'visayas-b'
        cluster.list_host('b1')
        cluster.start('b1')
        await cluster.advance(20)
        live = cluster.hosts['a0'].membership.live_members()
        assert {member.host for member in live} == {*domains, 'b1'}
        await cluster.close()


class TestMessages:
    """A message must not be attributed to another host."""

    async def test_heartbeat_under_another_name_is_ignored(self, cluster):
        membership = cluster.hosts['h0'].membership
        heartbeat = wire.Heartbeat(cluster.make_member('h6'), 2, 0)
        assert await membership._on_heartbeat('h5', heartbeat) is None

    async def test_second_process_of_a_name_does_not_replace_the_first(
        self, cluster
    ):
        member = cluster.make_member('h6')
        other = wire.Member(
            'h6', 99, '127.0.9.9:1', '', member.failure_domain, member.region
        )
        membership = cluster.hosts['h0'].membership
        for _ in range(10):
            ack = await membership._on_heartbeat(
                'h6', wire.Heartbeat(other, 2, 0)
            )
            assert not ack.joined
            await cluster.advance(1)
        assert set(cluster.epochs().values()) == {2}


class TestTiming:
    """A large region must still send at least two heartbeats per lease."""

    @pytest.mark.parametrize('count', [1, 7, 13, 30, 60, 200])
    async def test_heartbeat_interval(self, cluster, count):
        membership = cluster.hosts['h0'].membership
        membership._members = dict.fromkeys(range(count))
        timing = regional.Timing()
        assert membership._heartbeat_interval_s() <= timing.lease_s / 2
        assert (
            membership._suspect_s() >= 2.5 * membership._heartbeat_interval_s()
        )


class TestLargeRegions:
    """Members that receive no heartbeats must not count as reaching a leader.

    Only the leader and the witnesses receive heartbeats. When the reports of
    the other members counted, a lost leader was never replaced in a region
    with more such members than witnesses.
    """

    @pytest.fixture
    async def large(self):
        """Thirteen hosts of one region, led by h00."""
        hosts = {f'h{i:02}': f'luzon-{"abc"[i % 3]}' for i in range(13)}
        large = simulation.Cluster(hosts)
        large.start('h00')
        await large.advance(1)
        large.start(*list(hosts)[1:])
        await large.advance(14)
        yield large
        await large.close()

    async def test_lost_leader_is_replaced(self, large):
        large.kill('h00')
        await _assert_recovers(large)

    async def test_lost_leader_leaves_the_serving_sets(self, large):
        large.kill('h00')
        await large.advance(5)
        for host in large.hosts.values():
            serving = host.membership.serving_set('s', 13)
            assert 'h00' not in {member.host for member in serving}

    async def test_lost_leader_and_witness_majority_are_replaced(self, large):
        witnesses = large.view('h00').witnesses
        assert 'h00' in witnesses
        for host in witnesses[:4]:
            large.kill(host)
        await large.advance(20)
        for host in large.hosts:
            assert _members(large, host) == set(large.hosts)
        # Cold targets have no owner until the platform removes the witnesses.
        for host in witnesses[:4]:
            large.store.remove(f'hosts/{host}')
        await _assert_recovers(large)

    async def test_leader_that_one_host_can_not_reach_stays(self, large):
        large.network.partition(['h00'], ['h12'])
        await large.advance(20)
        assert large.view('h00').leader == 'h00'
        assert large.view('h01').leader == 'h00'


class TestServingSets:
    """A cached serving set must change with everything it depends on."""

    def _incarnations_in_set(self, cluster, host='h1'):
        members = cluster.hosts[host].membership.serving_set('s', 4)
        return {member.host: member.incarnation for member in members}

    async def test_domain_that_is_out_is_excluded_until_it_returns(
        self, cluster
    ):
        before = self._incarnations_in_set(cluster)
        events = cluster.hosts['h1'].events
        cluster.out.add('luzon-a')
        events.emit('domain-changed', failure_domain='luzon-a', state='out')
        assert not {
            h
            for h in self._incarnations_in_set(cluster)
            if _HOSTS[h] == 'luzon-a'
        }
        cluster.out.clear()
        events.emit('domain-changed', failure_domain='luzon-a', state='in')
        assert self._incarnations_in_set(cluster) == before

    async def test_leaving_host_is_excluded(self, cluster):
        host = next(h for h in self._incarnations_in_set(cluster) if h != 'h1')
        cluster.hosts['h1'].membership.mark_leaving(host)
        assert host not in self._incarnations_in_set(cluster)

    async def test_restarted_host_has_its_new_incarnation(self, cluster):
        host = next(
            h for h in self._incarnations_in_set(cluster, 'h0') if h != 'h0'
        )
        cluster.kill(host)
        cluster.start(host)
        await cluster.advance(5)
        incarnation = cluster.hosts[host].member.incarnation
        assert self._incarnations_in_set(cluster, 'h0')[host] == incarnation

    async def test_suspected_and_removed_hosts_are_excluded(self, cluster):
        host = next(
            h
            for h in self._incarnations_in_set(cluster)
            if h not in ('h0', 'h1')
        )
        cluster.kill(host)
        await cluster.advance(5)
        assert host not in self._incarnations_in_set(cluster)
        await cluster.advance(20)
        assert host not in _members(cluster, 'h1')
        assert host not in self._incarnations_in_set(cluster)

    async def test_changing_the_result_does_not_change_the_cache(self, cluster):
        before = self._incarnations_in_set(cluster)
        cluster.hosts['h1'].membership.serving_set('s', 4).clear()
        assert self._incarnations_in_set(cluster) == before

    async def test_unchanged_sets_are_computed_once(self, cluster, monkeypatch):
        computed = []
        spread = rendezvous.spread
        monkeypatch.setattr(
            rendezvous,
            'spread',
            lambda *args: computed.append(args) or spread(*args),
        )
        members = cluster.hosts['h1'].membership
        for _ in range(10):
            members.serving_set('s1', 4)
            members.serving_set('s2', 4)
        assert len(computed) == 2

    async def test_number_of_cached_sets_is_bounded(self, cluster):
        members = cluster.hosts['h1'].membership
        for number in range(3000):
            members.serving_set(f'unknown-{number}', 4)
        assert len(members._serving_sets) <= 1024
