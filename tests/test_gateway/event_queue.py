"""Queue of the events of a simulation."""

import heapq
import itertools


class EventQueue:
    """Events of a simulation in the order of their times.

    Events of the same time come in the order in which they were added.

    Attributes:
        now_s: Time of the event that is handled.
    """

    def __init__(self):
        self.now_s = 0.0
        self._events = []
        self._order = itertools.count()

    @property
    def next_s(self):
        """Time of the next event, infinite if there is none."""
        return self._events[0][0] if self._events else float('inf')

    def at(self, time_s, call, *args):
        """Calls a function at a time."""
        heapq.heappush(self._events, (time_s, next(self._order), call, args))

    def after(self, delay_s, call, *args):
        """Calls a function after a delay."""
        self.at(self.now_s + delay_s, call, *args)

    def step(self):
        """Handles the next event."""
        self.now_s, _, call, args = heapq.heappop(self._events)
        call(*args)
