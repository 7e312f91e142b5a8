"""Fixtures of the tests of the limits for callers."""

import pytest

from tests.test_resources import crowds
from tests.test_resources import processes


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
