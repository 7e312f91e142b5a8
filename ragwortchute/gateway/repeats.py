"""Whether a request may be sent to another target.

Load: targets that shed, fail or are slow. A repeat needs an attempt that is
left, a request that may run again or has not run, and a part of the budget
that all hosts share.
"""

from ragwortchute.gateway import attempts
from ragwortchute.gateway import candidates
from ragwortchute.gateway import pacing
from ragwortchute.gateway import retry_budget
from ragwortchute.gateway import stats as stats_

# Number of hosts that is assumed until the list of hosts was read.
UNKNOWN_HOSTS = 1000


class Repeats:
    """Repeats of this host, by service.

    Args:
        ratio: Repeats allowed per request.
        slack: Repeats of all hosts allowed in a window without any request.
        window_s: Length of the window.
        chooser: Knows the hosts among which the slack is divided.
        stats: Counts repeats.
    """

    __slots__ = (
        '_budgets',
        '_chooser',
        '_ratio',
        '_slack',
        '_stats',
        '_window_s',
    )

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        chooser: candidates.Chooser,
        stats: stats_.Stats,
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._chooser = chooser
        self._stats = stats
        self._budgets: dict[str, retry_budget.RetryBudget] = {}

    def note_request(self, service: str, now_s: float) -> None:
        """Counts a request of a caller."""
        self._budget(service).note_request(now_s)

    def allowed(self, call: attempts.Call, now_s: float) -> bool:
        """Tells whether a request may be sent once more."""
        if call.sends >= call.route.attempts:
            return False
        if call.maybe_run and not call.route.idempotent:
            return False
        return self._budget(call.service).available(now_s, self._hosts()) >= 1

    def spend(self, call: attempts.Call, now_s: float) -> bool:
        """Takes a repeat from the budget; tells whether there was one."""
        spent = self._budget(call.service).try_spend(now_s, self._hosts())
        self._stats.repeats += spent
        return spent

    def _hosts(self) -> int:
        """Returns among how many hosts the slack is divided.

        A host that has not heard of the others yet takes no part of it.
        """
        fleet = self._chooser.fleet
        if not fleet.settled:
            return UNKNOWN_HOSTS
        return max(pacing.MIN_HOSTS, len(fleet.names))

    def _budget(self, service: str) -> retry_budget.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(
                self._ratio, self._slack, self._window_s
            )
            self._budgets[service] = budget
        return budget
