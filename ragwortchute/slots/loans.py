"""Records of lent and borrowed slots."""

from collections import abc
import dataclasses
import itertools
import random

import msgspec
import xxhash

from ragwortchute import wire

# The lender keeps a loan for 10 % longer than the borrower, so that both never
# use a slot at the same time although their clocks run at different speeds.
LENDER_MARGIN = 1.1


_COUNTER_BITS = 32


def serving_set_digest(hosts: abc.Iterable[str]) -> int:
    """Returns a 31-bit digest of the hosts of a serving set."""
    return xxhash.xxh3_64_intdigest('\0'.join(sorted(hosts)).encode()) >> 33


def loan_digest(loan_id: int) -> int:
    """Returns the digest of the serving set under which a loan was granted.

    Lender and borrower may follow different views for a short time. A slot
    lent under one serving set may belong to a third host under another, so
    the borrower compares digests to recognise such a loan.
    """
    return loan_id >> _COUNTER_BITS


class Loan(msgspec.Struct):
    """Slots of one target that are part of a loan.

    Attributes:
        loan_id: Id assigned by the lender.
        peer: The other host: the borrower for the lender, and vice versa.
        target: Name of the target.
        count: Slots that are still on loan.
        until_s: End of the term on the monotonic clock, in seconds.
    """

    loan_id: int
    peer: str
    target: str
    count: int
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class IdleSlots:
    """Slots of a loan that the borrower can return.

    Attributes:
        loan: The loan.
        count: How many of its slots can be returned.
    """

    loan: Loan
    count: int


class _LoanSet:
    """Loans, with the total number of slots per target."""

    __slots__ = ('_loans', '_next_end_s', '_totals')

    def __init__(self) -> None:
        self._loans: list[Loan] = []
        self._totals: dict[str, int] = {}
        self._next_end_s = float('inf')

    def __len__(self) -> int:
        return len(self._loans)

    def total(self, target: str) -> int:
        """Returns the slots of a target, summed over all loans."""
        return self._totals.get(target, 0)

    def loans(self) -> list[Loan]:
        """Returns all loans."""
        return list(self._loans)

    def add(self, loan: Loan) -> None:
        """Adds a loan."""
        self._loans.append(loan)
        self._next_end_s = min(self._next_end_s, loan.until_s)
        self._totals[loan.target] = self.total(loan.target) + loan.count

    def reduce(self, loan: Loan, count: int) -> int:
        """Removes up to `count` slots from a loan.

        Returns:
            How many slots were removed.
        """
        count = max(0, min(count, loan.count))
        loan.count -= count
        self._totals[loan.target] -= count
        if loan.count == 0:
            self._loans.remove(loan)
        return count

    def expire(self, now_s: float) -> list[str]:
        """Removes the loans whose term has ended.

        Returns:
            The target name of each removed loan.
        """
        if now_s < self._next_end_s or not self._loans:
            return []
        ended = [loan for loan in self._loans if loan.until_s <= now_s]
        for loan in ended:
            self.reduce(loan, loan.count)
        self._next_end_s = min(
            (loan.until_s for loan in self._loans), default=float('inf')
        )
        return [loan.target for loan in ended]


class LentLoans(_LoanSet):
    """Slots that this host lent to others.

    Args:
        rng: Draws the first loan number, so that a return of a loan that an
            earlier process of this host granted does not match a new loan.
    """

    __slots__ = ('_numbers',)

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self._numbers = itertools.count(rng.getrandbits(_COUNTER_BITS))

    def next_loan_id(self, hosts: abc.Iterable[str]) -> int:
        """Returns the id of a new loan under a serving set."""
        number = next(self._numbers) % (1 << _COUNTER_BITS)
        return serving_set_digest(hosts) << _COUNTER_BITS | number

    def lend(
        self,
        loan_id: int,
        host: str,
        targets: abc.Iterable[str],
        until_s: float,
    ) -> None:
        """Adds a loan of one slot for each given target name.

        Args:
            loan_id: An id from `next_loan_id`.
            host: The borrower.
            targets: The target name of each slot.
            until_s: End of the term on the monotonic clock, in seconds.
        """
        for target in targets:
            self.add(Loan(loan_id, host, target, 1, until_s))

    def returned(self, host: str, returned: wire.ReturnedSlots) -> bool:
        """Removes returned slots from their loan.

        Args:
            host: The borrower that returns them.
            returned: The slots.

        Returns:
            False if the loan is unknown or has expired.
        """
        for loan in self.loans():
            if (loan.loan_id, loan.peer, loan.target) == (
                returned.loan_id,
                host,
                returned.target,
            ):
                self.reduce(loan, returned.count)
                return True
        return False


class BorrowedLoans(_LoanSet):
    """Slots that this host borrowed."""

    __slots__ = ()

    def clear(self) -> set[str]:
        """Removes all loans and returns the names of their targets."""
        targets = {loan.target for loan in self._loans}
        self._loans.clear()
        self._totals.clear()
        return targets
