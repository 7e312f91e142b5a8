"""Entry hosts with recorders on a fake network, for tests."""

import asyncio

from returns import result

from ragwortchute import calls
from ragwortchute import clock as clock_lib
from ragwortchute import errors
from ragwortchute import wire
from ragwortchute.records import recorder
from ragwortchute.records import tokens
from tests import fakes

KEY = 'deployment-key-for-tests'


class Membership(fakes.FakeMembership):
    """The hosts of a cluster, each with an incarnation and a region."""

    def __init__(self, cluster, host, incarnation):
        super().__init__(host, ())
        self.cluster = cluster
        self.incarnation = incarnation

    @property
    def me(self):
        return self.cluster.member(self.host, self.incarnation)

    def live_members(self):
        return [host.member for host in self.cluster.hosts.values()]


class Transport(fakes.FakeTransport):
    """A fake transport whose requests time out and whose host can be paused.

    A message waits while its sender or its receiver is paused.
    """

    cluster = None

    async def request(self, host, message, *, timeout_s, bulk=False):
        pending = asyncio.ensure_future(
            super().request(host, message, timeout_s=timeout_s, bulk=bulk)
        )
        pending.add_done_callback(lambda f: f.cancelled() or f.exception())
        timer = asyncio.ensure_future(self.cluster.clock.sleep(timeout_s))
        try:
            await asyncio.wait(
                {pending, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()
        if pending.done():
            return pending.result()
        raise errors.PeerTimeout('no answer', step='request', peer=host)

    async def _deliver(self, host, message):
        await self.cluster.wait_until_resumed(self.host)
        await self.cluster.wait_until_resumed(host)
        is_later_part = getattr(message, 'part', 0) > 0
        if is_later_part and host in self.cluster.truncated_handovers:
            raise errors.PeerUnreachable('cut', step='send', peer=host)
        return await super()._deliver(host, message)


class Host:
    """One process of an entry host, with its transport and recorder."""

    def __init__(self, cluster, name, incarnation, record_bytes):
        self.cluster = cluster
        self.member = cluster.member(name, incarnation)
        self.transport = Transport(cluster.network, name)
        self.transport.cluster = cluster
        cluster.network.transports[name] = self.transport
        self.recorder = recorder.OriginRecorder(
            clock=cluster.clock,
            transport=self.transport,
            membership=Membership(cluster, name, incarnation),
            tokens=cluster.mint,
            record_bytes=record_bytes,
            addresses=lambda call: calls.AddressAnswer((), 5000),
        )
        self.recorder.start(self.run)

    async def run(self, call):
        """Dispatches a call as the test has set up, unless it is too late."""
        await self.cluster.wait_until_resumed(self.member.host)
        if self.cluster.clock.monotonic() >= call.deadline_s:
            return refused(calls.Outcome.NOT_RUN)
        return await self.cluster.dispatch(self, call)


class Cluster:
    """Hosts a, b and c in region luzon and host v in region visayas.

    Attributes:
        hosts: The latest process of each host that was not killed, by name.
        paused: Event that is set on resumption, by name of the paused host.
        ran: Key and host of each dispatch, in order.
        gate: Dispatches wait until it is set.
        truncated_handovers: Hosts that get only the first part of a record.
        outcome: Returned by dispatches instead of an answer, unless None.
        padding_bytes: Zero bytes that are appended to the body of an answer.
    """

    def __init__(self, hosts='abcv', record_bytes=1 << 20):
        self.clock = clock_lib.ManualClock()
        self.network = fakes.FakeNetwork()
        self.mint = tokens.TokenMint(KEY, self.clock, 120.0)
        self.record_bytes = record_bytes
        self.paused = {}
        self.truncated_handovers = set()
        self.ran = []
        self.gate = asyncio.Event()
        self.gate.set()
        self.outcome = None
        self.padding_bytes = 0
        self.incarnations = 0
        self.hosts = {}
        for name in hosts:
            self.start(name)

    def member(self, name, incarnation):
        region = 'visayas' if name == 'v' else 'luzon'
        return wire.Member(name, incarnation, '', '', region + '-1', region)

    def start(self, name):
        """Starts a process, which replaces an older one of the same name."""
        self.incarnations += 1
        self.network.down.discard(name)
        host = Host(self, name, self.incarnations, self.record_bytes)
        self.hosts[name] = host
        return host

    async def kill(self, name):
        """Ends a process abruptly."""
        self.network.down.add(name)
        host = self.hosts.pop(name)
        await host.recorder.close()

    def pause(self, name):
        """Suspends a process: it neither sends, receives nor dispatches."""
        self.paused[name] = asyncio.Event()

    def resume(self, name):
        """Resumes a paused process."""
        self.paused.pop(name).set()

    async def wait_until_resumed(self, name):
        """Returns once a process is not paused."""
        while name in self.paused:
            await self.paused[name].wait()

    def token(self, name):
        """Returns a new origin token of the present process of a host."""
        return self.mint.mint(self.hosts[name].member)

    async def dispatch(self, host, call):
        """Logs the dispatch, waits for the gate and returns the outcome."""
        self.ran.append((call.key, host.member.host))
        await self.gate.wait()
        if self.outcome is not None:
            return self.outcome
        body = b'answer to ' + call.body + bytes(self.padding_bytes)
        return result.Success(calls.Answer(200, [('x', 'y')], body))

    async def send(self, name, call):
        """Sends a call to a host as its caller.

        Raises:
            ConnectionResetError: The process ended before it answered.
        """
        await self.wait_until_resumed(name)
        host = self.hosts.get(name)
        if host is None:
            raise ConnectionResetError(name)
        outcome = await host.recorder.execute(call, host.run)
        await self.wait_until_resumed(name)
        if self.hosts.get(name) is not host:
            raise ConnectionResetError(name)
        return outcome

    def spawn(self, name, call):
        """Sends a call in a task of its own, which is returned."""
        return asyncio.ensure_future(self.send(name, call))

    def call(self, token, key='k1', *, first=True, body=b'one', **kwargs):
        """Returns a non-idempotent call, due in 2 s unless given otherwise."""
        kwargs.setdefault('deadline_s', self.clock.monotonic() + 2.0)
        return calls.Call(
            call_id='c', service='billing', method='POST', path='/pay',
            headers=[], body=body, tenant='t', idempotent=False, key=key,
            origin_token=token, first_send=first, **kwargs,
        )  # fmt: skip


def refused(outcome, reason='test'):
    """Returns a refusal by the dispatcher."""
    return result.Failure(calls.Refusal(outcome, reason, 'dispatch', 503))


def shown(outcome):
    """Returns the body of an answer, or outcome and reason of a refusal."""
    if isinstance(outcome, result.Success):
        return outcome.unwrap().body.rstrip(b'\0').decode()
    refusal = outcome.failure()
    return f'{refusal.outcome} {refusal.reason}'
