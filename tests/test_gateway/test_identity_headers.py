"""Tests of the headers by which callers identify themselves."""

import asyncio

from hypothesis import HealthCheck
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from ragwortchute.gateway import dialect
from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_messages
from ragwortchute.platform import feeds
from standins import platform_targets
from tests.test_gateway import organisation_scenes as scenes
from tests.test_gateway import rig as rigs

K = scenes.KEY.encode()
OTHER = scenes.OTHER_KEY.encode()
CREDENTIAL = b'X-Credential: ' + K

# Name, header lines, trailer lines, and the status. A request that is served
# must reach its target in the name of `acme` alone.
FORMS = [
    ('plain', [CREDENTIAL], [], 200),
    ('lower case', [b'x-credential: ' + K], [], 200),
    ('upper case', [b'X-CREDENTIAL: ' + K], [], 200),
    ('white space', [b'X-Credential: \t ' + K + b' \t '], [], 200),
    ('no space', [b'X-Credential:' + K], [], 200),
    ('false name', [CREDENTIAL, b'X-Tenant: globex'], [], 200),
    ('name first', [b'x-tEnant: globex', CREDENTIAL], [], 200),
    ('two names', [b'X-Tenant: globex', CREDENTIAL, b'X-Tenant: a'], [], 200),
    ('empty name', [b'X-Tenant:', CREDENTIAL], [], 200),
    ('name with underscore', [b'X_Tenant: globex', CREDENTIAL], [], 200),
    ('key with underscore', [b'X_Credential: ' + OTHER, CREDENTIAL], [], 200),
    (
        'hop name',
        [b'Connection: X-Tenant', b'X-Tenant: b', CREDENTIAL],
        [],
        200,
    ),
    ('name in trailer', [CREDENTIAL], [b'X-Tenant: globex'], 200),
    ('own header', [CREDENTIAL, b'X-Ragwortchute-Organisation: b'], [], 200),
    ('own token', [CREDENTIAL, b'X-Ragwortchute-Token: 00'], [], 200),
    ('none', [], [], 401),
    ('name only', [b'X-Tenant: acme'], [], 401),
    ('own header only', [b'X-Ragwortchute-Organisation: acme'], [], 401),
    ('underscore only', [b'X_Credential: ' + K], [], 401),
    ('empty', [b'X-Credential:'], [], 401),
    ('blank', [b'X-Credential: \t '], [], 401),
    ('twice', [CREDENTIAL, CREDENTIAL], [], 401),
    ('two keys', [CREDENTIAL, b'X-Credential: ' + OTHER], [], 401),
    ('key and empty', [CREDENTIAL, b'X-Credential:'], [], 401),
    ('key and unknown', [b'X-Credential: no', CREDENTIAL], [], 401),
    ('list', [CREDENTIAL + b', ' + K], [], 401),
    ('list with empty item', [CREDENTIAL + b','], [], 401),
    ('quoted', [b'X-Credential: "' + K + b'"'], [], 401),
    ('scheme', [b'X-Credential: Bearer ' + K], [], 401),
    ('other case', [b'X-Credential: ' + K.upper()], [], 401),
    ('prefix', [b'X-Credential: ' + K[:-1]], [], 401),
    ('no-break space', [CREDENTIAL + b'\xc2\xa0'], [], 401),
    ('latin-1', [CREDENTIAL + b'\xe9'], [], 401),
    ('in trailer', [], [CREDENTIAL], 401),
    ('in head and trailer', [CREDENTIAL], [CREDENTIAL], 401),
    ('hop key', [b'Connection: X-Credential', CREDENTIAL], [], 401),
    ('space in name', [b'X-Credential : ' + K], [], 400),
    ('control character', [b'X-Credential: ' + K + b'\x00'], [], 400),
]


@pytest.fixture
async def regions(deployment):
    """A host in each of two regions; all routes are bound to the first."""
    deployment.configuration = scenes.CONFIG
    deployment.contracts = frozenset({'tenants'})
    await deployment.start('a1', 'b1')
    await deployment.until(
        lambda: all(
            host.ready and len(host.hosts()) == 2 for host in deployment.hosts
        )
    )
    return deployment


def heads(deployment):
    """Returns and forgets the heads that targets have received."""
    received = [run.head for item in deployment.targets for run in item.runs]
    for item in deployment.targets:
        item.runs.clear()
    return received


class TestForms:
    """No form of the two headers may name an organisation without its key.

    A target must never get a key or what a caller wrote in place of a name.
    """

    @pytest.mark.parametrize('number', [0, 1])
    async def test_only_the_name_reaches_a_target(self, regions, number):
        host = regions.hosts[number]
        address = scenes.address(host.membership.me)
        for name, lines, trailers, status in FORMS:
            resp = await scenes.send(address, lines, trailers=trailers)
            assert resp.status == status, name
            received = heads(regions)
            assert len(received) == (status == 200), name
            for head in received:
                assert scenes.named(head) == ['acme'], name
        served = sum(form[3] == 200 for form in FORMS)
        assert host.stats.relays == served * number
        for host in regions.hosts:
            scenes.assert_no_key(host.log)

    @pytest.mark.parametrize('number', [0, 1])
    async def test_public_route_names_nobody(self, regions, number):
        address = scenes.address(regions.hosts[number].membership.me)
        for name, lines, trailers, status in FORMS:
            resp = await scenes.send(
                address, lines, trailers=trailers, path='/public/x'
            )
            assert resp.status == (400 if status == 400 else 200), name
            for head in heads(regions):
                assert scenes.named(head) == [], name

    async def test_retry_and_hedge_name_the_organisation(self, start):
        targets = [platform_targets.TargetServer(f't{n}') for n in range(3)]
        rig = await start(*targets, routes=(rigs.route(host='x.example'),))
        rig.state.set_configuration(
            2,
            scenes.with_organisations(rig.state.cfg, scenes.organisation()),
        )
        address = ('127.0.0.1', rig.listener.port)
        lines = [CREDENTIAL, b'X-Tenant: globex']
        for target in targets:
            target.fault = 'error'
        await scenes.send(address, lines, path='/r/x')
        for target in targets:
            target.fault = ''
            target.work_s = 0.2
        await scenes.send(address, lines, path='/r/x')
        await asyncio.sleep(0.3)
        assert rig.stats.retries >= 2
        assert rig.stats.hedges >= 1
        runs = [run for target in targets for run in target.runs]
        assert len(runs) == rig.stats.sends
        for run in runs:
            assert scenes.named(run.head) == ['acme']

    async def test_headers_pass_without_organisations(self, start):
        target = platform_targets.TargetServer('t')
        rig = await start(target, routes=(rigs.route(host='x.example'),))
        lines = [b'X-Credential: k', b'X-Credential: ', b'X-Tenant: me']
        await scenes.send(('127.0.0.1', rig.listener.port), lines, path='/r/x')
        head = target.runs[0].head
        assert 'x-credential: k\r\nx-credential: \r\nx-tenant: me' in head


class TestOtherHosts:
    """A caller that connects to the listener for hosts must pass for none."""

    @pytest.mark.parametrize(
        'lines',
        [
            [b'X-Ragwortchute-Organisation: acme'],
            [b'X-Ragwortchute-Organisation: acme', b'X-Tenant: acme'],
            [
                b'X-Ragwortchute-Organisation: acme',
                b'X-Ragwortchute-Token: ' + b'0' * 24,
            ],
            [b'X-Ragwortchute-Organisation: acme', b'X-Ragwortchute-Token:'],
            [CREDENTIAL],
            [],
        ],
    )
    async def test_relay_needs_the_token(self, regions, lines):
        me = regions.hosts[0].membership.me
        for path in ('/a/x', '/public/x', '/none/'):
            resp = await scenes.send((me.ip, me.peer_port), lines, path=path)
            assert resp.status == 404
        assert heads(regions) == []

    async def test_replica_needs_the_token(self, regions):
        me = regions.hosts[0].membership.me
        reader, writer = await asyncio.open_connection(me.ip, me.peer_port)
        writer.write(
            b'GET /copy?prefix=config/&after=0&wait_ms=0 HTTP/1.1\r\n'
            b'Host: ragwortchute-peer\r\n\r\n'
        )
        resp = await rigs.read_response(reader)
        writer.close()
        assert (resp.status, resp.body) == (404, b'')

    async def test_host_returns_while_the_store_is_away(self, regions):
        # It knows the tokens by heartbeats alone, and nothing of its own tells
        # it that a key was withdrawn.
        tenants = [{**scenes.TENANTS[0], 'api_keys': [scenes.KEY]}]
        await regions.server.put(
            'config', 'main', {**scenes.CONFIG, 'tenants': tenants}
        )
        await regions.until(
            lambda: all(len(host.state.keys) == 1 for host in regions.hosts)
        )
        lost = await regions.add('h2', 'a1')
        await regions.until(lambda: len(lost.hosts()) == 3)
        regions.hosts.remove(lost)
        me = lost.membership.me
        await lost.close()
        await asyncio.sleep(0.05)  # until its sockets are closed
        regions.server.mode = 'reset'
        returned = regions.build(
            msgspec.structs.replace(me, incarnation=me.incarnation + 1)
        )
        await regions.run(returned)
        joining = asyncio.create_task(regions.registration(returned).join())
        await regions.until(lambda: returned.ready, 2.0)
        await asyncio.wait_for(joining, 5.0)
        address = scenes.address(me)
        assert (await scenes.send(address, [CREDENTIAL])).status == 200
        withdrawn = b'X-Credential: key-of-acme-old'
        assert (await scenes.send(address, [withdrawn])).status in (401, 503)
        assert len(heads(regions)) == 1

    async def test_host_with_an_old_token_sends_to_a_target_itself(
        self, regions
    ):
        remote_host = regions.hosts[1]
        peer = remote_host.membership.peers.get('h0')
        peer.entry = msgspec.structs.replace(peer.entry, token='0' * 24)
        resp = await scenes.send(
            scenes.address(remote_host.membership.me), [CREDENTIAL]
        )
        assert resp.status == 200
        (head,) = heads(regions)
        assert scenes.named(head) == ['acme']

    async def test_organisation_must_be_known_at_both_hosts(self, regions):
        # The other host has removed it. It runs nothing; the first host acts
        # on its own configuration until it has the change, too.
        home_host, remote_host = regions.hosts
        cfg = home_host.state.cfg
        home_host.state.set_configuration(
            10**9,
            msgspec.structs.replace(
                cfg, organisations={'globex': cfg.organisations['globex']}
            ),
        )
        resp = await scenes.send(
            scenes.address(remote_host.membership.me), [CREDENTIAL]
        )
        assert resp.status == 200
        assert home_host.stats.sends == 0
        (head,) = heads(regions)
        assert scenes.named(head) == ['acme']

    async def test_other_host_gets_no_key(self, regions):
        home_host, remote_host = regions.hosts
        received = []

        async def keep(req):
            received.append(req)
            return http_messages.Response(503)

        home_host.peers.handler = keep
        lines = [CREDENTIAL, b'X-Tenant: globex', b'X_Credential: ' + OTHER]
        for path in ('/a/x', '/public/x'):
            await scenes.send(
                scenes.address(remote_host.membership.me), lines, path=path
            )
        relayed = [req for req in received if req.path.endswith('/x')]
        assert len(relayed) == 2
        for req in relayed:
            assert not scenes.KEYS.search(repr(req.headers))
            assert req.get(b'x-tenant') is None
        names = [req.get(dialect.RELAYED_ORGANISATION) for req in relayed]
        assert names == [b'acme', None]

    async def test_home_of_an_organisation_binds_relays(self, regions):
        host = regions.hosts[0]
        cfg = host.state.cfg
        bound = msgspec.structs.replace(
            cfg,
            organisations={'acme': scenes.organisation(homes=('b',))},
        )
        for each in regions.hosts:
            each.state.set_configuration(10**9, bound)
        address = scenes.address(host.membership.me)
        resp = await scenes.send(address, [CREDENTIAL])
        assert resp.status == 503
        assert 'retry-after' in resp.headers
        assert host.stats.refusals['no-common-home'] == 1
        assert heads(regions) == []


HEADER_NAMES = st.sampled_from(
    [b'X-Credential', b'x-credential', b'X-Tenant', b'X_Tenant', b'X-TENANT']
    + [b'X-Credential ', b' X-Tenant', b'X-Tenant\t', b'Connection', b'TE']
    + [name for name in sorted(dialect.HOST_HEADERS)]
)
VALUES = st.sampled_from(
    [K, OTHER, b'acme', b'', b' ', b'\t' + K, K + b' ', K + b',' + K]
    + [b'X-Tenant', b'X-Credential', b'\xff', b'\x0b' + K, b'globex\r\n y']
) | st.binary(max_size=12)
LINES = st.lists(
    st.tuples(HEADER_NAMES, VALUES).map(b': '.join)
    | st.sampled_from([b'Transfer-Encoding: chunked', CREDENTIAL]),
    max_size=5,
)


class TestFuzz:
    """No combination of lines may forge an identity or end in an error."""

    @settings(
        max_examples=300,
        suppress_health_check=[HealthCheck.function_scoped_fixture],
    )
    @given(lines=LINES, trailers=LINES)
    @example(lines=[b'Transfer-Encoding: chunked'], trailers=[CREDENTIAL])
    def test_target_gets_only_the_name(self, lines, trailers):
        asyncio.run(self.check(lines, trailers))

    async def check(self, lines, trailers):
        target = platform_targets.TargetServer('t', work_s=0)
        rig = rigs.Rig(target)
        await rig.start(rigs.route(host='x.example'))
        cfg = scenes.with_organisations(
            rig.state.cfg,
            scenes.organisation(),
            scenes.organisation('globex', scenes.OTHER_KEY),
        )
        rig.state.set_configuration(2, cfg)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', rig.listener.port
        )
        head = (b'POST /r/x HTTP/1.1', b'Host: x.example', b'X-Request-Id: r')
        chunks = (b'1', b'z', b'0', *trailers, b'', b'')
        writer.write(
            b'\r\n'.join((*head, *lines, b'', b'')) + b'\r\n'.join(chunks)
        )
        async with asyncio.timeout(5):
            await rigs.read_response(reader)
        writer.close()
        await rig.stop()
        sent_keys = b'\r\n'.join(lines)
        for run in target.runs:
            (name,) = scenes.named(run.head)
            assert {'acme': K, 'globex': OTHER}[name] in sent_keys
        scenes.assert_no_key(rig.log)


class TestRecords:
    """Keys must not appear in what may be printed or logged."""

    def test_representations_have_no_key(self):
        value = msgspec.json.encode(scenes.CONFIG)
        cfg = feeds.decode_configuration(value)
        assert cfg.organisations['acme'].keys
        assert not scenes.KEYS.search(repr(cfg))
        tenants = msgspec.json.decode(value, type=feeds._Config)
        assert not scenes.KEYS.search(repr(tenants))

    @pytest.mark.parametrize(
        'tenant',
        [
            {'name': scenes.KEY, 'api_keys': scenes.KEY},
            {'name': 'a', 'api_keys': [scenes.KEY, 5]},
            {'name': 'a', 'api_keys': [scenes.KEY], 'burst': scenes.KEY},
            {'name': 'a', 'api_keys': {scenes.KEY: 1}},
        ],
    )
    def test_error_of_a_malformed_configuration_has_no_key(self, tenant):
        log = rigs.MemoryLog()
        rig_state = rigs.host_state.HostState(None, rigs.DOMAINS, 'a1', log)
        feed = feeds.ConfigFeed(rig_state, log)
        value = msgspec.json.encode({**scenes.CONFIG, 'tenants': [tenant]})
        feed.put(feeds.stores.StoredObject('main', 2, value), 2)
        assert log.kinds() == ['configuration-malformed']
        scenes.assert_no_key(log)

    def test_token_of_a_host_is_not_shown(self):
        entry = rigs.host(token='secret')
        assert isinstance(entry, model.HostEntry)
        assert 'secret' not in repr(entry)
