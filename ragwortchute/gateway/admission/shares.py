"""Shares of kinds of requests and of organisations in a full service.

Load: more work than the targets can do, for longer than requests can wait. The
least urgent kind would get nothing, and an organisation that sends several
times its usual load would get most of what there is.
"""

import math

# Requests count less by this time constant.
MEMORY_S = 8.0
# No kind may get less than a quarter of what all get. A kind that is below
# this share of it comes before others. With a share closer to a quarter, fewer
# of the least urgent requests are served near the capacity, and less useful
# work is done under overload.
LAGGING_SHARE = 0.7
# With fewer requests a share says nothing.
MIN_REQUESTS = 2.0
# An organisation is over its share if it uses this many times an equal share. A
# host that sees few requests can't tell a large one from chance.
OVER_SHARE = 1.25
MIN_ADMITTED = 3.0
# One in this many requests may go to a target that answers in time, although
# there is no room, if this share of all requests is admitted. Short peaks at
# moderate load then refuse almost nobody.
EXCEPTION_ONE_IN = 10
EXCEPTION_ADMITTED_SHARE = 0.85
# A share of few requests may be this many less by chance.
CHANCE_REQUESTS = 1.0
MAX_EXCEPTIONS = 5.0


class _Count:
    """Requests and work of a kind or organisation, recent ones."""

    __slots__ = ('admitted', 'offered', 'work_s')

    def __init__(self) -> None:
        self.offered = 0.0
        self.admitted = 0.0
        self.work_s = 0.0


class Shares:
    """What this host has recently admitted to a service.

    Each host looks at its own requests. Where all hosts keep to the shares of
    what they admit, all of them together do.
    """

    __slots__ = (
        '_all',
        '_exceptions',
        '_organisations',
        '_ranks',
        '_updated_s',
    )

    def __init__(self) -> None:
        self._updated_s = 0.0
        self._all = _Count()
        self._exceptions = 0.0
        self._ranks: dict[int, _Count] = {}
        self._organisations: dict[str, _Count] = {}

    def note_offered(self, rank: int, organisation: str, now_s: float) -> None:
        """Counts a request that asks for room.

        Args:
            rank: How many priorities are more urgent.
            organisation: Name of its organisation, empty if it has none.
            now_s: Loop time in seconds.
        """
        self._decay(now_s)
        self._exceptions = min(
            MAX_EXCEPTIONS, self._exceptions + 1 / EXCEPTION_ONE_IN
        )
        for count in self._counts(rank, organisation):
            count.offered += 1

    def note_admitted(
        self, rank: int, organisation: str, work_s: float
    ) -> None:
        """Counts a request that is sent.

        Args:
            rank: How many priorities are more urgent.
            organisation: Name of its organisation, empty if it has none.
            work_s: Its expected work in seconds.
        """
        for count in self._counts(rank, organisation):
            count.admitted += 1
            count.work_s += work_s

    def spend_exception(self) -> bool:
        """Returns whether a request may go where it fits, without room."""
        admitted, offered = self._all.admitted, self._all.offered
        if self._exceptions < 1 or (
            admitted + CHANCE_REQUESTS < EXCEPTION_ADMITTED_SHARE * offered
        ):
            return False
        self._exceptions -= 1
        return True

    def is_lagging(self, rank: int) -> bool:
        """Returns whether a kind gets too little of what all get."""
        count = self._ranks.get(rank)
        if count is None or count.offered < MIN_REQUESTS:
            return False
        least = LAGGING_SHARE * self._all.admitted / self._all.offered
        return count.admitted < least * count.offered

    def is_over_share(self, organisation: str) -> bool:
        """Returns whether an organisation uses more than an equal share."""
        count = self._organisations.get(organisation)
        if count is None or count.admitted < MIN_ADMITTED:
            return False
        share_s = self._all.work_s / len(self._organisations)
        return count.work_s > OVER_SHARE * share_s

    def expected_room_s(self, rank: int, wait_s: float) -> float:
        """Returns when a refused request may expect room.

        If a share q of the requests is admitted within their wait, it takes
        1 / q such waits until one is, the first of which is over.

        Args:
            rank: How many priorities are more urgent.
            wait_s: Time for which such a request waits, in seconds.
        """
        count = self._ranks.get(rank)
        if count is None or not count.admitted:
            return MEMORY_S
        waits = count.offered / count.admitted - 1
        return min(MEMORY_S, max(0.0, waits) * wait_s)

    def _counts(self, rank: int, organisation: str) -> list[_Count]:
        counts = [self._all, self._ranks.setdefault(rank, _Count())]
        if organisation:
            counts.append(
                self._organisations.setdefault(organisation, _Count())
            )
        return counts

    def _decay(self, now_s: float) -> None:
        # Every tenth of the time constant, so that it costs little.
        elapsed_s = now_s - self._updated_s
        if elapsed_s < MEMORY_S / 10:
            return
        self._updated_s = now_s
        factor = math.exp(-elapsed_s / MEMORY_S)
        for count in (
            self._all,
            *self._ranks.values(),
            *self._organisations.values(),
        ):
            count.offered *= factor
            count.admitted *= factor
            count.work_s *= factor
        self._organisations = {
            name: count
            for name, count in self._organisations.items()
            if count.offered > math.exp(-2)
        }
