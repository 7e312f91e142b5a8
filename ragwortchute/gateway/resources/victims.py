"""Choice of the connection that is refused or closed when a limit is reached.

It is the one that has been without progress for the longest time. The order is
found again only at intervals, because at the time of a shortage every new
connection or part of a body asks for it, and there are thousands.
"""

from collections import abc
import typing

# Shortest time between two searches for connections.
SEARCH_INTERVAL_S = 0.05
# The same for each connection that may be open, if that is less: a search looks
# at all of them, so it takes little time where there are few.
SEARCH_INTERVAL_S_PER_HOLDER = 2e-5


class Holder(typing.Protocol):
    """A connection that holds memory and descriptors.

    Attributes:
        progress_s: Loop time at which the caller last sent or took something.
    """

    progress_s: float

    def is_at_work(self) -> bool:
        """Whether a request runs that has no response yet."""

    def awaits_host(self) -> bool:
        """Whether another host may be sending a request on it, though idle."""

    def is_incomplete(self) -> bool:
        """Whether a request has been read in part, and may be read on."""

    def has_body(self) -> bool:
        """Whether memory is reserved for the body of such a request."""

    def has_unread(self) -> bool:
        """Whether the caller has not taken all of its responses."""

    def has_streams(self) -> bool:
        """Whether responses hold connections to targets or other hosts."""

    def has_queue(self) -> bool:
        """Whether requests that have not been started wait behind others."""

    def shed_queue(self) -> None:
        """Refuses the requests that wait."""

    def shed_request(self) -> None:
        """Refuses the request that has been read in part."""

    def shed_streams(self) -> None:
        """Gives up the responses that hold connections."""

    def shed(self) -> None:
        """Closes the connection."""


Eligible = abc.Callable[[Holder], bool]


class Victims:
    """Connections in the order in which they are refused or closed.

    Args:
        eligible: Whether a connection may be refused or closed.
        holders: Open connections.
        interval_s: Shortest time between two searches in seconds.
    """

    __slots__ = (
        '_eligible',
        '_found',
        '_holders',
        '_interval_s',
        '_searched_s',
    )

    def __init__(
        self,
        eligible: Eligible,
        holders: set[Holder],
        interval_s: float = SEARCH_INTERVAL_S,
    ) -> None:
        self._eligible = eligible
        self._interval_s = interval_s
        self._holders = holders
        # Connections with the time of their progress, the next one last.
        self._found: list[tuple[float, Holder]] = []
        self._searched_s = float('-inf')

    def take(
        self, now_s: float, *, spared: Holder | None = None
    ) -> Holder | None:
        """Returns the next connection, None if there is none.

        Args:
            now_s: Loop time in seconds.
            spared: A connection that is not returned.
        """
        while True:
            if not self._found:
                if now_s - self._searched_s < self._interval_s:
                    return None
                self._search(now_s)
                if not self._found:
                    return None
            progress_s, holder = self._found.pop()
            if (
                holder is not spared
                and holder in self._holders
                and holder.progress_s == progress_s
                and self._eligible(holder)
            ):
                return holder

    def _search(self, now_s: float) -> None:
        self._searched_s = now_s
        self._found = sorted(
            (
                (holder.progress_s, holder)
                for holder in self._holders
                if self._eligible(holder)
            ),
            key=lambda item: -item[0],
        )
