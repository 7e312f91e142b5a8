"""Waiting of requests at this host until a target has room.

Load: requests with time left, such as uploads that may take ten times their
work, while all probed targets are busy. In the queue of one target they would
hold a place that more urgent requests need, and stay there if another target
becomes free first. Here they wait in order of urgency and of the time up to
which they may wait; one of them at a time probes.
"""

import asyncio

from ragwortchute import admission
from ragwortchute.admission import deadline_queue
from ragwortchute.gateway.selection import targets as targets_

# A caller that is refused after its wait has at least four fifths of its time
# left. This share of its time may be spent waiting.
MAX_WAIT_SHARE = 0.16
# Probes at the end of the wait take up to this long, which also is part of the
# fifth.
LAST_PROBES_S = 0.04
MAX_HELD_SHARE = 0.2
# Selections of a request that waits.
MAX_SELECTIONS = 6
MAX_WAITING = 256


def longest_wait_s(time_s: float) -> float:
    """Returns how long a request may wait.

    Args:
        time_s: Time from its arrival to its deadline, in seconds.
    """
    return max(
        0.0,
        min(time_s * MAX_WAIT_SHARE, time_s * MAX_HELD_SHARE - LAST_PROBES_S),
    )


class WaitingRequest(admission.Waiter, eq=False):
    """A request that waits; its deadline is the end of its wait.

    Attributes:
        ready: Done once it is the first one.
    """

    ready: asyncio.Future[None] | None = None


class WaitQueue:
    """Requests that wait for room on the targets of a service.

    Attributes:
        first: The request that probes, None if none waits.
        freed: Future that is done once a request has ended at a target.
    """

    __slots__ = ('_loop', '_queue', 'first', 'freed')

    def __init__(self) -> None:
        self._queue = deadline_queue.DeadlineQueue(MAX_WAITING)
        self._loop = asyncio.get_running_loop()
        self.first: WaitingRequest | None = None
        self.freed: asyncio.Future[targets_.Target] | None = None

    def __len__(self) -> int:
        return len(self._queue) + (self.first is not None)

    def is_behind(self, rank: int) -> bool:
        """Returns whether a request of a rank has others before it."""
        first = self.first
        return first is not None and first.priority <= rank

    def join(self, request: WaitingRequest) -> bool:
        """Adds a request; returns False if its turn would come too late."""
        if self.first is None:
            self.first = request
            request.ready = self._loop.create_future()
            request.ready.set_result(None)
            return True
        request.ready = self._loop.create_future()
        return not self._queue.offer(request, 0.0)

    def leave(self, request: WaitingRequest) -> None:
        """Removes a request, which is placed or refused."""
        if request is not self.first:
            self._queue.remove(request)
            return
        now_s = self._loop.time()
        self._queue.expire(now_s, 0.0)
        following = self._queue.take(now_s)
        self.first = following
        if following is not None and not following.ready.done():
            following.ready.set_result(None)

    def note_end(self, target: targets_.Target) -> None:
        """Notes that a target has one request of this host less."""
        if self.freed is not None and not self.freed.done():
            self.freed.set_result(target)

    async def wait_for_end(
        self, timeout_s: float, gone: asyncio.Future[None]
    ) -> targets_.Target | None:
        """Waits until a request of this host ends, or for a time.

        Args:
            timeout_s: Longest wait in seconds.
            gone: Done once the caller has left, which ends the wait.

        Returns:
            The target at which it ended, None if none has.
        """
        self.freed = self._loop.create_future()
        await asyncio.wait(
            (self.freed, gone),
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return self.freed.result() if self.freed.done() else None
