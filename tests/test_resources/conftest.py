"""Fixtures of the tests of the limits for callers."""

import pytest

from tests.test_resources import crowds
from tests.test_resources import processes
from tests.test_resources import servers


@pytest.fixture
async def site(tmp_path):
    site = processes.Site(tmp_path)
    yield site
    await site.stop()


@pytest.fixture
async def gather():
    started = []

    def run(host, port=0):
        crowd = crowds.Crowd(host, port)
        started.append(crowd)
        return crowd

    yield run
    for crowd in started:
        await crowd.close()


@pytest.fixture
async def serve():
    started = []

    async def run(**fields):
        server = servers.Server(**fields)
        started.append(server)
        await server.listener.start('127.0.0.1', 0)
        return server

    yield run
    for server in started:
        server.answer.set()
        await server.listener.stop()
