"""Retry budget of one host for one service.

When targets shed load or fail, retries would multiply the load on them. The
number of retries is limited over all hosts to a ratio of the requests plus a
fixed slack. Without any coordination, each host applies the ratio to its own
requests and takes an equal share of the slack.
"""

import collections

# Share of the limit that is used. The rest covers that the windows of the
# hosts are not aligned.
USABLE_FRACTION = 0.8
# Borrowed retries are valid for this long after they were asked for. The lender
# counts them for as long in addition to the window.
LOAN_VALID_S = 2.0


class RetryBudget:
    """Retries and requests in a sliding window.

    Args:
        ratio: Retries allowed per request.
        slack: Retries allowed in a window beyond that, over all hosts.
        window_s: Length of the window in seconds.
    """

    __slots__ = (
        '_borrowed_until_s',
        '_lent_until_s',
        '_ratio',
        '_requests_s',
        '_retries_s',
        '_slack',
        '_window_s',
    )

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests_s: collections.deque[float] = collections.deque()
        self._retries_s: collections.deque[float] = collections.deque()
        self._lent_until_s: collections.deque[float] = collections.deque()
        self._borrowed_until_s: collections.deque[float] = collections.deque()

    def note_request(self, now_s: float) -> None:
        """Counts a request of a caller."""
        self._requests_s.append(now_s)
        self._expire(now_s)

    def available(self, now_s: float, hosts: int) -> float:
        """Returns how many retries are allowed now.

        Args:
            now_s: Loop time in seconds.
            hosts: Number of hosts among which the slack is divided.
        """
        own = max(0.0, self.own_available(now_s, hosts))
        return own + len(self._borrowed_until_s)

    def try_spend(self, now_s: float, hosts: int) -> bool:
        """Spends one retry; returns False if the budget is exhausted."""
        self._expire(now_s)
        if self._borrowed_until_s:
            self._borrowed_until_s.popleft()
            return True
        if self.own_available(now_s, hosts) < 1:
            return False
        self._retries_s.append(now_s)
        return True

    def lend(self, retries: int, now_s: float) -> None:
        """Counts retries as spent that another host may use."""
        until_s = now_s + self._window_s + LOAN_VALID_S
        self._lent_until_s.extend([until_s] * retries)

    def borrow(self, retries: int, asked_s: float, now_s: float) -> None:
        """Adds retries that another host has lent.

        Args:
            retries: Number of retries.
            asked_s: Loop time at which they were asked for, in seconds.
            now_s: Loop time in seconds.
        """
        until_s = asked_s + LOAN_VALID_S
        if until_s > now_s:
            self._borrowed_until_s.extend([until_s] * retries)

    def own_available(self, now_s: float, hosts: int) -> float:
        """Returns how many retries this host may spend or lend.

        Borrowed retries are not included, since they can't be lent again.

        Args:
            now_s: Loop time in seconds.
            hosts: Number of hosts among which the slack is divided.
        """
        self._expire(now_s)
        allowed = len(self._requests_s) * self._ratio + self._slack / max(
            1, hosts
        )
        return (
            allowed * USABLE_FRACTION
            - len(self._retries_s)
            - len(self._lent_until_s)
        )

    def _expire(self, now_s: float) -> None:
        """Removes what has left the window."""
        start_s = now_s - self._window_s
        for times_s in (self._requests_s, self._retries_s):
            while times_s and times_s[0] <= start_s:
                times_s.popleft()
        for until_s in (self._lent_until_s, self._borrowed_until_s):
            while until_s and until_s[0] <= now_s:
                until_s.popleft()
