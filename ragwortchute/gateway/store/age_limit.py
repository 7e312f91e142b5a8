"""Bound on the age of what a host has read from another host or the store.

Load: the configuration changes while the host that reads the store for others
is cut off from it, frozen or misled by a watch that hears nothing. Its replica
stays as it was, and hosts that read it have no other sign of the change. Each
host therefore knows when its own replica was last confirmed as the newest, and
reads the store itself before that is too long ago.
"""

from collections import abc

# A source that does not answer is left for the next one after this time.
FIRST_RETRY_S = 0.4
# Every host retries during an outage of the store, not only its readers.
MAX_RETRY_S = 8.0


class AgeLimit:
    """Decides when a host reads another source, the store before all.

    Args:
        max_age_s: Returns the age in seconds from which on a replica is not
            relied on.
    """

    __slots__ = ('_checked_confirmed_s', '_max_age_s', '_next_s', '_retry_s')

    def __init__(self, max_age_s: abc.Callable[[], float]) -> None:
        self._max_age_s = max_age_s
        self._retry_s = FIRST_RETRY_S
        self._next_s = float('-inf')
        self._checked_confirmed_s = float('-inf')

    def due_in_s(self, confirmed_s: float, now_s: float) -> float:
        """Returns the time in seconds until another source is to be read.

        Args:
            confirmed_s: Loop time at which the replica was last confirmed.
            now_s: Loop time in seconds.
        """
        return max(confirmed_s + self._max_age_s(), self._next_s) - now_s

    def note_check(self, confirmed_s: float, now_s: float) -> None:
        """Notes that another source is read now.

        Without a confirmation since the last check, the next one comes later.

        Args:
            confirmed_s: Loop time at which the replica was last confirmed.
            now_s: Loop time in seconds.
        """
        if confirmed_s > self._checked_confirmed_s:
            self._retry_s = FIRST_RETRY_S
        else:
            self._retry_s = min(MAX_RETRY_S, self._retry_s * 2)
        self._checked_confirmed_s = confirmed_s
        self._next_s = now_s + self._retry_s
