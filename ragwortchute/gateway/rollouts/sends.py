"""Requests of this host that may be running at targets of an old version."""

from collections import abc


class OldSends:
    """Sends to old targets whose end is not known.

    A request whose connection broke or that was given up may still be running
    at its target. It counts as running until the longest time that a request
    may take is over.
    """

    __slots__ = ('_latest_ends_s',)

    def __init__(self) -> None:
        self._latest_ends_s: dict[abc.Hashable, float] = {}

    def note_send(self, key: abc.Hashable, latest_end_s: float) -> None:
        """Notes a send.

        Args:
            key: Identity of the send.
            latest_end_s: Loop time at which it has ended in any case.
        """
        self._latest_ends_s[key] = latest_end_s

    def note_end(self, key: abc.Hashable) -> None:
        """Notes that a target has given its complete response."""
        self._latest_ends_s.pop(key, None)

    def may_run(self, now_s: float) -> bool:
        """Returns whether a request may still be running."""
        ended = [
            key for key, end_s in self._latest_ends_s.items() if end_s <= now_s
        ]
        for key in ended:
            del self._latest_ends_s[key]
        return bool(self._latest_ends_s)
