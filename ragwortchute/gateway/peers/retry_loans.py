"""Loans of retries between hosts.

Load: the retry budget holds for all hosts together. With hundreds of hosts, the
share of one host is a few retries in ten seconds, so that some hosts refuse
requests that they could send again while others have retries left. A host that
needs a retry and has none asks a few others. A lender counts what it lends as
spent before it answers, so that lost messages make the budget smaller, never
larger.
"""

import asyncio
from collections import abc
import random

import msgspec

from ragwortchute.gateway import retry_budget

# Hosts that are asked for a retry each. What is lent beyond the need is lost
# unless it is used soon.
LENDERS = 2
LOAN_RETRIES = 1
# Longest wait for an answer; a round trip in a failure domain takes less.
ANSWER_TIMEOUT_S = 0.01
# Pause after a request for which nobody lent a retry.
REFUSED_INTERVAL_S = 0.5


class LoanMessage(msgspec.Struct, frozen=True, array_like=True):
    """Request for retries or answer to one.

    Attributes:
        service: Name of the service.
        request_id: Identity of the request, chosen by the borrower.
        retries: Retries asked for or lent.
        is_answer: Whether retries are lent.
    """

    service: str
    request_id: int
    retries: int
    is_answer: bool = False


class _Request(msgspec.Struct):
    """A request that was sent to lenders.

    Attributes:
        request_id: Identity of the request.
        sent_s: Loop time at which it was sent, in seconds.
        lenders: Names of the hosts that have not answered.
        borrowed: Whether a lender has lent retries.
    """

    request_id: int
    sent_s: float
    lenders: set[str]
    borrowed: bool = False


# Sends a message to a number of random hosts near this one, and returns their
# names.
SendCallback = abc.Callable[[LoanMessage, int], list[str]]
# Sends a message to the named host.
ReplyCallback = abc.Callable[[str, LoanMessage], None]


class RetryLoans:
    """Borrows and lends retries.

    Args:
        budget: Returns the budget of a service.
        rng: Source of randomness.

    Attributes:
        send: Sends a request to other hosts.
        reply: Sends an answer to a host.
    """

    __slots__ = ('_answered', '_budget', '_requests', '_rng', 'reply', 'send')

    def __init__(
        self,
        budget: abc.Callable[[str], retry_budget.RetryBudget],
        rng: random.Random,
    ) -> None:
        self._budget = budget
        self._rng = rng
        self._requests: dict[str, _Request] = {}
        self._answered: dict[str, asyncio.Event] = {}
        self.send: SendCallback = lambda *_: []
        self.reply: ReplyCallback = lambda *_: None

    async def borrow(self, service: str, now_s: float) -> None:
        """Asks other hosts for a retry and waits shortly for an answer.

        Args:
            service: Name of the service.
            now_s: Loop time in seconds.
        """
        answered = self._answered.setdefault(service, asyncio.Event())
        if not self.ask(service, now_s) and not self._is_pending(
            service, now_s
        ):
            return
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await answered.wait()
        except TimeoutError:
            return

    def ask(self, service: str, now_s: float) -> bool:
        """Asks other hosts for a retry, unless they had none just now.

        Returns:
            Whether hosts were asked.
        """
        last = self._requests.get(service)
        if last is not None:
            interval_s = REFUSED_INTERVAL_S
            if last.borrowed:
                interval_s = ANSWER_TIMEOUT_S
            if now_s - last.sent_s < interval_s:
                return False
        message = LoanMessage(service, self._rng.getrandbits(32), LOAN_RETRIES)
        lenders = self.send(message, LENDERS)
        self._requests[service] = _Request(
            message.request_id, now_s, set(lenders)
        )
        answered = self._answered.get(service)
        if answered is not None:
            answered.clear()
        return bool(lenders)

    def _is_pending(self, service: str, now_s: float) -> bool:
        """Returns whether an answer to the last request may still arrive."""
        last = self._requests.get(service)
        return (
            last is not None
            and bool(last.lenders)
            and now_s - last.sent_s < ANSWER_TIMEOUT_S
        )

    def handle(
        self, sender: str, message: LoanMessage, now_s: float, hosts: int
    ) -> None:
        """Handles a request or an answer of another host.

        Args:
            sender: Name of the other host.
            message: The message.
            now_s: Loop time in seconds.
            hosts: Number of hosts among which the slack is divided.
        """
        if message.is_answer:
            self._borrow(sender, message, now_s)
        else:
            self._lend(sender, message, now_s, hosts)

    def _borrow(self, lender: str, message: LoanMessage, now_s: float) -> None:
        """Accepts one answer of each lender to the last request."""
        request = self._requests.get(message.service)
        if request is None or request.request_id != message.request_id:
            return
        if lender not in request.lenders:
            return
        request.lenders.remove(lender)
        request.borrowed = True
        # The lender has counted the retries since the request at the earliest.
        self._budget(message.service).borrow(
            min(message.retries, LOAN_RETRIES), request.sent_s, now_s
        )
        answered = self._answered.get(message.service)
        if answered is not None:
            answered.set()

    def _lend(
        self, borrower: str, message: LoanMessage, now_s: float, hosts: int
    ) -> None:
        budget = self._budget(message.service)
        # A lender may lend its last retry, as it can borrow in turn.
        spare = int(budget.own_available(now_s, hosts))
        retries = min(message.retries, spare)
        if retries < 1:
            return
        budget.lend(retries, now_s)
        answer = msgspec.structs.replace(
            message, retries=retries, is_answer=True
        )
        self.reply(borrower, answer)
