"""Organisations in host processes, with what these print and publish."""

import asyncio
import os
import signal
import sys

import aiohttp
import pytest

from ragwortchute.platform import daemon
from standins import deployment
from standins import platform_store
from standins import platform_targets
from tests.test_gateway import organisation_scenes as scenes
from tests.test_gateway import rig as rigs
from tests.test_gateway import test_identity_headers as forms

# Region of each host; all routes are bound to the first.
REGIONS = ('a', 'b')
START_TIMEOUT_S = 20.0
CHECK_S = 0.25
CONFIG_S = 3.0
# 200 requests a second with each key, by four connections to each host.
CONNECTIONS = 4
PIPELINED = 5
PAUSE_S = 0.2
OLD_KEY, NEW_KEY = b'key-of-acme-old', b'key-of-acme-new'


class Process:
    """A host process on an address of its own."""

    def __init__(self, folder, region, store_port):
        pid = os.getpid()
        self.ip = f'127.4.{pid % 250}.{REGIONS.index(region) + 1}'
        self.address = (self.ip, deployment.free_port(self.ip))
        self.log = folder / f'{region}.log'
        self.config = folder / f'{region}.conf'
        ports = [deployment.free_port(self.ip) for _ in range(3)]
        self.config.write_text(
            f'node=host-{region}\nip={self.ip}\nzone={region}-1\n'
            'zones.a-1=a\nzones.b-1=b\ncontracts=tenants\n'
            f'listen.front={self.ip}:{self.address[1]}\n'
            f'listen.readiness={self.ip}:{ports[0]}\n'
            f'listen.directory={self.ip}:{ports[1]}\n'
            f'port_range={ports[2]},{ports[2]}\n'
            f'bounds=config_s={CONFIG_S}\n'
            f'provider.address=127.0.0.1:{store_port}\n'
        )
        self.process = None

    async def start(self):
        env = {**os.environ, 'RAGWORTCHUTE_NODE_FILE': str(self.config)}
        with self.log.open('wb') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'ragwortchute.platform',
                env=env,
                stdout=log,
                stderr=log,
            )

    async def stop(self):
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


class System:
    """Two host processes, the store and two targets."""

    def __init__(self, folder):
        self.store = platform_store.ObjectServer()
        self.targets = [
            platform_targets.TargetServer(
                f't{number}', 's', 'a-1', slots=64, queue=64
            )
            for number in range(2)
        ]
        self.folder = folder
        self.hosts = []

    async def start(self):
        await self.store.start()
        await self.put(scenes.TENANTS)
        for target in self.targets:
            await target.start()
            await self.store.put('servers', target.name, target.entry)
        for region in REGIONS:
            host = Process(self.folder, region, self.store.port)
            await host.start()
            self.hosts.append(host)
        for host in self.hosts:
            await self.wait_served(host)
        self.heads()

    async def wait_served(self, host):
        """Waits until a host serves requests, by a relay if need be."""
        event = (
            b'"event":"send"' if host is self.hosts[0] else b'"event":"relay"'
        )
        for _ in range(round(START_TIMEOUT_S / CHECK_S)):
            try:
                resp = await scenes.send(host.address, [forms.CREDENTIAL])
                if resp.status == 200 and event in host.log.read_bytes():
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(CHECK_S)
        raise TimeoutError(f'{host.config.name} does not serve')

    async def put(self, tenants):
        await self.store.put(
            'config', 'main', {**scenes.CONFIG, 'tenants': tenants}
        )

    def heads(self):
        received = [run.head for item in self.targets for run in item.runs]
        for item in self.targets:
            item.runs.clear()
        return received

    async def stop(self):
        for host in self.hosts:
            await host.stop()
        for target in self.targets:
            await target.stop()
        await self.store.stop()


@pytest.fixture
async def system(tmp_path):
    system = System(tmp_path)
    try:
        await system.start()
        yield system
    finally:
        await system.stop()


async def call_until(address, key, done, answers):
    """Keeps requests outstanding on one connection; collects the answers.

    Each answer is the time at which its request was sent, and the status.
    """
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection(*address)
    request = (
        b'GET /a/x HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: r\r\n'
        b'X-Credential: ' + key + b'\r\n\r\n'
    )
    while not done.is_set():
        sent_s = loop.time()
        writer.write(request * PIPELINED)
        for _ in range(PIPELINED):
            resp = await rigs.read_response(reader)
            answers.append((sent_s, resp.status))
        await asyncio.sleep(PAUSE_S)
    writer.close()


class TestProcesses:
    """What holds in one process must hold between processes, too."""

    async def test_forms_and_what_is_published(self, system):
        for host in system.hosts:
            for name, lines, trailers, status in forms.FORMS:
                resp = await scenes.send(host.address, lines, trailers=trailers)
                assert resp.status == status, name
                received = system.heads()
                assert len(received) == (status == 200), name
                for head in received:
                    assert scenes.named(head) == ['acme'], name
        await asyncio.sleep(0.5)  # until the logs have been written
        async with aiohttp.ClientSession() as session:
            for host in system.hosts:
                url = f'http://{host.ip}:{daemon.METRICS_PORT}/metrics'
                async with session.get(url) as resp:
                    text = await resp.text()
                assert 'organisation="acme"' in text
                log = host.log.read_text()
                assert '"organisation":"acme"' in log
                assert not scenes.KEYS.search(text + log)

    async def test_keys_change_under_load(self, system):
        loop = asyncio.get_running_loop()
        done = asyncio.Event()
        old, new = [], []
        calls = [
            asyncio.create_task(call_until(host.address, key, done, answers))
            for host in system.hosts
            for key, answers in ((OLD_KEY, old), (NEW_KEY, new))
            for _ in range(CONNECTIONS)
        ]
        await asyncio.sleep(2.0)
        keys = [scenes.KEY, NEW_KEY.decode()]
        await system.put([{'name': 'acme', 'api_keys': keys}])
        changed_s = loop.time()
        await asyncio.sleep(CONFIG_S + 1.5)
        done.set()
        await asyncio.gather(*calls)
        in_force_s = changed_s + CONFIG_S
        # A host that can't confirm its configuration refuses with 503.
        refused = {status for at, status in old if at > in_force_s}
        assert 401 in refused
        assert refused <= {401, 503}
        assert {status for at, status in new if at > in_force_s} == {200}
        assert 200 in {status for at, status in old if at < changed_s}
        assert 401 in {status for at, status in new if at < changed_s}
