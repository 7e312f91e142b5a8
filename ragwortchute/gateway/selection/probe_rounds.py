"""Rounds in which the targets of a selection are probed."""

from ragwortchute.gateway.selection import probe_budget
from ragwortchute.gateway.selection import targets as targets_

FIRST_ROUND_TARGETS = 3
LATER_ROUND_TARGETS = 4
MAX_ROUNDS = 2
# Where probes are short, an urgent request probes fewer targets at a time and
# stops at the first one that has room.
SMALL_ROUND_TARGETS = 2
MAX_SMALL_ROUNDS = 4
# Of the targets of a later round, this many are in other regions, if any are.
LATER_ROUND_REMOTE_TARGETS = 2


class ProbeRounds:
    """Targets that a request has not probed yet.

    Args:
        order: The targets in the order of probing.
        budget: Limit on the probes of this host.
        urgent: Whether no request to the service is more urgent.
        small: Number of targets to probe at a time, in more rounds than usual;
            0 for the usual number.
        single: Whether later small rounds probe one target, as long as the
            budget has probes.
    """

    __slots__ = (
        '_budget',
        '_local',
        '_remote',
        '_rounds_left',
        '_single',
        '_small',
        '_started',
        '_urgent',
    )

    def __init__(
        self,
        order: list[targets_.Target],
        budget: probe_budget.ProbeBudget,
        *,
        urgent: bool,
        small: int,
        single: bool = False,
    ) -> None:
        self._local = [target for target in order if target.same_region]
        self._remote = [target for target in order if not target.same_region]
        self._budget = budget
        self._urgent = urgent
        self._single = single and small > 0
        self._small = small
        self._rounds_left = MAX_SMALL_ROUNDS if small else MAX_ROUNDS
        self._started = False

    def pop(self, *, may_be_remote: bool) -> list[targets_.Target]:
        """Removes and returns the targets to probe in the next round.

        The first round stays in the region of this host if it has targets.
        Later rounds run when the region is busy and may include targets of
        other regions. The probes are counted.

        Args:
            may_be_remote: Whether targets of other regions may be probed.
        """
        if not self._rounds_left:
            return []
        self._rounds_left -= 1
        local = self._local
        remote = self._remote if may_be_remote else []
        if not self._started:
            self._started = True
            count = self._count(FIRST_ROUND_TARGETS, first_round=True)
            group = local[:count] or remote[:count]
        else:
            count = self._count(LATER_ROUND_TARGETS, first_round=False)
            if self._single and local:
                # Without locality there would be no later round.
                remote = []
            others = remote[: min(count, LATER_ROUND_REMOTE_TARGETS)]
            group = local[: count - len(others)] + others
        for target in group:
            (local if target.same_region else remote).remove(target)
        self._budget.spend(len(group))
        return group

    def _count(self, wanted: int, *, first_round: bool) -> int:
        if self._small:
            # Its rounds together are what others probe in their first one.
            if self._single and not first_round:
                return int(self._budget.has_one())
            wanted, first_round = self._small, True
        return self._budget.targets_to_probe(
            wanted, first_round=first_round, urgent=self._urgent
        )
