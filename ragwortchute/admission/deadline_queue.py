"""Queue by priority and deadline that serves the newest under overload."""

import heapq
import itertools

from ragwortchute import admission

# The newest call is served first once calls have been too late for this long.
OVERLOAD_S = 0.1
# Overload ends this long after the last call that was too late.
CALM_S = 1.0
# Weight of the newest interval between two calls that left the queue.
_INTERVAL_WEIGHT = 0.1
_NO_DEADLINE_S = float('inf')


@admission.REGISTRY.register('deadline_queue')
class DeadlineQueue(admission.AdmissionPolicy):
    """Orders calls by priority, then deadline.

    The queue is overloaded while calls cannot meet their deadlines. After
    `OVERLOAD_S` of that, and until it is empty or calm, the newest call of a
    priority is served first, because the old ones would be served in vain. A
    long queue alone is no overload: serving the newest first would only make
    the oldest wait until the queue is empty.

    Args:
        limit: Largest number of waiting calls.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._order = itertools.count()
        self._live: dict[int, admission.Waiter] = {}
        self._by_deadline: list[tuple[int, float, int]] = []
        self._by_age: dict[int, list[int]] = {}
        self._expiry: list[tuple[float, int]] = []
        self._by_wait: list[tuple[float, int]] = []
        self._numbers: dict[int, int] = {}
        self._counts: dict[int, int] = {}
        self._overloaded = False
        self._late_since_s = 0.0
        self._last_late_s = float('-inf')
        self._interval_s = 0.0
        self._last_take_s = -1.0

    def __len__(self) -> int:
        return len(self._live)

    @property
    def overloaded(self) -> bool:
        """Whether the newest call of a priority is served first."""
        return self._overloaded

    def offer(self, waiter: admission.Waiter, service_s: float) -> str:
        """Adds a call, or returns the reason of its refusal."""
        now_s = waiter.enqueued_s
        wait_s = self._wait_s(waiter)
        if now_s + wait_s + service_s > waiter.deadline_s:
            self._note_late(now_s)
            return 'deadline'
        if len(self._live) >= self._limit:
            return 'queue-full'
        if not self._live:
            self._last_take_s = now_s
        self._add(waiter)
        return ''

    def take(self, now_s: float) -> admission.Waiter | None:
        """Removes and returns the call to serve next."""
        if not self._live:
            return None
        self._end_overload(now_s)
        number = self._newest() if self._overloaded else self._earliest()
        waiter = self._live[number]
        self._drop(number, waiter)
        self._note_interval(now_s)
        return waiter

    def expire(self, now_s: float, service_s: float) -> list[admission.Waiter]:
        """Removes and returns the calls that can't meet their deadline."""
        if not self._live:
            return []
        self._end_overload(now_s)
        expired = []
        expiry = self._expiry
        while expiry and expiry[0][0] < now_s + service_s:
            _, number = heapq.heappop(expiry)
            waiter = self._live.get(number)
            if waiter is not None:
                self._drop(number, waiter)
                expired.append(waiter)
        if expired:
            self._note_late(now_s)
        return expired

    def oldest_s(self) -> float:
        """Returns when the call that waits longest began; inf if none."""
        if not self._live:
            return float('inf')
        by_wait = self._by_wait
        while by_wait[0][1] not in self._live:
            heapq.heappop(by_wait)
        return by_wait[0][0]

    def remove(self, waiter: admission.Waiter) -> None:
        """Removes a call that no longer waits."""
        number = self._numbers.get(id(waiter))
        if number is not None:
            self._drop(number, waiter)

    def _add(self, waiter: admission.Waiter) -> None:
        number = next(self._order)
        priority = waiter.priority
        self._live[number] = waiter
        self._numbers[id(waiter)] = number
        self._counts[priority] = self._counts.get(priority, 0) + 1
        heapq.heappush(self._by_deadline, (priority, waiter.deadline_s, number))
        heapq.heappush(self._expiry, (waiter.deadline_s, number))
        heapq.heappush(self._by_wait, (waiter.enqueued_s, number))
        self._by_age.setdefault(priority, []).append(number)

    def _drop(self, number: int, waiter: admission.Waiter) -> None:
        del self._live[number]
        del self._numbers[id(waiter)]
        self._counts[waiter.priority] -= 1
        if not self._live:
            self._reset()
        elif max(len(self._expiry), len(self._by_wait)) > 64 + 2 * len(
            self._live
        ):
            self._compact()

    def _reset(self) -> None:
        self._by_deadline.clear()
        self._by_age.clear()
        self._expiry.clear()
        self._by_wait.clear()
        self._counts.clear()
        self._overloaded = False

    def _compact(self) -> None:
        """Drops removed calls from the orders, which keep them until then."""
        live = self._live
        self._by_deadline = [i for i in self._by_deadline if i[2] in live]
        heapq.heapify(self._by_deadline)
        self._expiry = [item for item in self._expiry if item[1] in live]
        heapq.heapify(self._expiry)
        self._by_wait = [item for item in self._by_wait if item[1] in live]
        heapq.heapify(self._by_wait)
        for priority, numbers in self._by_age.items():
            self._by_age[priority] = [n for n in numbers if n in live]

    def _earliest(self) -> int:
        while self._by_deadline[0][2] not in self._live:
            heapq.heappop(self._by_deadline)
        return self._by_deadline[0][2]

    def _newest(self) -> int:
        priority = min(p for p, count in self._counts.items() if count)
        numbers = self._by_age[priority]
        while numbers[-1] not in self._live:
            numbers.pop()
        return numbers[-1]

    def _note_late(self, now_s: float) -> None:
        """Notes that a call cannot meet its deadline."""
        if now_s - self._last_late_s > CALM_S:
            self._late_since_s = now_s
        self._last_late_s = now_s
        if self._live and now_s - self._late_since_s > OVERLOAD_S:
            self._overloaded = True

    def _end_overload(self, now_s: float) -> None:
        if self._overloaded and now_s - self._last_late_s > CALM_S:
            self._overloaded = False

    def _note_interval(self, now_s: float) -> None:
        """Measures the service rate between takes of a busy queue."""
        interval_s = now_s - self._last_take_s
        self._last_take_s = now_s
        if self._interval_s == 0.0:
            self._interval_s = interval_s
        self._interval_s += _INTERVAL_WEIGHT * (interval_s - self._interval_s)

    def _wait_s(self, waiter: admission.Waiter) -> float:
        """Returns the wait that the measured rate lets a call expect."""
        ahead = 0
        for priority, count in self._counts.items():
            if priority < waiter.priority:
                ahead += count
            elif priority == waiter.priority and not self._overloaded:
                ahead += self._ahead(waiter, count)
        return ahead * self._interval_s

    def _ahead(self, waiter: admission.Waiter, count: int) -> int:
        """Returns the calls of its priority that are served before it."""
        if waiter.deadline_s == _NO_DEADLINE_S:
            return count
        return sum(
            1
            for other in self._live.values()
            if other.priority == waiter.priority
            and other.deadline_s <= waiter.deadline_s
        )
