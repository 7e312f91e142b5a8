"""Order of probing of one request, and why it leaves its failure domain."""

import enum

from ragwortchute.gateway.locality import crossings
from ragwortchute.gateway.locality import spillover as spillover_
from ragwortchute.gateway.selection import estimates
from ragwortchute.gateway.selection import probe_order
from ragwortchute.gateway.selection import targets as targets_

# Added to the random key (0 to 1) of targets of other domains. Those of the own
# domain that are known to be slow, full, cold or ejected have 2 or more, and
# come mixed with the others: a reading may be 0.1 s old, and speeds change
# every 0.15 s.
OWN_FIRST_KEY = 2.0
# Targets with this key or more are unlikely to give a good result.
UNFIT_KEY = 2.0
# The key of a target rises with the occupancy of its domain.
OCCUPANCY_KEY = 2.0
# A reading of another domain is taken by the second probe of a request if the
# last one is older than this.
REFRESH_S = 4.0
# However little a crossing is worth, a request may probe its own domain for
# this long before others, in seconds.
MIN_PROBING_S = 0.01
# Share of the requests that probe the own domain while it does not answer.
LOST_PROBE_SHARE = 0.25


class Mode(enum.Enum):
    """Where a request looks first."""

    OWN = 'own'
    SPILL = 'spill'
    UNRESTRICTED = 'no-readings'


class Reason(enum.StrEnum):
    """Why a request left its failure domain."""

    NO_TARGET = 'no-local-target'
    NO_ANSWER = 'no-local-answer'
    UNFIT = 'local-unfit'
    FULL = 'local-full'
    SLOW = 'local-slow'
    SPILL = 'spill'
    NO_READINGS = 'no-readings'


class Selection:
    """Use of locality in the selection of a target for one request.

    Args:
        spillover: What is known of the service.
        worth: Worth of a crossing.
        moved_bytes: Expected size of the request and its answer.
        draw: Random number from 0 to 1, compared with the share; below 0 if the
            request must look outside first.
        now_s: Loop time in seconds.

    Attributes:
        mode: Where the request looks first.
    """

    __slots__ = (
        '_begun_s',
        '_has_others',
        '_has_own',
        '_moved_bytes',
        '_others_probed',
        '_own_answered',
        '_own_full',
        '_own_probed',
        '_probes_lost',
        '_probing_s',
        '_refreshes',
        '_spillover',
        '_worth',
        'mode',
    )

    def __init__(
        self,
        spillover: spillover_.Spillover,
        worth: crossings.Worth,
        moved_bytes: float,
        draw: float,
        now_s: float,
    ) -> None:
        self._spillover = spillover
        self._worth = worth
        self._begun_s = now_s
        self._probing_s = max(worth.domain_s, MIN_PROBING_S)
        self._moved_bytes = moved_bytes
        self.mode = Mode.OWN
        if not spillover.knows_others(now_s):
            self.mode = Mode.UNRESTRICTED
        elif draw < spillover.share:
            self.mode = Mode.SPILL
        self._probes_lost = spillover.lost and draw < LOST_PROBE_SHARE
        self._refreshes = now_s - spillover.read_s() > REFRESH_S
        self._has_own = False
        self._has_others = False
        self._own_probed = 0
        self._own_answered = 0
        self._own_full = 0
        self._others_probed = 0

    @property
    def has_unprobed_domains(self) -> bool:
        """Whether only the own domain of several was probed."""
        return self._has_others and not self._others_probed

    @property
    def prefers_region(self) -> bool:
        """Whether other domains of the region must be asked before regions.

        They need not be if they are known to be as full as the own one.
        """
        return self.has_unprobed_domains and (
            self._spillover.others_mean(self._begun_s)
            < estimates.HIGH_OCCUPANCY
        )

    @property
    def small_round(self) -> int:
        """Number of targets to probe at first if probes are short.

        It is 0 for the number without locality.
        """
        if self.mode is Mode.UNRESTRICTED:
            return 0
        return 1 if self.mode is Mode.OWN and not self._refreshes else 2

    def crossing_s(self, target: targets_.Target) -> float:
        """Returns what a crossing adds to the cost of a target, in seconds.

        Within the region it is nothing without readings of other domains, or
        while the targets of the own domain don't answer.
        """
        is_free = self.mode is Mode.UNRESTRICTED or self._spillover.lost
        if target.same_region and is_free:
            return 0.0
        return crossings.cost_s(
            self._worth,
            same_domain=target.same_domain,
            same_region=target.same_region,
            moved_bytes=self._moved_bytes,
        )

    def key(self, target: targets_.Target) -> float:
        """Returns what is added to the key of a target."""
        if self.mode is Mode.UNRESTRICTED:
            return probe_order.other_domain_key(target)
        if target.same_domain and self._spillover.lost:
            return UNFIT_KEY
        if target.same_domain or not target.same_region:
            return 0.0
        known = self._spillover.others.get(target.entry.failure_domain)
        occupancy = known.mean() if known is not None else 0.0
        key = OCCUPANCY_KEY * max(0.0, occupancy - spillover_.FREE_OCCUPANCY)
        return key + (OWN_FIRST_KEY if self.mode is Mode.OWN else 0.0)

    def arrange(
        self, keyed: list[tuple[float, targets_.Target]]
    ) -> list[targets_.Target]:
        """Returns targets in the order in which they are probed.

        Args:
            keyed: Targets with their keys, in ascending order.
        """
        order = [target for _, target in keyed]
        own = [item for item in keyed if item[1].same_domain]
        others = [
            item
            for item in keyed
            if item[1].same_region and not item[1].same_domain
        ]
        self._has_own = bool(own)
        self._has_others = bool(others)
        if not own or not others or self.mode is Mode.UNRESTRICTED:
            return order
        if self.mode is Mode.OWN:
            if own[0][0] >= UNFIT_KEY:
                # All are known to be congested.
                _move_up(order, others[0][1], 0)
            elif self._refreshes:
                _move_up(order, others[0][1], 1)
            return order
        if others[0][0] < UNFIT_KEY:
            _move_up(order, others[0][1], 0)
            if own[0][0] < UNFIT_KEY or self._probes_lost:
                # The request stays if a fresh reading of its domain is as good.
                _move_up(order, own[0][1], 1)
        return order

    def begin_round(
        self, group: list[targets_.Target], timeout_s: float
    ) -> float:
        """Counts the targets of a round and returns its longest time.

        While no other domain has been asked, the wait counts as time that the
        request loses to locality.

        Args:
            group: The targets.
            timeout_s: Longest time of a round without locality, in seconds.
        """
        may_shorten = self._has_others and not self._others_probed
        if may_shorten and all(target.same_region for target in group):
            timeout_s = min(timeout_s, self._probing_s)
        own = sum(1 for target in group if target.same_domain)
        self._own_probed += own
        self._others_probed += len(group) - own
        return timeout_s

    def note_answer(self, target: targets_.Target, *, is_full: bool) -> None:
        """Counts a target that answered and may take the request."""
        if target.same_domain:
            self._own_answered += 1
            self._own_full += is_full

    def note_no_answer(self, now_s: float) -> None:
        """Evaluates a round in which no target has answered.

        Args:
            now_s: Loop time in seconds.
        """
        if self._own_answered or not self._own_probed:
            return
        self._spillover.own.note(spillover_.MAX_OCCUPANCY, now_s)
        if self._own_probed > 1 and self._has_others:
            self._spillover.note_lost()

    def looks_further(
        self, cost_s: float, good_cost_s: float, now_s: float
    ) -> bool:
        """Returns whether further targets should be probed.

        A search costs time, too, and ends when it has taken as long as a
        crossing is worth.

        Args:
            cost_s: Least cost found so far, in seconds.
            good_cost_s: Cost of a good target in seconds.
            now_s: Loop time in seconds.
        """
        return (
            self._has_others
            and cost_s > good_cost_s + self._worth.domain_s
            and now_s - self._begun_s < self._probing_s
        )

    def reason(self, target: targets_.Target) -> str:
        """Returns why a request leaves, empty if it doesn't."""
        if target.same_domain:
            return ''
        if not self._has_own:
            return Reason.NO_TARGET
        if self.mode is Mode.UNRESTRICTED and target.same_region:
            return Reason.NO_READINGS
        if not self._own_probed:
            is_spill = self.mode is Mode.SPILL
            return Reason.SPILL if is_spill else Reason.UNFIT
        if not self._own_answered:
            return Reason.NO_ANSWER
        if self._own_full == self._own_answered:
            return Reason.FULL
        return Reason.SLOW


def _move_up(
    order: list[targets_.Target], target: targets_.Target, place: int
) -> None:
    if order.index(target) > place:
        order.remove(target)
        order.insert(place, target)
