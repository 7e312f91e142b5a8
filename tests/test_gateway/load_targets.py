"""Simulated targets, and the connections of hosts to them."""

import asyncio
import collections

from ragwortchute.gateway.http import http_client

# A target is slow for this share of the time, by this factor.
SLOW_SHARE = 0.25
SLOW_FACTOR = 5.0
SPEED_PERIOD_S = 0.15
# Above this share of its slots a target works slower by this factor.
KNEE = 0.8
KNEE_FACTOR = 1.7


class _Job:
    """Work that a target has been sent."""

    __slots__ = ('fut', 'kind', 'left_s', 'request_id', 'work_s')

    def __init__(self, kind, request_id, work_s, fut):
        self.kind = kind
        self.request_id = request_id
        self.work_s = self.left_s = work_s
        self.fut = fut


class SimTarget:
    """Target with slots, a queue of twice that, a knee and changing speed."""

    def __init__(self, name, slots, rng, base_slowness=1.0):
        self.name = name
        self.slots = slots
        self.rng = rng
        self._base_slowness = base_slowness
        self.running = []
        self.waiting = collections.deque()
        self.shed = 0
        self.aborted = 0
        self.done_work_s = 0.0
        self._loop = asyncio.get_running_loop()
        self._updated_s = self._loop.time()
        self._timer = None
        self.slowness = base_slowness
        self._change_speed()

    @property
    def capacity(self):
        """Seconds of work per second at the best number of running jobs."""
        speed = 1 - SLOW_SHARE + SLOW_SHARE / SLOW_FACTOR
        speed /= self._base_slowness
        return speed * max(
            count / self._knee_factor(count)
            for count in range(1, self.slots + 1)
        )

    def load(self):
        """Returns the header that states the load."""
        text = (
            f'{len(self.running)},{len(self.waiting)},{self.slots},'
            f'{self.slowness * 100:.0f}'
        )
        return (b'x-server-load', text.encode())

    def submit(self, kind, request_id, work_s, fut):
        """Runs or queues a request; returns None if the target is full."""
        job = _Job(kind, request_id, work_s, fut)
        self._advance()
        if len(self.running) < self.slots:
            self.running.append(job)
        elif len(self.waiting) < 2 * self.slots:
            self.waiting.append(job)
        else:
            self.shed += 1
            return None
        self._schedule()
        return job

    def abort(self, job):
        """Ends a request whose host has closed its connection."""
        self._advance()
        if job in self.running:
            self.aborted += 1
            self.running.remove(job)
        elif job in self.waiting:
            self.waiting.remove(job)
        self._fill()

    def _knee_factor(self, count):
        return KNEE_FACTOR if count > KNEE * self.slots else 1.0

    def _rate(self):
        return 1 / (self.slowness * self._knee_factor(len(self.running)))

    def _change_speed(self):
        self._advance()
        self.slowness = self._base_slowness
        if self.rng.random() < SLOW_SHARE:
            self.slowness *= SLOW_FACTOR
        delay_s = self.rng.expovariate(1 / SPEED_PERIOD_S)
        self._loop.call_later(delay_s, self._change_speed)
        self._schedule()

    def _advance(self):
        now_s = self._loop.time()
        done_s = (now_s - self._updated_s) * self._rate()
        self._updated_s = now_s
        for job in self.running:
            job.left_s -= done_s

    def _schedule(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.running:
            left_s = max(0.0, min(job.left_s for job in self.running))
            self._timer = self._loop.call_later(
                left_s / self._rate() + 1e-9, self._finish
            )

    def _finish(self):
        self._advance()
        for job in [job for job in self.running if job.left_s <= 1e-6]:
            self.running.remove(job)
            self.done_work_s += job.work_s
            self._loop.call_soon(_answer, job, self)
        self._fill()

    def _fill(self):
        while self.waiting and len(self.running) < self.slots:
            self.running.append(self.waiting.popleft())
        self._schedule()


def _answer(job, target):
    job.fut(
        http_client.Reply(
            200,
            [
                (b'x-request-id', job.request_id),
                (b'x-server-stamp', b's'),
                target.load(),
            ],
        )
    )


class SimConnection:
    """Connection of a host to a target."""

    __slots__ = ('_delay_s', '_fut', '_job', '_loop', '_target', 'lost')

    def __init__(self, target, delay_s):
        self._target = target
        self._delay_s = delay_s
        self._loop = asyncio.get_running_loop()
        self._fut = None
        self._job = None
        self.lost = False

    @property
    def usable(self):
        return not self.lost and (self._fut is None or self._fut.done())

    def send(self, head, accept, body_parts=(), memory=None):
        """Sends a health request or a request."""
        self._fut = fut = self._loop.create_future()
        path = head.split(b' ', 2)[1]
        arrive = self._probe if path == b'/health' else self._submit
        self._loop.call_later(self._delay_s, arrive, path, fut)
        return fut

    def abort(self):
        """Closes the connection, which ends its request."""
        if not self.lost:
            self.lost = True
            if self._job is not None and not self._fut.done():
                self._loop.call_later(
                    self._delay_s, self._target.abort, self._job
                )

    def _probe(self, path, fut):
        reply = http_client.Reply(
            200,
            [
                (b'x-instance-id', self._target.name.encode()),
                self._target.load(),
            ],
        )
        self._reply(fut, reply)

    def _submit(self, path, fut):
        if self.lost:
            return
        _, kind, work, request_id = path.split(b'/')
        job = self._target.submit(
            kind,
            request_id,
            float(work),
            lambda reply: self._reply(fut, reply),
        )
        self._job = job
        if job is None:
            headers = [
                (b'x-request-id', request_id),
                (b'x-not-executed', b'1'),
                self._target.load(),
            ]
            self._reply(fut, http_client.Reply(503, headers))

    def _reply(self, fut, reply):
        self._loop.call_later(self._delay_s, self._deliver, fut, reply)

    def _deliver(self, fut, reply):
        self._job = None
        if not fut.done():
            fut.set_result(reply)


class SimPool:
    """Connections of a host to a target."""

    def __init__(self, target, delay_s):
        self._target = target
        self._delay_s = delay_s
        self._idle = []

    @property
    def has_idle(self):
        return bool(self._idle)

    async def acquire(self):
        """Returns a connection; a new one takes a round trip."""
        if self._idle:
            return self._idle.pop()
        await asyncio.sleep(2 * self._delay_s)
        return SimConnection(self._target, self._delay_s)

    def release(self, conn):
        """Keeps a connection that may carry another request."""
        if conn.usable:
            self._idle.append(conn)
        else:
            conn.abort()
