"""Budgets that bound retries, hedges and bytes on links between regions."""

from ragwortchute import clock as clock_

WINDOW_S = 10
RETRY_FLOOR_PER_S = 1.0


class CallBudget:
    """Allows a share of the calls of the last seconds, plus a floor.

    Args:
        clock: Source of time.
        percent: Spendings allowed per 100 calls.
        floor_per_s: Spendings per second allowed without any call.
    """

    __slots__ = (
        '_call_counts',
        '_calls',
        '_clock',
        '_second',
        '_spent',
        '_spent_counts',
        'floor_per_s',
        'percent',
    )

    def __init__(
        self, clock: clock_.Clock, percent: float, floor_per_s: float = 0.0
    ) -> None:
        self.percent = percent
        self.floor_per_s = floor_per_s
        self._clock = clock
        self._second = int(clock.monotonic())
        self._call_counts = [0] * WINDOW_S
        self._spent_counts = [0] * WINDOW_S
        self._calls = 0
        self._spent = 0

    def note_call(self, now_s: float) -> None:
        """Counts a call at a time of the budget's clock."""
        second = int(now_s)
        if second != self._second:
            self._roll(second)
        self._call_counts[self._second % WINDOW_S] += 1
        self._calls += 1

    def available(self) -> float:
        """Returns how many spendings are allowed now."""
        self._roll(int(self._clock.monotonic()))
        allowed = self._calls * self.percent / 100
        return allowed + self.floor_per_s * WINDOW_S - self._spent

    def try_spend(self) -> bool:
        """Takes one spending if the budget allows it."""
        if self.available() < 1:
            return False
        self._spent_counts[self._second % WINDOW_S] += 1
        self._spent += 1
        return True

    def _roll(self, second: int) -> None:
        """Drops the seconds that left the window."""
        steps = min(WINDOW_S, max(0, second - self._second))
        for step in range(1, steps + 1):
            index = (self._second + step) % WINDOW_S
            self._calls -= self._call_counts[index]
            self._spent -= self._spent_counts[index]
            self._call_counts[index] = 0
            self._spent_counts[index] = 0
        self._second = max(self._second, second)


def retry_budget(
    clock: clock_.Clock, percent: float, hosts: int = 1
) -> CallBudget:
    """Returns the retry budget of one of the hosts of a serving set."""
    return CallBudget(clock, percent, RETRY_FLOOR_PER_S / max(1, hosts))


class LinkBudget:
    """Bytes per second that calls may take of a link between regions.

    The size of an answer is known only when it arrives, so a charge may put
    the budget into debt; nothing is admitted until the debt is paid.

    Args:
        clock: Source of time.
        bytes_per_s: Rate of the budget; also its largest balance.
    """

    __slots__ = ('_balance', '_clock', '_updated_s', 'bytes_per_s')

    def __init__(self, clock: clock_.Clock, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self._clock = clock
        self._balance = bytes_per_s
        self._updated_s = clock.monotonic()

    def balance(self) -> float:
        """Returns the bytes that may be sent now; negative in debt."""
        now_s = self._clock.monotonic()
        gained = (now_s - self._updated_s) * self.bytes_per_s
        self._updated_s = now_s
        self._balance = min(self.bytes_per_s, self._balance + gained)
        return self._balance

    def try_spend(self, size_bytes: int) -> bool:
        """Takes bytes before they are sent, if the balance covers them."""
        if self.balance() < size_bytes:
            return False
        self._balance -= size_bytes
        return True

    def charge(self, size_bytes: int) -> None:
        """Takes bytes that have already crossed the link."""
        self._balance = self.balance() - size_bytes
