"""Tests of the control interface of the stand-in object API."""

import aiohttp

from ragwortchute import clock
from ragwortchute import stores
from ragwortchute.stores import http
from standins import object_api

HOST = stores.ListedHost(
    'm1', '127.0.0.1:1', 'http://127.0.0.1:2', 'luzon-makati', 'luzon'
)


class TestObjectApi:
    """A stand-in that fails to inject faults hides faults of the product."""

    async def test_host_list_lags(self):
        manual = clock.ManualClock()
        async with object_api.ObjectApi(host_lag_s=10, clock_=manual) as api:
            api.publish_host(HOST)
            await manual.advance(9)
            assert api.store.peek('hosts/m1') is None
            await manual.advance(2)
            assert api.store.peek('hosts/m1') is not None
            api.withdraw_host('m1')
            await manual.advance(9)
            assert api.store.peek('hosts/m1') is not None
            await manual.advance(2)
            assert api.store.peek('hosts/m1') is None

    async def test_faults_and_counters_over_http(self):
        async with (
            object_api.ObjectApi() as api,
            aiohttp.ClientSession(api.url) as session,
        ):
            await session.post('/faults', json={'stale_reads': True})
            assert api.store.faults.stale_reads
            resp = await session.post('/faults', json={'fast': True})
            assert resp.status == 400
            await session.get('/objects/x')
            resp = await session.get('/counters')
            assert (await resp.json())['get'] == 1

    async def test_restart_keeps_port_and_objects(self):
        api = object_api.ObjectApi()
        await api.start()
        store = http.HttpStore(api.url)
        put = await store.put('a', b'1', expected_version=0)
        await api.stop()
        await api.start()
        assert await store.get('a') == put
        await store.close()
        await api.stop()
