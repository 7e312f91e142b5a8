"""Budget of repeats to a service, kept by each host for itself.

Load: targets that shed or fail, where every caller's request would otherwise
be sent several times. The bound holds over all hosts: a ratio of the requests
plus a fixed number. Each host keeps to the ratio of its own requests plus an
even part of the fixed number.
"""

import collections

# Part of the bound that is used; windows of other hosts do not line up.
USED_FRACTION = 0.8


class RetryBudget:
    """Repeats within a sliding window.

    Args:
        ratio: Repeats allowed per request.
        slack: Repeats allowed in a window without any request, of all hosts.
        window_s: Length of the window.
    """

    __slots__ = ('_ratio', '_repeats', '_requests', '_slack', '_window_s')

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def note_request(self, now_s: float) -> None:
        """Counts a request of a caller."""
        self._requests.append(now_s)
        self._drop(now_s)

    def available(self, now_s: float, hosts: int) -> float:
        """Returns how many repeats are allowed now."""
        self._drop(now_s)
        allowed = len(self._requests) * self._ratio + self._slack / max(
            1, hosts
        )
        return allowed * USED_FRACTION - len(self._repeats)

    def try_spend(self, now_s: float, hosts: int) -> bool:
        """Takes one repeat if the budget allows it."""
        if self.available(now_s, hosts) < 1:
            return False
        self._repeats.append(now_s)
        return True

    def _drop(self, now_s: float) -> None:
        start_s = now_s - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] <= start_s:
                times.popleft()
