"""Rate limits for retries, hedges and bytes on links between regions."""

from ragwortchute import clock as clock_lib

WINDOW_S = 10
RETRY_FLOOR_PER_S = 1.0


class CallBudget:
    """Limits extra attempts to a percentage of the recent calls.

    Both calls and extra attempts are counted over a sliding window of
    `WINDOW_S` seconds.

    Args:
        clock: Source of time.
        percent: Extra attempts allowed per 100 calls.
        floor_per_s: Extra attempts per second allowed without any call.
    """

    __slots__ = (
        '_calls_per_second',
        '_calls_in_window',
        '_clock',
        '_current_second',
        '_spent_in_window',
        '_spent_per_second',
        'floor_per_s',
        'percent',
    )

    def __init__(
        self, clock: clock_lib.Clock, percent: float, floor_per_s: float = 0.0
    ) -> None:
        self.percent = percent
        self.floor_per_s = floor_per_s
        self._clock = clock
        self._current_second = int(clock.monotonic())
        self._calls_per_second = [0] * WINDOW_S
        self._spent_per_second = [0] * WINDOW_S
        self._calls_in_window = 0
        self._spent_in_window = 0

    def record_call(self, now_s: float) -> None:
        """Counts one call.

        Args:
            now_s: Reading of the budget's monotonic clock in seconds.
        """
        second = int(now_s)
        if second != self._current_second:
            self._advance_window(second)
        self._calls_per_second[self._current_second % WINDOW_S] += 1
        self._calls_in_window += 1

    def available(self) -> float:
        """Returns how many extra attempts are allowed now."""
        self._advance_window(int(self._clock.monotonic()))
        allowed = self._calls_in_window * self.percent / 100
        return allowed + self.floor_per_s * WINDOW_S - self._spent_in_window

    def try_spend(self) -> bool:
        """Counts one extra attempt if the budget allows it.

        Returns:
            Whether the attempt may run.
        """
        if self.available() < 1:
            return False
        self._spent_per_second[self._current_second % WINDOW_S] += 1
        self._spent_in_window += 1
        return True

    def _advance_window(self, second: int) -> None:
        """Moves the window to a second and clears the counts that expired."""
        steps = min(WINDOW_S, max(0, second - self._current_second))
        for step in range(1, steps + 1):
            index = (self._current_second + step) % WINDOW_S
            self._calls_in_window -= self._calls_per_second[index]
            self._spent_in_window -= self._spent_per_second[index]
            self._calls_per_second[index] = 0
            self._spent_per_second[index] = 0
        self._current_second = max(self._current_second, second)


def retry_budget(
    clock: clock_lib.Clock, percent: float, hosts: int = 1
) -> CallBudget:
    """Returns the retry budget of one host of a serving set.

    The hosts of a set share the floor of `RETRY_FLOOR_PER_S`.

    Args:
        clock: Source of time.
        percent: Retries allowed per 100 calls.
        hosts: Number of hosts in the serving set.
    """
    return CallBudget(clock, percent, RETRY_FLOOR_PER_S / max(1, hosts))


class LinkBudget:
    """Token bucket for the bytes that calls send between two regions.

    The size of an answer is known only once it has arrived, so `charge` may
    make the balance negative; nothing is admitted until it is refilled.

    Args:
        clock: Source of time.
        bytes_per_s: Refill rate; one second of it is the capacity.
    """

    __slots__ = ('_balance', '_clock', '_refilled_s', 'bytes_per_s')

    def __init__(self, clock: clock_lib.Clock, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self._clock = clock
        self._balance = bytes_per_s
        self._refilled_s = clock.monotonic()

    def balance(self) -> float:
        """Returns the bytes that may be sent now; negative if overdrawn."""
        now_s = self._clock.monotonic()
        gained = (now_s - self._refilled_s) * self.bytes_per_s
        self._refilled_s = now_s
        self._balance = min(self.bytes_per_s, self._balance + gained)
        return self._balance

    def try_spend(self, size_bytes: int) -> bool:
        """Deducts bytes before they are sent if the balance covers them.

        Returns:
            Whether the bytes may be sent.
        """
        if self.balance() < size_bytes:
            return False
        self._balance -= size_bytes
        return True

    def charge(self, size_bytes: int) -> None:
        """Deducts bytes that were already transferred."""
        self._balance = self.balance() - size_bytes
