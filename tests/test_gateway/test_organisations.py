"""Tests of organisations: keys, homes, priority, quotas and refusals."""

import asyncio
import json

import msgspec
import pytest

from ragwortchute.gateway import organisations
from ragwortchute.gateway.organisations import identity
from ragwortchute.gateway.organisations import recency
from ragwortchute.platform import feeds
from standins import platform_targets
from tests.test_gateway import organisation_scenes as scenes
from tests.test_gateway import rig as rigs

CREDENTIAL = b'X-Credential: ' + scenes.KEY.encode()


class TestHomes:
    """Both lists of homes must bind a request."""

    @pytest.mark.parametrize(
        ('first', 'second', 'expected'),
        [
            ((), (), ()),
            (('a',), (), ('a',)),
            ((), ('b',), ('b',)),
            (('a', 'b'), ('b', 'c'), ('b',)),
            (('a',), ('b',), None),
        ],
    )
    def test_common_homes(self, first, second, expected):
        assert identity.common_homes(first, second) == expected


class Quotas(organisations.Quotas):
    """Quotas with a fixed answer that keep their calls."""

    def __init__(self):
        self.wait_s = 0.0
        self.admitted = 0
        self.returned = 0

    def admit(self, organisation, now_s, priority=0):
        assert organisation.name == 'acme'
        self.admitted += not self.wait_s
        return self.wait_s

    def give_back(self, organisation, now_s):
        assert organisation.name == 'acme'
        self.returned += 1


@pytest.fixture
async def served(start):
    """Starts a host and puts organisations in force."""

    async def run(*items, targets=(), route=None, public=False):
        targets = targets or (platform_targets.TargetServer('t'),)
        route = route or rigs.route(host='x.example', public=public)
        rig = await start(*targets, routes=(route,))
        rig.listener.refuse_early = rig.dispatcher.refuse_early
        rig.quotas = rig.dispatcher._intake._quotas = Quotas()
        put(rig, *items)
        return rig

    return run


def put(rig, *items):
    """Puts a configuration in force that has these organisations."""
    items = items or (scenes.organisation(),)
    cfg = scenes.with_organisations(rig.state.cfg, *items)
    rig.state.set_configuration(rig.state.cfg_revision + 1, cfg)


async def send(rig, lines=(CREDENTIAL,), path='/r/x', **kwargs):
    address = ('127.0.0.1', rig.listener.port)
    return await scenes.send(address, lines, path=path, **kwargs)


class TestRefusals:
    """A refusal must name the true reason, and never be too sure of it."""

    async def test_unknown_key_is_refused(self, served):
        rig = await served()
        resp = await send(rig, [b'X-Credential: no'])
        assert (resp.status, 'retry-after' in resp.headers) == (401, False)
        assert rig.stats.refusals['unknown-key'] == 1
        assert rig.stats.organisation_requests.shown() == {}

    async def test_host_that_is_behind_does_not_answer_401(self, served):
        # The key may have been added since.
        rig = await served()
        rig.confirmed = False
        resp = await send(rig, [b'X-Credential: no'])
        assert resp.status == 503
        assert float(resp.headers['retry-after']) > 0
        assert rig.stats.refusals['unconfirmed-key'] == 1
        assert (await send(rig)).status == 200

    async def test_host_that_is_behind_does_not_answer_404(self, served):
        rig = await served()
        assert (await send(rig, path='/none/')).status == 404
        rig.confirmed = False
        assert (await send(rig, path='/none/')).status == 503
        assert rig.stats.refusals['unconfirmed-route'] == 1

    async def test_without_organisations_404_is_final(self, start):
        rig = await start(routes=(rigs.route(host='x.example'),))
        rig.confirmed = False
        assert (await send(rig, path='/none/')).status == 404

    async def test_withdrawn_key_has_its_own_reason(self, served):
        rig = await served()
        put(rig, scenes.organisation('acme', 'k2'))
        assert (await send(rig)).status == 401
        assert rig.stats.refusals['key-withdrawn'] == 1
        rig.confirmed = False
        # It may have been added again.
        assert (await send(rig)).status == 503

    async def test_requests_are_counted_and_logged_by_name(self, served):
        rig = await served()
        await send(rig)
        rig.targets[0].fault = 'shed'
        await send(rig)
        assert rig.stats.organisation_requests.shown() == {'acme': 2}
        assert rig.stats.organisation_refusals.shown() == {'acme': 1}
        lines = [
            fields
            for kind, fields in rig.log.lines
            if kind in ('send', 'request')
        ]
        assert len(lines) >= 4
        assert {fields['organisation'] for fields in lines} == {'acme'}
        scenes.assert_no_key(rig.log)

    async def test_public_route_has_no_organisation(self, served):
        rig = await served(public=True)
        assert (await send(rig)).status == 200
        assert rig.quotas.admitted == 0
        assert not any('organisation' in line for _, line in rig.log.lines)

    async def test_priority_of_the_organisation_comes_first(self, served):
        for priority, expected in ((None, 2), (0, 0), (5, 5)):
            route = rigs.route(host='x.example', priority=2)
            rig = await served(
                scenes.organisation(priority=priority), route=route
            )
            seen = []
            run = rig.dispatcher._run

            async def note(call, outstanding, seen=seen, run=run):
                seen.append(call.priority)
                return await run(call, outstanding)

            rig.dispatcher._run = note
            await send(rig)
            assert seen == [expected]


class TestRecency:
    """Only a configuration that was confirmed lately may refuse for good."""

    async def test_age_and_news_count(self):
        loop = asyncio.get_running_loop()
        state = rigs.Rig().state

        class Follower:
            holds_configuration = True
            behind = 0.0

            def behind_s(self):
                return self.behind

        follower = Follower()
        recent = recency.Recency(state, {'config/': follower}, 3.0)
        assert not recent.is_confirmed()
        state.cfg_confirmed_s = loop.time() - 2.5
        assert recent.is_confirmed()
        follower.behind = 0.01
        assert not recent.is_confirmed()
        follower.behind = 0.0
        state.cfg_confirmed_s = loop.time() - 2.8
        assert not recent.is_confirmed()

    async def test_unknown_keys_cause_no_call_to_the_store(self, deployment):
        deployment.configuration = scenes.CONFIG
        await deployment.start('a1')
        (host,) = deployment.hosts
        await deployment.until(lambda: host.ready)
        address = scenes.address(host.membership.me)
        await deployment.until(lambda: deployment.server.calls)
        watches = asyncio.create_task(asyncio.sleep(1.0))
        before = deployment.server.calls.total()
        while not watches.done():
            resp = await scenes.send(address, [b'X-Credential: no'])
            assert resp.status == 401
        # The watches of three prefixes go on as they do without requests.
        assert deployment.server.calls.total() - before <= 6


class TestWithdrawal:
    """A withdrawn key must serve no further request, on any connection."""

    async def test_kept_and_pipelined_connections(self, served):
        # 200 requests a second on four connections, the next ones sent before
        # the answers to the first.
        target = platform_targets.TargetServer('t', slots=64, queue=64)
        rig = await served(targets=(target,))
        statuses = []
        withdrawn = asyncio.Event()

        async def call():
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', rig.listener.port
            )
            after = 0
            while after < 5:
                is_after = withdrawn.is_set()
                after += is_after
                request = (
                    b'GET /r/x HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: r'
                    b'\r\n' + CREDENTIAL + b'\r\n\r\n'
                )
                writer.write(request * 10)
                for _ in range(10):
                    resp = await rigs.read_response(reader)
                    statuses.append((is_after, resp.status))
                await asyncio.sleep(0.2)
            writer.close()

        calls = [asyncio.create_task(call()) for _ in range(4)]
        await asyncio.sleep(1.0)
        put(rig, scenes.organisation('acme', 'k2'))
        withdrawn.set()
        await asyncio.gather(*calls)
        assert {status for after, status in statuses if after} == {401}
        before = [status for after, status in statuses if not after]
        assert before.count(200) > 100
        assert set(before) <= {200, 401}
        kinds = rig.log.kinds()
        last_change = len(kinds) - kinds[::-1].index('configuration')
        assert 'send' not in kinds[last_change:]

    @pytest.mark.parametrize(
        ('items', 'status', 'reason'),
        [
            ([scenes.organisation('acme', 'k2')], 401, 'key-withdrawn'),
            ([scenes.organisation('globex')], 401, 'key-withdrawn'),
            ([scenes.organisation(homes=('b',))], 503, 'no-common-home'),
        ],
    )
    async def test_waiting_request_is_refused(
        self, served, items, status, reason
    ):
        route = rigs.route(host='x.example', homes=('a',))
        rig = await served(route=route)
        select = rig.dispatcher._selector.select

        async def select_slowly(requirements):
            placed = await select(requirements)
            put(rig, *items)
            return placed

        rig.dispatcher._selector.select = select_slowly
        resp = await send(rig)
        assert resp.status == status
        assert rig.stats.refusals[reason] == 1
        assert rig.stats.sends == 0
        assert rig.quotas.returned == rig.quotas.admitted == 1

    async def test_change_that_leaves_the_key_refuses_nothing(self, served):
        rig = await served()
        select = rig.dispatcher._selector.select

        async def select_slowly(requirements):
            put(rig, scenes.organisation('acme', scenes.KEY, 'k2'))
            return await select(requirements)

        rig.dispatcher._selector.select = select_slowly
        assert (await send(rig)).status == 200

    async def test_headers_of_an_earlier_request_are_not_sent(self, start):
        # Without organisations they were left in the request.
        target = platform_targets.TargetServer('t')
        rig = await start(target, routes=(rigs.route(host='x.example'),))
        select = rig.dispatcher._selector.select

        async def select_slowly(requirements):
            put(rig)
            return await select(requirements)

        rig.dispatcher._selector.select = select_slowly
        resp = await send(rig, [b'X-Tenant: acme'])
        assert resp.status == 503
        assert target.runs == []
        assert rig.stats.refusals['configuration-changed'] == 1

    async def test_all_hosts_refuse_within_the_bound(self, deployment):
        deployment.configuration = scenes.CONFIG
        deployment.contracts = frozenset({'tenants'})
        await deployment.start('a1', 'a2', 'b1')
        hosts = deployment.hosts
        await deployment.until(lambda: all(host.ready for host in hosts))
        addresses = [scenes.address(host.membership.me) for host in hosts]
        for address in addresses:
            assert (await scenes.send(address, [CREDENTIAL])).status == 200
        tenants = [
            {'name': 'acme', 'api_keys': ['new']},
            scenes.TENANTS[1],
        ]
        await deployment.server.put(
            'config', 'main', {**scenes.CONFIG, 'tenants': tenants}
        )
        await deployment.until(
            lambda: all(host.state.keys.find('new') for host in hosts), 3.0
        )
        for host, address in zip(hosts, addresses, strict=True):
            resp = await scenes.send(address, [CREDENTIAL])
            assert resp.status in (401, 503)
            resp = await scenes.send(address, [b'X-Credential: new'])
            assert resp.status == 200
            scenes.assert_no_key(host.log)


class TestQuotas:
    """Credit must be spent once for a request, and returned if it never ran."""

    async def test_request_over_quota_is_refused(self, served):
        rig = await served()
        rig.quotas.wait_s = 0.5
        resp = await send(rig)
        assert resp.status == 429
        assert 0.25 < float(resp.headers['retry-after']) < 1
        assert rig.stats.refusals['over-quota'] == 1
        assert rig.stats.organisation_refusals.shown() == {'acme': 1}
        assert rig.quotas.returned == 0

    @pytest.mark.parametrize(
        ('fault', 'status', 'returned'),
        [('', 200, 0), ('shed', 503, 1), ('error', 500, 0), ('reset', 502, 0)],
    )
    async def test_credit_is_returned_if_the_request_has_not_run(
        self, served, fault, status, returned
    ):
        targets = [platform_targets.TargetServer(f't{n}') for n in range(2)]
        rig = await served(targets=targets)
        for target in targets:
            target.fault = fault
        assert (await send(rig)).status == status
        assert rig.quotas.admitted == 1
        assert rig.quotas.returned == returned

    async def test_unknown_key_spends_nothing(self, served):
        rig = await served()
        await send(rig, [b'X-Credential: no'])
        assert rig.quotas.admitted == 0

    async def test_relayed_request_spends_once(self, deployment):
        deployment.configuration = scenes.CONFIG
        deployment.contracts = frozenset({'tenants'})
        await deployment.start('a1', 'b1')
        hosts = deployment.hosts
        await deployment.until(
            lambda: all(host.ready and len(host.hosts()) == 2 for host in hosts)
        )
        quotas = [Quotas(), Quotas()]
        for host, each in zip(hosts, quotas, strict=True):
            host.dispatcher._intake._quotas = each
        address = scenes.address(hosts[1].membership.me)
        assert (await scenes.send(address, [CREDENTIAL])).status == 200
        assert hosts[1].stats.relays == 1
        assert [each.admitted for each in quotas] == [0, 1]
        for target in deployment.targets:
            target.fault = 'shed'
        assert (await scenes.send(address, [CREDENTIAL])).status == 503
        assert [each.returned for each in quotas] == [0, 1]
        counted = [host.stats.organisation_refusals for host in hosts]
        assert [each.shown() for each in counted] == [{}, {'acme': 1}]


class TestEarlyRefusals:
    """A long body must not be read if the head already tells the refusal."""

    async def request(self, rig, lines, framing):
        """Sends a head alone; returns the response and whether it closed."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', rig.listener.port
        )
        head = (b'POST /r/x HTTP/1.1', b'Host: x.example', framing, *lines)
        writer.write(b'\r\n'.join((*head, b'', b'')))
        try:
            async with asyncio.timeout(1.0):
                resp = await rigs.read_response(reader)
                return resp.status, await reader.read() == b''
        except TimeoutError:
            return None
        finally:
            writer.close()

    @pytest.mark.parametrize(
        'framing', [b'Content-Length: 360000', b'Transfer-Encoding: chunked']
    )
    async def test_unknown_key_is_refused_before_the_body(
        self, served, framing
    ):
        rig = await served()
        assert await self.request(rig, [], framing) == (401, True)
        rig.confirmed = False
        assert await self.request(rig, [], framing) == (503, True)
        assert await self.request(rig, [CREDENTIAL], framing) is None

    async def test_request_over_quota_is_refused_before_the_body(self, served):
        rig = await served()
        rig.quotas.wait_s = 1.0
        framing = b'Content-Length: 360000'
        assert await self.request(rig, [CREDENTIAL], framing) == (429, True)

    async def test_credit_is_spent_once_for_a_long_body(self, served):
        rig = await served()
        resp = await send(rig, body=b'z' * 360_000)
        assert resp.status == 200
        assert rig.quotas.admitted - rig.quotas.returned == 1

    async def test_short_body_keeps_the_connection(self, served):
        rig = await served()
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', rig.listener.port
        )
        head = b'POST /r/x HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: r\r\n'
        body = b'Content-Length: 1\r\n\r\nz'
        writer.write(head + body + head + CREDENTIAL + b'\r\n' + body)
        statuses = [(await rigs.read_response(reader)).status for _ in 'ab']
        writer.close()
        assert statuses == [401, 200]

    async def test_refusal_waits_for_earlier_responses(self, served):
        rig = await served(
            targets=(platform_targets.TargetServer('t', work_s=0.2),)
        )
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', rig.listener.port
        )
        head = b'POST /r/x HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: r\r\n'
        writer.write(head + CREDENTIAL + b'\r\nContent-Length: 1\r\n\r\nz')
        writer.write(head + b'Content-Length: 360000\r\n\r\n')
        statuses = [(await rigs.read_response(reader)).status for _ in 'ab']
        writer.close()
        assert statuses == [200, 401]


class TestUploads:
    """An upload may run at most once, whatever the configuration calls it."""

    async def test_upload_is_not_repeated(self, served):
        cfg = feeds.decode_configuration(json.dumps(scenes.CONFIG).encode())
        (route,) = [item for item in cfg.routes if item.name == 'u']
        route = msgspec.structs.replace(route, services=rigs.route().services)
        targets = [platform_targets.TargetServer(f't{n}') for n in range(2)]
        rig = await served(targets=targets, route=route)
        for fault, status in (('lose', 502), ('error', 500)):
            for target in targets:
                target.fault = fault
                target.runs.clear()
            resp = await send(rig, path='/up/x', body=b'z' * 100)
            assert resp.status == status
            assert sum(len(target.runs) for target in targets) == 1
