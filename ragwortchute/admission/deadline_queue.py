"""Queue by priority and deadline that is last in, first out under overload."""

import heapq
import itertools

from ragwortchute import admission

# The queue is overloaded once calls could not meet their deadlines for this
# long.
OVERLOAD_AFTER_S = 0.1
# Overload ends this long after the last call that could not meet its deadline.
OVERLOAD_END_S = 1.0
# Weight of a new sample in the moving average of the interval between takes.
_INTERVAL_WEIGHT = 0.1
_NO_DEADLINE_S = float('inf')


@admission.REGISTRY.register('deadline_queue')
class DeadlineQueue(admission.AdmissionPolicy):
    """Queue of calls, ordered by priority and then by deadline.

    The queue is overloaded once calls could not meet their deadlines for
    `OVERLOAD_AFTER_S`. From then on it serves the newest call of a priority
    first, because the old ones would be served too late. Overload ends when
    the queue is empty, or when all calls could meet their deadlines for
    `OVERLOAD_END_S`. A long queue alone is not overload: serving the newest
    call first would only make the oldest ones wait until the queue is empty.

    Args:
        limit: Maximum number of waiting calls.
    """

    def __init__(self, limit: int) -> None:
        self._max_waiting = limit
        self._next_number = itertools.count()
        self._waiters: dict[int, admission.Waiter] = {}
        self._by_deadline: list[tuple[int, float, int]] = []
        self._by_arrival: dict[int, list[int]] = {}
        self._by_expiry: list[tuple[float, int]] = []
        self._by_enqueue_time: list[tuple[float, int]] = []
        self._numbers_by_id: dict[int, int] = {}
        self._counts_by_priority: dict[int, int] = {}
        self._overloaded = False
        self._late_since_s = 0.0
        self._last_late_s = float('-inf')
        self._take_interval_s = 0.0
        self._last_take_s = -1.0

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def overloaded(self) -> bool:
        """Whether the newest call of a priority is served first."""
        return self._overloaded

    def offer(self, waiter: admission.Waiter, service_s: float) -> str:
        """Adds a call to the queue, or returns the reason of its refusal."""
        now_s = waiter.enqueued_s
        wait_s = self._expected_wait_s(waiter)
        if now_s + wait_s + service_s > waiter.deadline_s:
            self._note_late(now_s)
            return 'deadline'
        if len(self._waiters) >= self._max_waiting:
            return 'queue-full'
        if not self._waiters:
            self._last_take_s = now_s
        self._add(waiter)
        return ''

    def take(self, now_s: float) -> admission.Waiter | None:
        """Removes and returns the call to serve next."""
        if not self._waiters:
            return None
        self._end_overload(now_s)
        number = (
            self._newest() if self._overloaded else self._earliest_deadline()
        )
        waiter = self._waiters[number]
        self._remove_number(number, waiter)
        self._update_take_interval(now_s)
        return waiter

    def expire(self, now_s: float, service_s: float) -> list[admission.Waiter]:
        """Removes and returns the calls that can't meet their deadlines."""
        if not self._waiters:
            return []
        self._end_overload(now_s)
        expired = []
        by_expiry = self._by_expiry
        while by_expiry and by_expiry[0][0] < now_s + service_s:
            _, number = heapq.heappop(by_expiry)
            waiter = self._waiters.get(number)
            if waiter is not None:
                self._remove_number(number, waiter)
                expired.append(waiter)
        if expired:
            self._note_late(now_s)
        return expired

    def oldest_s(self) -> float:
        """Returns when the call that waits longest was enqueued, or inf."""
        if not self._waiters:
            return float('inf')
        by_enqueue_time = self._by_enqueue_time
        while by_enqueue_time[0][1] not in self._waiters:
            heapq.heappop(by_enqueue_time)
        return by_enqueue_time[0][0]

    def remove(self, waiter: admission.Waiter) -> None:
        """Removes a call, for example because it was cancelled."""
        number = self._numbers_by_id.get(id(waiter))
        if number is not None:
            self._remove_number(number, waiter)

    def _add(self, waiter: admission.Waiter) -> None:
        number = next(self._next_number)
        priority = waiter.priority
        self._waiters[number] = waiter
        self._numbers_by_id[id(waiter)] = number
        self._counts_by_priority[priority] = (
            self._counts_by_priority.get(priority, 0) + 1
        )
        heapq.heappush(self._by_deadline, (priority, waiter.deadline_s, number))
        heapq.heappush(self._by_expiry, (waiter.deadline_s, number))
        heapq.heappush(self._by_enqueue_time, (waiter.enqueued_s, number))
        self._by_arrival.setdefault(priority, []).append(number)

    def _remove_number(self, number: int, waiter: admission.Waiter) -> None:
        del self._waiters[number]
        del self._numbers_by_id[id(waiter)]
        self._counts_by_priority[waiter.priority] -= 1
        if not self._waiters:
            self._reset()
        elif max(
            len(self._by_expiry), len(self._by_enqueue_time)
        ) > 64 + 2 * len(self._waiters):
            self._compact()

    def _reset(self) -> None:
        self._by_deadline.clear()
        self._by_arrival.clear()
        self._by_expiry.clear()
        self._by_enqueue_time.clear()
        self._counts_by_priority.clear()
        self._overloaded = False

    def _compact(self) -> None:
        """Drops removed calls from the heaps and lists.

        `_remove_number` leaves them there.
        """
        waiters = self._waiters
        self._by_deadline = [i for i in self._by_deadline if i[2] in waiters]
        heapq.heapify(self._by_deadline)
        self._by_expiry = [
            item for item in self._by_expiry if item[1] in waiters
        ]
        heapq.heapify(self._by_expiry)
        self._by_enqueue_time = [
            item for item in self._by_enqueue_time if item[1] in waiters
        ]
        heapq.heapify(self._by_enqueue_time)
        for priority, numbers in self._by_arrival.items():
            self._by_arrival[priority] = [n for n in numbers if n in waiters]

    def _earliest_deadline(self) -> int:
        while self._by_deadline[0][2] not in self._waiters:
            heapq.heappop(self._by_deadline)
        return self._by_deadline[0][2]

    def _newest(self) -> int:
        priority = min(
            p for p, count in self._counts_by_priority.items() if count
        )
        numbers = self._by_arrival[priority]
        while numbers[-1] not in self._waiters:
            numbers.pop()
        return numbers[-1]

    def _note_late(self, now_s: float) -> None:
        """Records that a call cannot meet its deadline; may start overload."""
        if now_s - self._last_late_s > OVERLOAD_END_S:
            self._late_since_s = now_s
        self._last_late_s = now_s
        if self._waiters and now_s - self._late_since_s > OVERLOAD_AFTER_S:
            self._overloaded = True

    def _end_overload(self, now_s: float) -> None:
        if self._overloaded and now_s - self._last_late_s > OVERLOAD_END_S:
            self._overloaded = False

    def _update_take_interval(self, now_s: float) -> None:
        """Updates the average interval at which calls leave the queue."""
        interval_s = now_s - self._last_take_s
        self._last_take_s = now_s
        if self._take_interval_s == 0.0:
            self._take_interval_s = interval_s
        self._take_interval_s += _INTERVAL_WEIGHT * (
            interval_s - self._take_interval_s
        )

    def _expected_wait_s(self, waiter: admission.Waiter) -> float:
        """Returns the expected wait of a call, in seconds.

        It is the number of calls served before it times the average interval
        at which calls leave the queue.
        """
        ahead = 0
        for priority, count in self._counts_by_priority.items():
            if priority < waiter.priority:
                ahead += count
            elif priority == waiter.priority and not self._overloaded:
                ahead += self._count_ahead(waiter, count)
        return ahead * self._take_interval_s

    def _count_ahead(self, waiter: admission.Waiter, count: int) -> int:
        """Returns how many calls of its priority are served before a call.

        Args:
            waiter: The call.
            count: Number of waiting calls of its priority.
        """
        if waiter.deadline_s == _NO_DEADLINE_S:
            return count
        return sum(
            1
            for other in self._waiters.values()
            if other.priority == waiter.priority
            and other.deadline_s <= waiter.deadline_s
        )
