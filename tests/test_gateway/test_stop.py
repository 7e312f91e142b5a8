"""Tests of planned stops of complete hosts, in one process."""

import asyncio
import gc

import pytest

from ragwortchute.gateway import planned_stop
from ragwortchute.gateway.selection import crash_checks
from tests.test_gateway import rig as rigs
from tests.test_gateway import test_application


class TestStop:
    """A graceful stop must not abort requests."""

    async def test_request_after_close_of_listener_is_served(
        self, deployment, monkeypatch
    ):
        # The connection is accepted just before the host stops accepting, and
        # the request arrives afterwards. Found by the soak with seed 103.
        monkeypatch.setattr(planned_stop, 'DRAIN_ACCEPT_S', 0.1)
        await deployment.start('a1')
        (host,) = deployment.hosts
        await deployment.until(lambda: host.ready)
        ip, _, port = host.membership.me.caller_address.rpartition(':')
        leave_task = asyncio.create_task(host.leave())
        reader, writer = await asyncio.open_connection(ip, int(port))
        await deployment.until(lambda: host.callers._server is None)
        writer.write(
            b'GET /a/x HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: r1\r\n'
            b'X-Request-Deadline-Ms: 900\r\n\r\n'
        )
        resp = await rigs.read_response(reader)
        writer.close()
        assert resp.status == 200
        await leave_task

    async def test_running_request_is_served(self, deployment):
        await deployment.start('a1')
        (host,) = deployment.hosts
        await deployment.until(lambda: host.ready)
        for target in deployment.targets:
            target.work_s = 0.5
        request_task = asyncio.create_task(
            test_application.TestRelay().request(host)
        )
        await asyncio.sleep(0.1)
        leave_task = asyncio.create_task(host.leave())
        assert (await request_task).status == 200
        assert not host.ready
        await leave_task

    async def test_relayed_requests_are_served(self, deployment):
        # A host that had not heard of the stop relayed to the stopping host
        # until that reset its connections. It then answered 502, since the
        # request may have been executed.
        deployment.grace_s = 6.0
        await deployment.start('a1', 'a2', 'b1')
        await deployment.until(
            lambda: all(len(host.hosts()) == 3 for host in deployment.hosts)
        )
        await deployment.until(
            lambda: all(host.ready for host in deployment.hosts)
        )
        for target in deployment.targets:
            target.slots = 100
            target.work_s = 0.3
        stopping, _, relaying = deployment.hosts
        stopping._socket.send = lambda *args: None
        leave_task = asyncio.create_task(stopping.leave())
        tasks = []
        while not leave_task.done():
            tasks.append(
                asyncio.create_task(
                    test_application.TestRelay().request(relaying)
                )
            )
            await asyncio.sleep(0.02)
        await stopping.close()
        statuses = [(await task).status for task in tasks]
        assert len(statuses) > 100
        assert set(statuses) == {200}


class TestClose:
    """A request that outlives its host must not use what the host has closed.

    Its target ended after the host. The check that found the target down told
    other hosts over a closed socket, which raised AttributeError (issue 33).
    """

    async def test_target_that_ends_after_the_host(self, deployment):
        failures = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: failures.append(context)
        )
        await deployment.start('a1', 'a1')
        host = deployment.hosts[0]
        await deployment.until(lambda: host.ready and len(host.hosts()) == 2)
        for target in deployment.targets:
            target.work_s = 5.0
        request_task = asyncio.create_task(
            test_application.TestRelay().request(host, 'POST', '/b/x')
        )
        await deployment.until(
            lambda: any(target.runs for target in deployment.targets)
        )
        await host.close()
        for target in deployment.targets:
            await target.stop()
        await asyncio.gather(request_task, return_exceptions=True)
        await asyncio.sleep(5 * crash_checks.CHECK_DELAY_S)
        gc.collect()
        raised = [context.get('exception') for context in failures]
        assert not [exc for exc in raised if isinstance(exc, AttributeError)]
        assert 'crash-suspect' not in host.log.kinds()


class TestIncompleteRequests:
    """A caller that sends a body must learn that its request has not run.

    The host ended in the middle of the body, with no answer, when nothing else
    was pending (issue 33).
    """

    HEAD = (
        b'POST /a/x HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: r1\r\n'
        b'Content-Length: 4\r\n\r\n'
    )

    @pytest.fixture
    async def stopping(self, deployment, monkeypatch):
        monkeypatch.setattr(planned_stop, 'DRAIN_ACCEPT_S', 0.1)
        deployment.grace_s = 3.0
        await deployment.start('a1')
        (host,) = deployment.hosts
        await deployment.until(lambda: host.ready)
        ip, _, port = host.membership.me.caller_address.rpartition(':')
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))
        self.writer.write(self.HEAD + b'x')
        await asyncio.sleep(0.05)
        leave_task = asyncio.create_task(host.leave())
        yield leave_task
        self.writer.close()
        await leave_task

    async def test_body_that_is_complete_in_time_is_served(self, stopping):
        await asyncio.sleep(1.0)
        assert not stopping.done()
        self.writer.write(b'xxx')
        assert (await rigs.read_response(self.reader)).status == 200

    async def test_body_that_is_not_is_refused(self, deployment, stopping):
        resp = await rigs.read_response(self.reader)
        assert (resp.status, resp.headers['connection']) == (503, 'close')
        assert not stopping.done()
        self.writer.write(b'xxx')
        await asyncio.sleep(0.1)
        assert not any(target.runs for target in deployment.targets)
