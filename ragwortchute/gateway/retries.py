"""Decides whether a request may be sent to another target.

Retries and hedges help against targets that shed load, fail or are slow. Each
one requires that the route allows another attempt, that the request either has
not been executed or is idempotent, and that the retry budget is not exhausted.
"""

import random

from ragwortchute.gateway import attempts
from ragwortchute.gateway import retry_budget
from ragwortchute.gateway import stats as stats_
from ragwortchute.gateway.peers import retry_loans
from ragwortchute.gateway.peers import shares
from ragwortchute.gateway.selection import send_limits

# Number of hosts that is assumed until this host has learnt of the others.
ASSUMED_HOSTS = 1000


class Retries:
    """Retries of this host, with one budget for each service.

    Args:
        ratio: Retries allowed per request.
        slack: Retries allowed in a window beyond that, over all hosts.
        window_s: Length of the window in seconds.
        limits: Provides the hosts among which the slack is divided.
        stats: Counters.
        rng: Source of randomness.

    Attributes:
        loans: Borrows and lends retries.
    """

    __slots__ = (
        '_budgets',
        '_limits',
        'loans',
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
        limits: send_limits.SendLimits,
        stats: stats_.Stats,
        rng: random.Random,
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._limits = limits
        self._stats = stats
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self.loans = retry_loans.RetryLoans(self._budget, rng)

    def note_request(self, service: str, now_s: float) -> None:
        """Counts a request of a caller."""
        self._budget(service).note_request(now_s)

    def may_repeat(self, call: attempts.Call) -> bool:
        """Tells whether a request may be sent again, budget aside."""
        if call.sends >= call.route.attempts:
            return False
        return call.route.idempotent or not call.maybe_executed

    async def borrow(self, call: attempts.Call, now_s: float) -> None:
        """Borrows a retry from another host if the budget is exhausted."""
        if self.may_repeat(call) and not self.allowed(call, now_s):
            await self.loans.borrow(call.service, now_s)

    def allowed(self, call: attempts.Call, now_s: float) -> bool:
        """Tells whether a request may be sent to another target now."""
        if not self.may_repeat(call):
            return False
        return self._budget(call.service).available(now_s, self._hosts()) >= 1

    def spend(self, call: attempts.Call, now_s: float) -> bool:
        """Spends one retry; returns False if the budget is exhausted."""
        spent = self._budget(call.service).try_spend(now_s, self._hosts())
        self._stats.retries += spent
        return spent

    def handle_loan(
        self, sender: str, message: retry_loans.LoanMessage, now_s: float
    ) -> None:
        """Handles a message about a loan of another host."""
        self.loans.handle(sender, message, now_s, self._hosts())

    def _hosts(self) -> int:
        """Returns the number of hosts among which the slack is divided.

        A host that has not learnt of the others yet takes almost none of it.
        """
        fleet = self._limits.fleet
        if not fleet.discovered:
            return ASSUMED_HOSTS
        return shares.assumed_hosts(len(fleet.names))

    def _budget(self, service: str) -> retry_budget.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(
                self._ratio, self._slack, self._window_s
            )
            self._budgets[service] = budget
        return budget
