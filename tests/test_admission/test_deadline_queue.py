"""Tests of the queue of waiting calls."""

from ragwortchute import admission
from ragwortchute.admission import deadline_queue

SERVICE_S = 0.02


def waiter(now_s, deadline_s, priority=1, payload=None):
    return admission.Waiter(priority, deadline_s, now_s, payload)


class TestDeadlineQueue:
    """Order, refusals, overload and memory of the queue."""

    def test_serves_priority_then_deadline(self):
        """Guards against urgent calls that are served after others."""
        queue = deadline_queue.DeadlineQueue(9)
        for deadline_s, priority in ((3, 1), (2, 1), (9, 0)):
            assert queue.offer(waiter(0, deadline_s, priority), 0) == ''
        order = [queue.take(0.01).deadline_s for _ in range(3)]
        assert order == [9, 2, 3]
        assert queue.take(0.01) is None

    def test_oldest_wait(self):
        """Guards against reporting the wait of a call that left the queue."""
        queue = deadline_queue.DeadlineQueue(999)
        assert queue.oldest_s() == float('inf')
        waiters = [waiter(i / 1000, 9 - i / 1000) for i in range(300)]
        for item in waiters:
            assert queue.offer(item, 0) == ''
        assert queue.oldest_s() == 0
        for item in waiters[:250]:
            queue.remove(item)
        assert queue.oldest_s() == waiters[250].enqueued_s
        # A call that is offered again keeps its time of arrival.
        assert queue.offer(waiters[100], 0) == ''
        assert queue.oldest_s() == waiters[100].enqueued_s
        while queue.take(1.0):
            pass
        assert queue.oldest_s() == float('inf')

    def test_refuses_what_cannot_be_served(self):
        """Guards against calls that wait although they cannot be served."""
        queue = deadline_queue.DeadlineQueue(9)
        assert queue.offer(waiter(0, 0.01), SERVICE_S) == 'deadline'
        for i in range(9):
            assert queue.offer(waiter(0, 5.0, payload=i), SERVICE_S) == ''
        assert queue.offer(waiter(0, 5.0), SERVICE_S) == 'queue-full'
        for i in range(5):
            queue.take(0.1 * (i + 1))
        # Four calls wait already, and one leaves the queue every 100 ms.
        assert queue.offer(waiter(0.5, 0.8), SERVICE_S) == ''
        assert queue.offer(waiter(0.5, 5.0), SERVICE_S) == ''
        assert queue.offer(waiter(0.5, 0.8), SERVICE_S) == ''
        late = waiter(0.5, 0.55)
        assert queue.offer(late, SERVICE_S) == ''
        assert queue.expire(0.6, SERVICE_S) == [late]

    def test_newest_first_under_overload(self):
        """Guards against serving only calls that will miss their deadlines."""
        queue = deadline_queue.DeadlineQueue(99)
        now_s = 0.0
        for step in range(60):
            now_s = step * 0.01
            for _ in range(4):
                queue.offer(waiter(now_s, now_s + 0.2), SERVICE_S)
            queue.expire(now_s, SERVICE_S)
            taken = queue.take(now_s)
        assert queue.overloaded
        assert taken.enqueued_s == now_s
        urgent = waiter(now_s, now_s + 0.2, priority=0)
        queue.offer(urgent, SERVICE_S)
        queue.offer(waiter(now_s, now_s + 0.2), SERVICE_S)
        assert queue.take(now_s) is urgent

    def test_long_queue_alone_is_no_overload(self):
        """Guards against old calls that wait until a long queue is empty."""
        queue = deadline_queue.DeadlineQueue(99)
        first = waiter(0.0, 9.0)
        queue.offer(first, SERVICE_S)
        for i in range(9):
            queue.offer(waiter(0.1 * i, 9.0 + i), SERVICE_S)
        assert queue.take(1.0) is first
        assert not queue.overloaded

    def test_removed_calls_leave_nothing_behind(self):
        """Guards against memory leaks through cancelled calls."""
        queue = deadline_queue.DeadlineQueue(999)
        kept = waiter(0.0, 1e6)
        queue.offer(kept, 0.0)
        for i in range(1000):
            gone = waiter(0.0, 100.0 + i)
            assert queue.offer(gone, 0.0) == ''
            queue.remove(gone)
        assert len(queue) == 1
        assert len(queue._by_expiry) < 100
        assert queue.take(0.0) is kept
