"""Fixtures of the tests of the gateway."""

import pytest

from ragwortchute.gateway import model
from tests.test_gateway import host_deployment
from tests.test_gateway import rig as rigs
from tests.test_gateway import servers


@pytest.fixture
async def serve():
    started = []

    async def run(**limits):
        server = servers.Server(model.Limits(**limits))
        started.append(server)
        await server.listener.start('127.0.0.1', 0)
        return server

    yield run
    for server in started:
        await server.listener.stop()


@pytest.fixture
async def start():
    started = []

    async def run(*targets, routes=(), limits=None):
        rig = rigs.Rig(*targets, limits=limits)
        started.append(rig)
        await rig.start(*routes)
        return rig

    yield run
    for rig in started:
        await rig.stop()


@pytest.fixture
async def deployment():
    deployment = host_deployment.Deployment()
    yield deployment
    await deployment.stop()
