"""What a request requires of a target."""

import msgspec

from ragwortchute.gateway.admission import room
from ragwortchute.gateway.locality import selection
from ragwortchute.gateway.selection import probe_rounds
from ragwortchute.gateway.selection import targets as targets_


class Requirements(msgspec.Struct, eq=False):
    """What a request requires of a target.

    Attributes:
        targets: Targets that may get the request.
        work_s: Expected processing time at slowness 1, in seconds.
        objective_s: Latency objective in seconds.
        remaining_s: Time until the answer is due, in seconds.
        long_work_s: Processing time that few requests exceed, in seconds; 0 if
            it is not known.
        limit: Which targets have room for it, None if all have.
        body_bytes: Size of its body; used for locality only.
        locality: How locality is used for it, None if it is off.
        leaves: Whether it looks outside its failure domain first.
    """

    targets: list[targets_.Target]
    work_s: float
    objective_s: float
    remaining_s: float
    long_work_s: float = 0.0
    limit: room.Limit | None = None
    body_bytes: int = 0
    locality: selection.Selection | None = None
    leaves: bool = False

    def small_round(self) -> int:
        """Returns how many targets to probe at first if probes are short.

        It is 0 if that makes no difference.
        """
        if self.limit is not None:
            small = probe_rounds.SMALL_ROUND_TARGETS
            return small if self.limit.urgent else 0
        return 0 if self.locality is None else self.locality.small_round

    def may_leave(self) -> bool:
        """Returns whether other domains may take what the own one can't.

        If so, the request looks there first from now on. Where probes are
        short, it may have asked a single target.
        """
        if self.locality is None or self.leaves or self.limit is not None:
            return False
        self.leaves = self.locality.has_unprobed_domains
        return self.leaves

    def looks_further(
        self, cost_s: float, good_cost_s: float, now_s: float
    ) -> bool:
        """Returns whether locality calls for further probes.

        Args:
            cost_s: Least cost found so far, in seconds.
            good_cost_s: Cost of a good target in seconds.
            now_s: Loop time in seconds.
        """
        return self.locality is not None and self.locality.looks_further(
            cost_s, good_cost_s, now_s
        )

    def has_asked_region(self) -> bool:
        """Returns whether no domain of the region must be asked first."""
        return self.locality is None or not self.locality.prefers_region
