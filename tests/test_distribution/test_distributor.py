"""Tests of the distribution of documents and domain orders under faults."""

import asyncio
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from ragwortchute import documents
from ragwortchute import errors
from ragwortchute import wire
from ragwortchute.distribution import distributor
from ragwortchute.distribution import orders
from tests import simulation

_OUT = documents.DomainState.OUT
_IN = documents.DomainState.IN
_DOMAINS = ('luzon-a', 'luzon-b', 'visayas-a')
_HOSTS = {f'h{i}': _DOMAINS[i % 2] for i in range(6)}
_HOSTS |= {'v0': 'visayas-a', 'v1': 'visayas-a'}
_PROPAGATION_S = 7.0
_SHORT_DELAY_S = 5.0


def _check(name, value):
    """Decodes a document; raises DocumentError if its content is `bad`."""
    if name == documents.DEPLOYMENT_NAME:
        kind = documents.DeploymentDocument
        return msgspec.json.decode(value, type=kind)
    if value == b'bad':
        raise errors.DocumentError('routes[0]', 'refused by the test')
    return value


class _Host(simulation.Host):
    def __init__(self, cluster, member, seeds):
        super().__init__(cluster, member, seeds)
        self.distributor = distributor.Distributor(
            cluster.store.client(member.host),
            self.transport,
            self.membership,
            self.clock,
            random.Random(cluster.rng.random()),
            self.events,
            _check,
        )
        self.versions = {}
        self.events.connect('document-applied', self._applied)
        self.membership.digest = self.distributor.digest
        self.membership.on_peer_digest = self.distributor.on_peer_digest
        self.membership.domain_out = self.distributor.domain_out
        self.tasks.append(asyncio.create_task(self.distributor.run()))

    def _applied(self, document, version):
        for applied in self.distributor.in_force():
            assert applied.version >= self.versions.get(applied.name, 0)
            self.versions[applied.name] = applied.version


class _Cluster(simulation.Cluster):
    def __init__(self):
        super().__init__(_HOSTS, targets=2, host_class=_Host)
        entries = {
            name: documents.DomainEntry(name.split('-')[0]) for name in _DOMAINS
        }
        document = documents.DeploymentDocument(entries, store_region='luzon')
        self.store.set('documents/_deployment', msgspec.json.encode(document))
        self.store.set('documents/dispatch', b'v1')

    def states(self, name):
        return {
            host.distributor.domain_state(name) for host in self.hosts.values()
        }

    def values(self, name):
        values = set()
        for host in self.hosts.values():
            applied = host.distributor.document(name)
            values.add(None if applied is None else applied.value)
        return values

    def orders(self):
        return [o for h in self.hosts.values()
                for o in h.distributor.unrecorded_orders()]  # fmt: skip

    def deployment(self):
        stored = self.store.objects['documents/_deployment']
        return _check(documents.DEPLOYMENT_NAME, stored.value)

    def order_out(self, host, name):
        return self.hosts[host].distributor.order_out(name)

    def order_in(self, host, name):
        return self.hosts[host].distributor.order_in(name)

    def start_order_in(self, host, name):
        return asyncio.create_task(self.order_in(host, name))


async def _start_cluster():
    cluster = _Cluster()
    cluster.start('h0', 'v0')
    await cluster.advance(1)
    cluster.start(*[host for host in _HOSTS if host not in ('h0', 'v0')])
    await cluster.advance(12)
    assert cluster.values('dispatch') == {b'v1'}
    return cluster


@pytest.fixture
async def cluster():
    """Six hosts in the region of the store and two in another region."""
    cluster = await _start_cluster()
    yield cluster
    await cluster.close()


class TestDocuments:
    """A new document must be in force at all hosts within 7 s."""

    async def test_change_is_sent_once_to_each_host_down_the_tree(
        self, cluster
    ):
        cluster.network.log.clear()
        cluster.store.set('documents/dispatch', b'v2')
        await cluster.advance(1)
        assert cluster.values('dispatch') == {b'v2'}
        sent = [
            sender
            for sender, _, message in cluster.network.log
            if isinstance(message, wire.DocumentNotice)
        ]
        assert max(map(sent.count, sent)) <= 2
        assert len(sent) == len(_HOSTS) - 2

    @pytest.mark.parametrize('lost', ['h0', 'v0'])
    async def test_second_member_polls_the_store_when_the_leader_is_down(
        self, cluster, lost
    ):
        cluster.kill(lost)
        cluster.store.set('documents/dispatch', b'v2')
        await cluster.advance(_PROPAGATION_S)
        assert cluster.values('dispatch') == {b'v2'}

    async def test_second_member_polls_when_the_leader_can_not_reach_the_store(
        self, cluster
    ):
        cluster.store.cut = {'h0'}
        cluster.store.set('documents/dispatch', b'v2')
        await cluster.advance(_PROPAGATION_S)
        assert cluster.values('dispatch') == {b'v2'}

    async def test_hosts_that_miss_a_notice_pull_the_document(self, cluster):
        for host in ('h1', 'h2'):
            handlers = cluster.hosts[host].transport.handlers
            handlers.pop(wire.DocumentNotice)
        cluster.store.set('documents/dispatch', b'v2')
        await cluster.advance(_PROPAGATION_S)
        assert cluster.values('dispatch') == {b'v2'}

    async def test_hanging_peer_does_not_delay_other_hosts(self, cluster):
        async def hang(sender, message):
            await asyncio.Event().wait()

        handlers = cluster.hosts['h1'].transport.handlers
        handlers[wire.DocumentNotice] = hang
        handlers[wire.DomainOrder] = hang
        cluster.store.set('documents/dispatch', b'v2')
        await cluster.order_out('h0', 'luzon-b')
        await cluster.advance(_SHORT_DELAY_S)
        assert cluster.values('dispatch') == {b'v2'}
        assert cluster.states('luzon-b') == {_OUT}

    async def test_stale_read_does_not_restore_an_older_version(self, cluster):
        cluster.store.make_stale('h0')
        cluster.store.make_stale('h1')
        cluster.store.set('documents/dispatch', b'v2')
        await cluster.hosts['h3'].distributor._list_documents()
        for host in ('h0', 'h1', 'h3'):
            await cluster.hosts[host].distributor._list_documents()
        await cluster.advance(_PROPAGATION_S)
        assert cluster.values('dispatch') == {b'v2'}
        cluster.kill('h1')
        cluster.start('h1')
        await cluster.advance(_PROPAGATION_S)
        assert cluster.values('dispatch') == {b'v2'}

    async def test_refused_document_is_neither_applied_nor_pulled_again(
        self, cluster
    ):
        cluster.store.set('documents/dispatch', b'bad')
        await cluster.advance(_PROPAGATION_S)
        assert cluster.values('dispatch') == {b'v1'}
        cluster.network.log.clear()
        await cluster.advance(20)
        kinds = {type(message) for _, _, message in cluster.network.log}
        assert wire.DocumentPull not in kinds
        cluster.store.set('documents/dispatch', b'v3')
        await cluster.advance(_PROPAGATION_S)
        assert cluster.values('dispatch') == {b'v3'}

    async def test_restart_during_an_outage_loads_documents_from_peers(
        self, cluster
    ):
        cluster.store.down = True
        await cluster.order_out('h3', 'luzon-b')
        await cluster.advance(1)
        for host in ('h0', 'h5'):
            cluster.kill(host)
            cluster.start(host)
            assert not cluster.hosts[host].distributor.ready
            await cluster.advance(_SHORT_DELAY_S)
        assert cluster.values('dispatch') == {b'v1'}
        assert cluster.states('luzon-b') == {_OUT}

    async def test_host_without_store_and_peers_is_not_ready(self, cluster):
        cluster.store.down = True
        for host in list(cluster.hosts):
            cluster.kill(host)
        cluster.start('h0')
        await cluster.advance(10)
        assert not cluster.hosts['h0'].distributor.ready


class TestOrders:
    """An `out` order must take effect at all hosts, even without the store."""

    async def test_order_during_an_outage_is_written_afterwards(self, cluster):
        cluster.store.down = True
        await cluster.order_out('h3', 'luzon-b')
        await cluster.advance(1)
        assert cluster.states('luzon-b') == {_OUT}
        await cluster.advance(60)
        puts = cluster.store.calls.get('put', 0)
        cluster.store.down = False
        await cluster.advance(12)
        assert cluster.deployment().failure_domains['luzon-b'].state is _OUT
        assert cluster.states('luzon-b') == {_OUT}
        assert cluster.orders() == []
        views = cluster.store.objects['views/luzon']
        assert views is not None
        assert cluster.store.calls['put'] - puts <= 3

    async def test_order_whose_write_loses_its_answer_is_written_once(
        self, cluster
    ):
        cluster.store.lose_answers = 1
        before = cluster.store.revision
        order = await cluster.order_out('v1', 'visayas-a')
        await cluster.advance(_PROPAGATION_S)
        entry = cluster.deployment().failure_domains['visayas-a']
        assert entry.order_id == order.order_id
        assert cluster.orders() == []
        written = [
            item
            for name, item in cluster.store.objects.items()
            if name == 'documents/_deployment' and item.version > before
        ]
        assert len(written) == 1

    async def test_leader_writes_the_order_of_a_killed_host(self, cluster):
        cluster.store.down = True
        await cluster.order_out('h5', 'luzon-b')
        await cluster.advance(0.2)
        cluster.kill('h5')
        await cluster.advance(10)
        cluster.store.down = False
        await cluster.advance(12)
        assert cluster.deployment().failure_domains['luzon-b'].state is _OUT
        assert cluster.orders() == []

    async def test_in_order_fails_without_the_store(self, cluster):
        await cluster.order_out('h3', 'luzon-b')
        await cluster.advance(_SHORT_DELAY_S)
        cluster.store.down = True
        with pytest.raises(errors.StoreUnavailable):
            await cluster.order_in('h1', 'luzon-b')
        await cluster.advance(1)
        assert cluster.states('luzon-b') == {_OUT}

    async def test_in_order_whose_answer_is_lost_succeeds(self, cluster):
        await cluster.order_out('h3', 'luzon-b')
        await cluster.advance(_SHORT_DELAY_S)
        cluster.store.lose_answers = 1
        task = cluster.start_order_in('h1', 'luzon-b')
        await cluster.advance(_SHORT_DELAY_S)
        assert (
            task.result()
            == cluster.store.objects['documents/_deployment'].version
        )
        assert cluster.states('luzon-b') == {_IN}

    async def test_later_in_order_cancels_an_out_order_not_yet_written(
        self, cluster
    ):
        cluster.store.cut = {'h3'}
        await cluster.order_out('h3', 'luzon-b')
        await cluster.advance(1)
        task = cluster.start_order_in('h1', 'luzon-b')
        await cluster.advance(_SHORT_DELAY_S)
        assert task.done()
        assert cluster.states('luzon-b') == {_IN}
        cluster.store.cut = set()
        await cluster.advance(10)
        assert cluster.states('luzon-b') == {_IN}
        assert cluster.orders() == []

    async def test_concurrent_out_and_in_orders_lead_to_one_state(
        self, cluster
    ):
        for out_host, in_host in (('h1', 'v1'), ('v0', 'h4'), ('h2', 'h2')):
            await cluster.order_out('h5', 'luzon-a')
            await cluster.advance(_SHORT_DELAY_S)
            task = cluster.start_order_in(in_host, 'luzon-a')
            await cluster.order_out(out_host, 'luzon-a')
            await cluster.advance(20)
            assert task.done()
            task.exception()
            recorded = cluster.deployment().failure_domains['luzon-a'].state
            stored = cluster.orders()
            assert stored == []
            raw = {
                host.distributor._undamped_state('luzon-a')
                for host in cluster.hosts.values()
            }
            assert raw == {recorded}

    async def test_order_for_an_unknown_domain_is_refused(self, cluster):
        with pytest.raises(errors.DocumentError, match='known: luzon-a'):
            await cluster.order_out('h0', 'luzon-z')

    async def test_order_reaches_another_region_after_a_partition(
        self, cluster
    ):
        right = ['v0', 'v1']
        left = [host for host in _HOSTS if host not in right]
        cluster.network.partition(left, right)
        cluster.store.down = True
        await cluster.order_out('h0', 'luzon-b')
        await cluster.advance(10)
        assert cluster.states('luzon-b') == {_IN, _OUT}
        cluster.network.heal()
        await cluster.advance(12)
        assert cluster.states('luzon-b') == {_OUT}

    async def test_domain_that_changes_often_stays_out_for_a_minute(
        self, cluster
    ):
        for _ in range(2):
            await cluster.order_out('h1', 'luzon-a')
            await cluster.advance(_SHORT_DELAY_S)
            await cluster.order_in('h1', 'luzon-a')
            await cluster.advance(_SHORT_DELAY_S)
        recorded = cluster.deployment().failure_domains['luzon-a'].state
        assert recorded is _IN
        assert cluster.states('luzon-a') == {_OUT}
        status = cluster.hosts['h4'].distributor.domain_status()[0]
        assert status.recorded is _IN
        assert 0 < status.damped_s <= 60
        await cluster.advance(61)
        assert cluster.states('luzon-a') == {_IN}

    @settings(derandomize=True, database=None, deadline=None, max_examples=8)
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(['out', 'in', 'down', 'up', 'lose', 'restart']),
                st.sampled_from(sorted(_HOSTS)),
                st.sampled_from([0.1, 1.0, 6.0]),
            ),
            min_size=4,
            max_size=12,
        )
    )
    def test_hosts_agree_after_any_orders_and_outages(self, steps):
        asyncio.run(_run_steps(steps))


async def _run_steps(steps):
    cluster = await _start_cluster()
    tasks = []
    for kind, host, delay_s in steps:
        if kind == 'out':
            await cluster.order_out(host, 'luzon-a')
        elif kind == 'in':
            tasks.append(cluster.start_order_in(host, 'luzon-a'))
        elif kind == 'lose':
            cluster.store.lose_answers = 1
        elif kind == 'restart':
            cluster.kill(host)
            cluster.start(host)
        else:
            cluster.store.down = kind == 'down'
        await cluster.advance(delay_s)
    cluster.store.down = False
    await cluster.advance(30)
    await asyncio.gather(*tasks, return_exceptions=True)
    recorded = cluster.deployment().failure_domains['luzon-a'].state
    assert cluster.orders() == []
    assert len(cluster.values('_deployment')) == 1
    for host in cluster.hosts.values():
        assert host.distributor._undamped_state('luzon-a') is recorded
    await cluster.close()


class TestIsSettled:
    """Whether an order is settled must depend on the document alone.

    Otherwise hosts that received messages in another order would disagree.
    """

    def _document(self, state, order_id, changed_at=0.0):
        entry = documents.DomainEntry('luzon', state, order_id, changed_at)
        return documents.DeploymentDocument({'d': entry})

    @pytest.mark.parametrize(
        ('state', 'order_id', 'changed_at', 'version', 'expected'),
        [
            (_OUT, 'o', 0, 6, True),
            (_IN, 'o', 0, 6, True),
            (_OUT, 'other', 0, 6, True),
            (_OUT, 'other', 0, 4, False),
            (_IN, 'in:5:x', 0, 6, True),
            (_IN, 'in:4:x', 0, 5, False),
            (_IN, 'in:4:x', 0, 9, False),
            (_IN, '', 0, 9, False),
            (_IN, '', 101, 9, True),
            (_IN, '', 101, 5, False),
        ],
    )
    def test_is_settled(self, state, order_id, changed_at, version, expected):
        order = wire.DomainOrder('d', 'o', 5, 'h', 100.0)
        document = self._document(state, order_id, changed_at)
        assert orders.is_settled(order, document, version) is expected
