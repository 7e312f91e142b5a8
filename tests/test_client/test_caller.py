"""Tests of the client for callers against scripted entry hosts."""

import asyncio
import contextlib

import pytest

from ragwortchute import clock as clock_lib
from ragwortchute.client import caller
from tests.test_client import servers
from tests.test_client.servers import ANSWER


@contextlib.asynccontextmanager
async def deployment(*scripts):
    """Yields a client and the scripted hosts a, b, ... that it knows."""
    hosts = [
        await servers.ScriptedHost(chr(97 + i), script).start()
        for i, script in enumerate(scripts)
    ]
    for host in hosts:
        host.advertised = hosts
    client = caller.CallerClient([host.url for host in hosts], organisation='t')
    try:
        yield client, hosts
    finally:
        await client.close()
        for host in hosts:
            await host.stop()


async def pay(client, **kwargs):
    kwargs.setdefault('method', 'POST')
    kwargs.setdefault('timeout_s', 5.0)
    kwargs.setdefault('path', '/pay?x=1')
    return await client.call('billing', body=b'body', **kwargs)


def first_sends(host):
    return host.header_values('ragwortchute-first-send')


def tokens(host):
    return host.header_values('ragwortchute-origin')


class TestSends:
    """A resend that is wrongly marked as a first send can run a key twice."""

    async def test_first_send_has_all_headers(self):
        async with deployment([ANSWER]) as (client, [host]):
            outcome = await pay(client)
        assert outcome.unwrap().body == b'done'
        method, path, headers = host.sends[0]
        assert (method, path) == ('POST', '/call/billing/pay?x=1')
        assert headers['ragwortchute-tenant'] == 't'
        assert 0 < int(headers['ragwortchute-deadline-ms']) <= 5000
        assert headers['ragwortchute-origin'] == 'a-1'
        assert headers['ragwortchute-first-send'] == '1'
        assert headers['idempotency-key']

    async def test_first_send_mark_matches_the_token_after_failover(self):
        async with deployment([ANSWER], [ANSWER]) as (client, [a, b]):
            await pay(client)
            await a.stop()
            outcome = await pay(client)
        assert outcome.unwrap().body == b'done'
        # If a kept-alive connection to a broke, the send to b must not be
        # marked as a first send. Otherwise it must carry the token of b.
        second_send = (first_sends(b), tokens(b))
        assert second_send in ((['1'], ['b-1']), ([None], ['a-1']))

    async def test_unreachable_host_leaves_the_key_unbound(self):
        async with deployment([ANSWER], [ANSWER]) as (client, [a, b]):
            await a.stop()
            outcome = await pay(client)
        assert outcome.unwrap().body == b'done'
        assert (first_sends(b), tokens(b)) == (['1'], ['b-1'])

    @pytest.mark.parametrize('fault', ['drop', 'truncate', 'hang'])
    async def test_lost_connection_is_resent_to_get_the_record(self, fault):
        async with deployment([fault], [ANSWER]) as (client, [a, b]):
            outcome = await pay(client, timeout_s=1.0)
        assert outcome.unwrap().body == b'done'
        assert first_sends(a) == ['1']
        assert first_sends(b) == [None]
        assert tokens(b) == tokens(a)
        assert a.header_values('idempotency-key') == b.header_values(
            'idempotency-key'
        )

    async def test_call_without_any_response_is_unknown(self):
        async with deployment(['drop'], ['drop']) as (client, hosts):
            outcome = await pay(client)
        assert outcome.failure().outcome == 'unknown'
        sent = sum(len(host.sends) for host in hosts)
        assert sent == caller.MAX_SENDS
        assert sum(first_sends(host).count('1') for host in hosts) == 1
        assert {token for host in hosts for token in tokens(host)} == {'a-1'}

    async def test_deadline_after_a_send_is_unknown(self):
        async with deployment(['hang']) as (client, _):
            outcome = await pay(client, timeout_s=0.3)
        assert outcome.failure().outcome == 'unknown'

    async def test_call_without_a_reachable_host_is_not_run(self):
        async with deployment([ANSWER]) as (client, [host]):
            await host.stop()
            outcome = await pay(client, timeout_s=0.5)
        assert outcome.failure().outcome == 'not-run'

    @pytest.mark.parametrize('method', ['PUT', 'GET', 'DELETE'])
    async def test_aiohttp_does_not_resend_on_a_kept_connection(self, method):
        # By default aiohttp resends these methods with the same headers.
        async with deployment([ANSWER, 'drop', ANSWER]) as (client, [host]):
            await pay(client, method=method)
            outcome = await pay(client, method=method)
        assert outcome.unwrap().body == b'done'
        assert first_sends(host) == ['1', '1', None]

    async def test_cancelled_call_closes_its_connection(self):
        async with deployment(['hang']) as (client, [host]):
            call = asyncio.ensure_future(pay(client, timeout_s=30.0))
            await asyncio.wait_for(host.called.wait(), 10.0)
            call.cancel()
            await asyncio.wait_for(host.closed.wait(), 10.0)
            with pytest.raises(asyncio.CancelledError):
                await call

    async def test_idempotent_call_has_no_key_and_fails_over(self):
        async with deployment(['drop'], [ANSWER]) as (client, [a, b]):
            outcome = await pay(client, idempotent=True)
        assert outcome.unwrap().body == b'done'
        assert b.header_values('idempotency-key') == [None]

    async def test_lost_idempotent_call_is_unknown(self):
        late = servers.refusal('not-run', retry_after_ms=-1)
        async with deployment(['drop'], [late]) as (client, _):
            outcome = await pay(client, idempotent=True)
        assert outcome.failure().outcome == 'unknown'


class TestRefusals:
    """A refusal must lead to the correct next send or outcome."""

    async def test_not_run_key_is_resent_as_first_send_with_a_new_token(self):
        script = [servers.refusal('not-run'), ANSWER]
        async with deployment(script) as (client, [host]):
            outcome = await pay(client)
        assert outcome.unwrap().body == b'done'
        assert first_sends(host) == ['1', '1']
        assert tokens(host) == ['a-1', 'a-2']
        assert len(set(host.header_values('idempotency-key'))) == 1

    async def test_addresses_of_a_refusal_are_followed(self):
        async with deployment([ANSWER], [ANSWER]) as (client, [a, b]):
            a.advertised = [a]
            b.token_count = 6
            addresses = b.addresses()
            addresses = type(addresses)(addresses.hosts[1:], 5000)
            a.script = [servers.refusal('not-run', addresses=addresses)]
            outcome = await pay(client)
        assert outcome.unwrap().body == b'done'
        assert (first_sends(b), tokens(b)) == (['1'], ['b-7'])

    async def test_refusing_host_is_tried_last(self):
        # New addresses often begin with the overloaded host.
        async with deployment([ANSWER], [ANSWER]) as (client, [a, b]):
            full = servers.refusal('not-run', addresses=a.addresses())
            a.script = [full]
            outcome = await pay(client)
        assert outcome.unwrap().body == b'done'
        assert (len(a.sends), len(b.sends)) == (1, 1)

    async def test_not_run_from_the_record_unbinds_the_key(self):
        script = ['drop', servers.refusal('not-run'), ANSWER]
        async with deployment(script) as (client, [host]):
            await pay(client)
        assert first_sends(host) == ['1', None, '1']
        assert tokens(host) == ['a-1', 'a-1', 'a-2']

    async def test_not_run_before_the_record_keeps_the_key_bound(self):
        # The first send may have run; an overloaded host refuses the resend.
        busy = servers.refusal('not-run', step='admit')
        async with deployment(['drop', busy, ANSWER]) as (client, [host]):
            await pay(client)
        assert first_sends(host) == ['1', None, None]
        assert set(tokens(host)) == {'a-1'}
        final = servers.refusal('not-run', step='admit', retry_after_ms=-1)
        async with deployment(['drop', final]) as (client, _):
            outcome = await pay(client)
        assert outcome.failure().outcome == 'unknown'

    async def test_unknown_is_resent_only_if_the_host_allows(self):
        for retry_after_ms, sends in ((-1, 1), (0, 2)):
            script = [
                servers.refusal('unknown', retry_after_ms=retry_after_ms),
                ANSWER,
            ]
            async with deployment(script) as (client, [host]):
                await pay(client)
            assert len(host.sends) == sends
            assert first_sends(host) == ['1', None][:sends]

    async def test_ran_is_final(self):
        async with deployment([servers.refusal('ran')]) as (client, [host]):
            outcome = await pay(client)
        assert outcome.failure().outcome == 'ran'
        assert len(host.sends) == 1

    async def test_problem_of_a_target_is_an_answer(self):
        # The target ran the request and forwards the refusal of another service
        # that it called.
        headers = [('Content-Type', 'application/problem+json')]
        nested = (503, headers, b'{"outcome":"not-run","retry_after_ms":0}')
        async with deployment([nested]) as (client, [host]):
            outcome = await pay(client)
        assert outcome.unwrap().status == 503
        assert len(host.sends) == 1

    async def test_redirect_is_not_followed(self):
        moved = (307, [('Location', '/elsewhere')], b'')
        async with deployment([moved]) as (client, [host]):
            outcome = await pay(client)
        assert outcome.unwrap().status == 307
        assert len(host.sends) == 1

    async def test_undecodable_refusal_is_unknown(self):
        broken = (503, [('Ragwortchute-Refusal', 'not-run')], b'{')
        async with deployment([broken]) as (client, _):
            outcome = await pay(client)
        assert outcome.failure().outcome == 'unknown'


class TestAddresses:
    """Address queries must be cached and must survive the loss of a host."""

    async def test_answer_is_cached_for_its_lifetime(self):
        host = await servers.ScriptedHost('a').start()
        clock = clock_lib.ManualClock()
        client = caller.CallerClient([host.url], clock=clock)
        await asyncio.gather(*(pay(client) for _ in range(5)))
        assert host.queries == 1
        await clock.advance(4.9)
        await pay(client)
        assert host.queries == 1
        await clock.advance(0.2)
        await pay(client)
        assert host.queries == 2
        await client.close()
        await host.stop()

    @pytest.mark.parametrize(('any_path', 'queries'), [(True, 1), (False, 4)])
    async def test_answer_for_any_path_serves_all_paths(
        self, any_path, queries
    ):
        """Guards against one query per call for callers that use many paths."""
        async with deployment([ANSWER]) as (client, [host]):
            host.any_path = any_path
            for number in range(4):
                await pay(client, path=f'/{number}')
            assert host.queries == queries

    async def test_query_fails_over_to_the_next_known_host(self):
        async with deployment([ANSWER], [ANSWER]) as (client, [a, b]):
            await a.stop()
            assert (await pay(client)).unwrap().body == b'done'
            assert b.queries == 1

    async def test_expired_answer_is_used_if_no_host_answers(self):
        async with deployment([ANSWER], [ANSWER]) as (client, [a, b]):
            a.lifetime_ms = 0
            b.advertised = a.advertised = [b]
            await pay(client)
            await a.stop()
            b.ignores_queries = True
            assert (await pay(client)).unwrap().body == b'done'
