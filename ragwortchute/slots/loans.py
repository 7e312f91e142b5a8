"""Books of lent and borrowed slots."""

from collections import abc
import dataclasses
import itertools
import random

import msgspec
import xxhash

from ragwortchute import wire

# A lender counts a loan 10 % longer than its borrower uses it, so that clocks
# of different speed never let both use the slot.
LENDER_MARGIN = 1.1


_COUNTER_BITS = 32


def set_digest(hosts: abc.Iterable[str]) -> int:
    """Returns a 31-bit digest of a serving set."""
    return xxhash.xxh3_64_intdigest('\0'.join(sorted(hosts)).encode()) >> 33


def digest_of(loan_id: int) -> int:
    """Returns the digest of the serving set that a loan was granted under.

    Host and borrower may follow different views for a moment. A slot lent
    under one serving set may belong to a third host under another, so the
    borrower must recognise such a loan.
    """
    return loan_id >> _COUNTER_BITS


class Loan(msgspec.Struct):
    """Slots of one target in a loan.

    Attributes:
        loan_id: Id given by the lender.
        peer: The other host.
        target: Name of the target.
        count: Slots that are still lent.
        until_s: End of the term on the monotonic clock, in seconds.
    """

    loan_id: int
    peer: str
    target: str
    count: int
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class IdleSlots:
    """Slots of a loan that the borrower does not need."""

    loan: Loan
    count: int


class _Book:
    """Loans with their totals by target."""

    __slots__ = ('_loans', '_next_end_s', '_totals')

    def __init__(self) -> None:
        self._loans: list[Loan] = []
        self._totals: dict[str, int] = {}
        self._next_end_s = float('inf')

    def __len__(self) -> int:
        return len(self._loans)

    def total(self, target: str) -> int:
        """Returns the slots of a target over all loans."""
        return self._totals.get(target, 0)

    def loans(self) -> list[Loan]:
        """Returns all loans."""
        return list(self._loans)

    def add(self, loan: Loan) -> None:
        """Enters a loan."""
        self._loans.append(loan)
        self._next_end_s = min(self._next_end_s, loan.until_s)
        self._totals[loan.target] = self.total(loan.target) + loan.count

    def reduce(self, loan: Loan, count: int) -> int:
        """Takes slots out of a loan and returns how many."""
        count = max(0, min(count, loan.count))
        loan.count -= count
        self._totals[loan.target] -= count
        if loan.count == 0:
            self._loans.remove(loan)
        return count

    def expire(self, now_s: float) -> list[str]:
        """Drops the loans past their term; returns their targets."""
        if now_s < self._next_end_s or not self._loans:
            return []
        ended = [loan for loan in self._loans if loan.until_s <= now_s]
        for loan in ended:
            self.reduce(loan, loan.count)
        self._next_end_s = min(
            (loan.until_s for loan in self._loans), default=float('inf')
        )
        return [loan.target for loan in ended]


class LentBook(_Book):
    """What this host lent to others.

    Args:
        rng: Draws the first number, so that the return of a loan of an
            earlier process of this host matches nothing.
    """

    __slots__ = ('_numbers',)

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self._numbers = itertools.count(rng.getrandbits(_COUNTER_BITS))

    def next_id(self, hosts: abc.Iterable[str]) -> int:
        """Returns the id of the next loan under a serving set."""
        number = next(self._numbers) % (1 << _COUNTER_BITS)
        return set_digest(hosts) << _COUNTER_BITS | number

    def lend(
        self,
        loan_id: int,
        host: str,
        targets: abc.Iterable[str],
        until_s: float,
    ) -> None:
        """Enters one slot of each target for a borrower.

        Args:
            loan_id: An id of `next_id`.
            host: The borrower.
            targets: A target name per slot.
            until_s: End of the term in seconds.
        """
        for target in targets:
            self.add(Loan(loan_id, host, target, 1, until_s))

    def returned(self, host: str, returned: wire.ReturnedSlots) -> bool:
        """Enters a return; False if the loan is unknown or has expired."""
        for loan in self.loans():
            if (loan.loan_id, loan.peer, loan.target) == (
                returned.loan_id,
                host,
                returned.target,
            ):
                self.reduce(loan, returned.count)
                return True
        return False


class BorrowedBook(_Book):
    """What this host borrowed."""

    __slots__ = ()

    def clear(self) -> set[str]:
        """Drops all loans; returns their targets."""
        targets = {loan.target for loan in self._loans}
        self._loans.clear()
        self._totals.clear()
        return targets
