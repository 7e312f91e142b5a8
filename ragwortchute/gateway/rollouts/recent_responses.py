"""Last responses by version, from which a host suspends the canary version.

It needs no report of other hosts for this.
"""

import collections

# A host suspends the canary version once `_BAD_RESPONSES` of its last responses
# were bad, unless as many of the last ones of the old version were.
_RECENT_RESPONSES = 6
_BAD_RESPONSES = 4


class RecentResponses:
    """Last responses to this host for one order."""

    __slots__ = ('_bad',)

    def __init__(self) -> None:
        self._bad = {
            canary: collections.deque[bool](maxlen=_RECENT_RESPONSES)
            for canary in (False, True)
        }

    def note(self, *, canary: bool, bad: bool) -> bool:
        """Notes a response.

        Args:
            canary: Whether the canary version has sent it.
            bad: Whether it failed or was slow.

        Returns:
            Whether the canary version is to be suspended. Its responses until
            then no longer count.
        """
        self._bad[canary].append(bad)
        if not canary or not self._is_bad(True) or self._is_bad(False):
            return False
        self._bad[True].clear()
        return True

    def _is_bad(self, canary: bool) -> bool:
        return sum(self._bad[canary]) >= _BAD_RESPONSES
