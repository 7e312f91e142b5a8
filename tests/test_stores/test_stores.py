"""Tests of both stores; the HTTP store runs against the stand-in API."""

import asyncio

import pytest

from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.stores import http
from ragwortchute.stores import memory
from standins import object_api


@pytest.fixture(params=['memory', 'http'])
async def pair(request):
    """Yields the store under test and the memory store that backs it."""
    if request.param == 'memory':
        store = memory.MemoryStore()
        yield store, store
        return
    async with object_api.ObjectApi() as api:
        store = stores.REGISTRY.get('http')(api.url)
        yield store, api.store
        await store.close()


async def until(condition):
    """Waits until a condition of the server holds.

    The server runs on the same event loop.
    """
    for _ in range(10_000):
        if condition():
            return
        await asyncio.sleep(0.001)
    pytest.fail('the condition was not met')


class TestStore:
    """Both stores must behave alike.

    Otherwise, tests that use the memory store would prove nothing about the
    HTTP store.
    """

    async def test_conditional_put(self, pair):
        store, _ = pair
        assert await store.get('a/b c') is None
        first = await store.put('a/b c', b'\x00\xff', expected_version=0)
        assert await store.get('a/b c') == first
        for expected in (0, first.version + 1):
            with pytest.raises(errors.VersionConflict) as caught:
                await store.put('a/b c', b'2', expected_version=expected)
            assert caught.value.current_version == first.version
        second = await store.put('a/b c', b'2', expected_version=first.version)
        assert second.version > first.version
        await store.put('b', b'3', expected_version=0)
        assert await store.list('a/') == [second]

    async def test_names_are_not_normalised(self, pair):
        """URL libraries resolve dot segments, which gives another object."""
        store, behind = pair
        for name in ('a/../b', 'a%2Fb', 'ü?x=1#y'):
            put = await store.put(name, b'1', expected_version=0)
            assert behind.peek(name) == put == await store.get(name)

    async def test_lost_answer_of_a_write(self, pair):
        store, behind = pair
        behind.set_faults(lose_answers=1)
        with pytest.raises(errors.StoreUnavailable) as caught:
            await store.put('a', b'1', expected_version=0)
        assert caught.value.maybe_applied
        assert behind.peek('a').value == b'1'
        assert behind.counters.put == 1

    async def test_calls_fail_during_an_outage_only(self, pair):
        store, behind = pair
        behind.set_faults(down=True)
        for call in (store.get('a'), store.list('')):
            with pytest.raises(errors.StoreUnavailable) as caught:
                await call
            assert not caught.value.maybe_applied
        behind.set_faults(down=False)
        assert await store.get('a') is None

    async def test_stale_reads(self, pair):
        store, behind = pair
        old = await store.put('a', b'1', expected_version=0)
        behind.set_faults(stale_reads=True)
        await store.put('a', b'2', expected_version=old.version)
        assert await store.get('a') == old
        behind.set_faults(stale_reads=False)
        assert (await store.get('a')).value == b'2'

    async def test_too_large_value_is_rejected(self, pair):
        store, _ = pair
        with pytest.raises(errors.StoreError) as caught:
            await store.put('a', bytes(1_000_001), expected_version=0)
        assert not isinstance(caught.value, errors.StoreUnavailable)

    async def test_watch_sees_each_change_once(self, pair):
        store, behind = pair
        first = await store.watch('a/', after_revision=0, timeout_s=5)
        assert first.revision > 0  # a watch from 0 returns all objects again
        pending = asyncio.create_task(
            store.watch('a/', after_revision=first.revision, timeout_s=5)
        )
        await until(lambda: behind.counters.watch == 2)
        await store.put('b/x', b'other', expected_version=0)
        put = await store.put('a/x', b'1', expected_version=0)
        answer = await pending
        assert answer.objects == (put,)
        behind.remove('a/x')
        answer = await store.watch(
            'a/', after_revision=answer.revision, timeout_s=5
        )
        assert answer.removed == ('a/x',)
        quiet = await store.watch(
            'a/', after_revision=answer.revision, timeout_s=0
        )
        assert not quiet.objects and not quiet.removed

    async def test_watch_from_a_future_revision_returns_all_objects(self, pair):
        """A restarted store has lower revisions than its watchers saw."""
        store, behind = pair
        put = behind.seed('a', b'1')
        answer = await store.watch('', after_revision=10**6, timeout_s=5)
        assert answer.objects == (put,)
        assert answer.revision < 10**6

    async def test_pending_watch_fails_when_the_store_goes_down(self, pair):
        store, behind = pair
        pending = asyncio.create_task(
            store.watch('', after_revision=1, timeout_s=60)
        )
        await until(lambda: behind.counters.watch)
        behind.set_faults(down=True)
        with pytest.raises(errors.StoreUnavailable):
            await pending


class TestHttpStore:
    """Network failures must never hide or repeat a write."""

    @pytest.mark.parametrize(
        'answer',
        [
            b'',
            b'HTTP/1.1 200 OK\r\nObject-Version: 7\r\nContent-Le',
            b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab',
            b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
            b'HTTP/1.1 502 Bad\r\nContent-Length: 0\r\n\r\n',
            b'nonsense\r\n\r\n',
        ],
    )
    async def test_broken_answer_on_a_reused_connection(self, answer):
        """A write must not be sent twice when an idle connection closes.

        Some HTTP libraries resend the request in this case.
        """
        seen = []
        good = b'HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n'

        async def serve(reader, writer):
            while head := await reader.readuntil(b'\r\n\r\n'):
                seen.append(head.split(b' ')[0])
                if head.startswith(b'POST'):
                    break
                writer.write(good)
            writer.write(answer)
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        store = http.HttpStore(f'http://127.0.0.1:{port}')
        await store.get('a')
        with pytest.raises(errors.StoreUnavailable) as caught:
            await store.put('a', b'1', expected_version=0)
        assert caught.value.maybe_applied
        assert seen == [b'GET', b'POST']
        await store.close()
        server.close()

    async def test_refused_connection_means_write_was_not_applied(self):
        async with object_api.ObjectApi() as api:
            store = http.HttpStore(api.url)
        with pytest.raises(errors.StoreUnavailable) as caught:
            await store.put('a', b'1', expected_version=0)
        assert not caught.value.maybe_applied
        await store.close()

    async def test_timed_out_write_may_have_been_applied(self):
        async with object_api.ObjectApi() as api:
            api.set_faults(slow_s=30)
            store = http.HttpStore(api.url, timeout_s=0.05)
            with pytest.raises(errors.StoreUnavailable) as caught:
                await store.put('a', b'1', expected_version=0)
            assert caught.value.maybe_applied
            await store.close()

    @pytest.mark.parametrize(
        'url', ['127.0.0.1:80', 'http://', 'http://a:b', 'http://a?b', '']
    )
    def test_malformed_url_is_rejected_at_creation(self, url):
        with pytest.raises(errors.SettingError):
            http.HttpStore(url)
