"""Callers, targets and hosts of the table of planned stops."""

import asyncio
import itertools
import socket
import struct

import msgspec

from ragwortchute.gateway import planned_stop
from standins import platform_store
from standins import platform_targets
from tests.test_gateway import host_deployment
from tests.test_platform import test_adapter

GRACE_S = 3.0
# Used instead of the constants of the application.
ACCEPT_S = 0.3
READ_S = 0.1
# When no target may be at work any more for callers that have left.
GONE_S = 0.58
# How long a stop may take once nothing is left to do.
SOON_S = 0.7
# Work of targets; it lasts until after the close of the listener.
WORK_S = 0.6
# Work that no planned stop waits for.
LONG_WORK_S = 3.5
DEADLINE_MS = 8000
IDEMPOTENT = 'r1'
ONCE = 'r2'
_PREFIXES = {IDEMPOTENT: '/a/', ONCE: '/b/'}
_NUMBERS = itertools.count(1)


class Request:
    """A request and its answer as a caller sees it."""

    __slots__ = (
        'body',
        'complete',
        'data',
        'ended_s',
        'headers',
        'request_id',
        'status',
    )

    def __init__(self, data, request_id):
        self.data = data
        self.request_id = request_id
        self.status = 0
        self.headers = {}
        self.body = b''
        self.complete = False
        self.ended_s = float('inf')


class Caller:
    """A connection of a caller.

    Attributes:
        requests: Requests in the order in which they were sent.
        end: How the connection ended: empty while it is open, `end` or `reset`
            by the host, `answer` by the caller as an answer asks for it, `left`
            by the caller for no such reason, `refused` if it was not accepted.
        ended_s: Loop time of the end.
    """

    def __init__(self, address):
        ip, _, port = address.rpartition(':')
        self.address = ip, int(port)
        self.loop = asyncio.get_running_loop()
        self.sock = socket.socket()
        self.requests = []
        self.end = ''
        self.ended_s = float('inf')
        self.buf = bytearray()
        self.reading = None

    async def connect(self, receive_bytes=0):
        if receive_bytes:
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        self.sock.setblocking(False)
        try:
            await self.loop.sock_connect(self.sock, self.address)
        except OSError:
            self._note_end('refused')

    def build(self, route, *, body=b'', deadline_ms=DEADLINE_MS, lines=()):
        """Returns a request; the caller counts it as sent."""
        request_id = f'c{next(_NUMBERS)}'
        head = [
            f'{"POST" if body or route == ONCE else "GET"}'
            f' {_PREFIXES[route]}{request_id} HTTP/1.1',
            'Host: x.example',
            f'X-Request-Id: {request_id}',
            f'X-Request-Deadline-Ms: {deadline_ms}',
            f'Content-Length: {len(body)}',
            *lines,
        ]
        data = '\r\n'.join([*head, '', '']).encode() + body
        self.requests.append(Request(data, request_id))
        return self.requests[-1]

    async def send(self, data):
        if self.end:
            return
        try:
            await self.loop.sock_sendall(self.sock, data)
        except OSError:
            # What has arrived before can still be read.
            self.start_reading()

    def start_reading(self, bytes_per_s=0.0):
        if self.reading is None and not self.end:
            self.reading = asyncio.create_task(self._read(bytes_per_s))

    def half_close(self):
        self.sock.shutdown(socket.SHUT_WR)

    def close(self, *, reset=False):
        self._stop_reading()
        if reset:
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        self._note_end('left')

    async def finish(self, timeout_s):
        """Reads what is left to read."""
        self.start_reading()
        if self.reading is not None:
            await asyncio.wait((self.reading,), timeout=timeout_s)
        self._stop_reading()
        self._note_end('open')

    def outcome(self, req, ran):
        """Returns what became of a request; `cut` is a lost one.

        Args:
            req: The request.
            ran: Whether a target has run it.
        """
        if not req.complete:
            if self.end == 'left':
                return 'gone'
            if ran or req.status or self.end == 'open':
                return 'cut'
            return 'reset' if self.end == 'reset' else 'unread'
        if req.status == 200:
            whole = (
                req.headers.get('x-request-id') == req.request_id
                and 'x-server-stamp' in req.headers
            )
            return 'whole' if whole else 'mixed'
        if req.status == 503:
            if ran:
                return 'refused-but-run'
            return 'refused' if 'retry-after' in req.headers else 'bare-503'
        return 'failed' if req.status in (502, 504) else f'{req.status}'

    def done_s(self):
        """Returns the loop time at which nothing was outstanding any more."""
        return max(
            (min(req.ended_s, self.ended_s) for req in self.requests), default=0
        )

    def _stop_reading(self):
        if self.reading is not None:
            self.reading.cancel()

    def _note_end(self, end):
        if not self.end:
            self.end = end
            self.ended_s = self.loop.time()
            self.sock.close()

    async def _read(self, bytes_per_s):
        due_s = self.loop.time()
        try:
            while data := await self.loop.sock_recv(self.sock, 1 << 14):
                self.buf += data
                if self._parse():
                    self._note_end('answer')
                    return
                if bytes_per_s:
                    due_s += len(data) / bytes_per_s
                    await asyncio.sleep(due_s - self.loop.time())
        except OSError:
            self._note_end('reset')
        self._note_end('end')

    def _parse(self):
        """Notes the answers so far; returns whether one asks for a close."""
        for req in self.requests:
            if req.complete:
                continue
            if not req.status:
                head, mark, rest = self.buf.partition(b'\r\n\r\n')
                if not mark:
                    return False
                first, *lines = head.decode('latin-1').split('\r\n')
                for line in lines:
                    name, _, value = line.partition(': ')
                    req.headers[name.lower()] = value
                req.status = int(first.split(' ')[1])
                self.buf = rest
            length = int(req.headers['content-length'])
            if len(self.buf) < length:
                return False
            req.body = bytes(self.buf[:length])
            del self.buf[:length]
            req.complete = True
            req.ended_s = self.loop.time()
            if req.headers.get('connection') == 'close':
                return True
        assert not self.buf, 'bytes without a request'
        return False


class Target(platform_targets.TargetServer):
    """A target that may answer in pieces and turn away late.

    Attributes:
        pieces: Number of pieces of an answer.
        piece_s: Time between pieces, in seconds.
        refuse_after_s: Time until it turns a request away, in seconds.
    """

    pieces = 1
    piece_s = 0.1
    refuse_after_s = 0.0

    def _refuse(self, writer, headers):
        asyncio.get_running_loop().call_later(
            self.refuse_after_s, super()._refuse, writer, headers
        )

    def _write(self, writer, status, headers, body, length=None):
        if self.pieces == 1 or not body:
            super()._write(writer, status, headers, body, length)
            return
        step = len(body) // self.pieces + 1
        super()._write(writer, status, headers, body[:step], len(body))
        loop = asyncio.get_running_loop()
        for number in range(1, self.pieces):
            piece = body[number * step : (number + 1) * step]
            loop.call_later(number * self.piece_s, writer.write, piece)


class Scene(host_deployment.Deployment):
    """Hosts, targets and callers when a planned stop begins.

    Args:
        number: Number of the scene, which determines its addresses.
        route: Route of the requests.

    Attributes:
        host: The host that is stopped.
        entry: The host that callers use.
        conn: Connection whose state is described.
        callers: All connections.
        request: The request whose state is described, None without one.
        rest: What the caller has not sent of the request.
        answer_bytes: Length of an answer that is not read yet.
        other_work_s: Work of a target that gets the request after another.
        at_stop: Called when the stop has begun.
        finished: Requests that ended before.
    """

    def __init__(self, number, route):
        super().__init__()
        self.addresses = number % 60 * 4
        self.grace_s = GRACE_S
        self.route = route
        self.host = self.entry = None
        self.conn = self.request = None
        self.callers = []
        self.rest = b''
        self.answer_bytes = 0
        self.other_work_s = WORK_S
        self.at_stop = lambda: None
        self.finished = []

    async def begin(self, domains=('a1',), targets=2):
        """Starts everything and waits until the hosts are ready."""
        self.server = platform_store.ObjectServer()
        await self.server.start()
        cfg = {**test_adapter.CONFIG, 'limits': {'idle_timeout_s': 15}}
        cfg['routes'] = [
            {
                **route,
                'timeout_s': DEADLINE_MS / 1000,
                'target_latency_s': 2.0,
                # Less urgent requests would wait at the host, not in the queue
                # of a target (queued_at_target).
                'priority': 0,
                'attempts': 2,
                'allowed_regions': ['a'],
            }
            for route in cfg['routes']
        ]
        await self.server.put('config', 'main', cfg)
        for number in range(targets):
            target = Target(f't{number}', 's', slots=8)
            target.work_s = WORK_S
            await self.add_target(target)
        await self.add_hosts(domains)
        await self.until(
            lambda: all(
                host.ready and len(host.hosts()) == len(domains)
                for host in self.hosts
            )
        )
        self.host = self.entry = self.hosts[0]
        for host in self.hosts:
            # Hosts that have just started may retry hardly anything.
            host.dispatcher.retries._slack = 1e5
        self.expect_work(WORK_S)

    def expect_work(self, work_s):
        """Lets all hosts expect some work, as if by earlier requests."""
        for host in self.hosts:
            times = host.dispatcher.work_times
            times._routes.clear()
            period = host.dispatcher._grace_period
            for route in host.state.cfg.routes:
                times.record(route, work_s)
                period._durations_s.pop(route.name, None)
                period.note_duration(route, work_s)

    async def connect(self, receive_bytes=0):
        caller = Caller(self.entry.membership.me.caller_address)
        self.callers.append(caller)
        await caller.connect(receive_bytes)
        return caller

    def set_targets(self, **fields):
        for target in self.targets:
            for name, value in fields.items():
                setattr(target, name, value)

    def later(self, delay_s, function, *args):
        """Runs a coroutine function after a delay."""

        async def run():
            await asyncio.sleep(delay_s)
            await function(*args)

        self.tasks.append(asyncio.create_task(run()))

    def ran(self, req):
        """Returns how often targets have run a request."""
        return sum(
            run.request_id == req.request_id
            for target in self.targets
            for run in target.runs
        )

    async def watch_vain_work(self):
        """Returns whether a target works on for a caller that has left."""
        await asyncio.sleep(GONE_S)
        gone = {
            req.request_id
            for caller in self.callers
            if caller.end == 'left'
            for req in caller.requests
        }
        return any(
            run.request_id in gone and not run.ended
            for target in self.targets
            for run in target.runs
        )

    async def stop_host(self, act):
        """Stops the host as its process does.

        Args:
            act: Coroutine function of what the caller does meanwhile.

        Returns:
            Loop times of the signal and of the end.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        leaving = asyncio.create_task(self.host.leave())
        self.at_stop()
        acting = asyncio.create_task(act(self))
        await leaving
        await self.host.close()
        ended_s = loop.time()
        await acting
        self.hosts.remove(self.host)
        return began_s, ended_s

    async def end(self):
        """Ends callers and targets."""
        await asyncio.gather(*(conn.finish(3.0) for conn in self.callers))
        for task in self.tasks:
            task.cancel()
        await self.stop()


class Lateness:
    """Measures by how much the process is late.

    Attributes:
        late_s: Greatest delay of a timer in seconds.
    """

    INTERVAL_S = 0.05

    def __enter__(self):
        self.late_s = 0.0
        self._task = asyncio.create_task(self._run())
        return self

    def __exit__(self, *exc_info):
        self._task.cancel()

    async def _run(self):
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            await asyncio.sleep(self.INTERVAL_S)
            late_s = loop.time() - began_s - self.INTERVAL_S
            self.late_s = max(self.late_s, late_s)


class Observation(msgspec.Struct):
    """What was seen in a scene.

    Attributes:
        outcome: What became of the request whose state was described; empty if
            there was none.
        others: What became of the requests that were sent in the stop.
        took_s: Time from the signal until the host had ended.
        done_s: Time from the signal until its callers were done.
        runs: Number of runs of each request.
        in_vain: Whether a target worked for a caller half a second after that
            had left.
        late_s: Greatest delay of this process.
        cuts: Lines of the host about connections that were cut.
    """

    outcome: str
    others: list[str]
    took_s: float
    done_s: float
    runs: list[int]
    in_vain: bool
    late_s: float
    cuts: list[dict]


def shorten_stop(monkeypatch):
    """Shortens the phases of a stop."""
    monkeypatch.setattr(planned_stop, 'DRAIN_ACCEPT_S', ACCEPT_S)
    monkeypatch.setattr(planned_stop, 'DRAIN_READ_S', READ_S)
