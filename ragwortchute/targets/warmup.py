"""Limits of the requests that a cold target gets from its owner."""

import math

from ragwortchute import documents

# A step of the warm-up also needs this many answers, because time without
# requests does not warm a target.
ANSWERS_PER_STEP = 4


class WarmupLimiter:
    """Limits of one warm-up, whose concurrency and rate double at each step.

    A step ends once it has lasted `ramp_s` seconds and `ANSWERS_PER_STEP`
    answers have arrived. After the last step the target may use all its slots.
    A shed returns the warm-up to the previous step.

    Args:
        slots: Slots of the target when warm.
        cold_start: Limits of the first step, and the duration of a step.
        now_s: Present time on the monotonic clock, in seconds.

    Attributes:
        slots: Slots of the target when warm.
    """

    __slots__ = (
        '_answers',
        '_cold_start',
        '_has_answer',
        '_started',
        '_step',
        '_step_s',
        '_step_started_s',
        '_steps',
        '_tokens',
        '_updated_s',
        'slots',
    )

    def __init__(
        self, slots: int, cold_start: documents.ColdStart, now_s: float
    ) -> None:
        self.slots = slots
        self._cold_start = cold_start
        ratio = max(1.0, slots / max(1, cold_start.concurrency))
        self._steps = max(1, math.ceil(math.log2(ratio)))
        self._step_s = cold_start.ramp_s
        self._step = 0
        self._step_started_s = now_s
        self._answers = 0
        self._has_answer = False
        self._started = False
        self._tokens = 1.0
        self._updated_s = now_s

    @property
    def done(self) -> bool:
        """Whether the warm-up is complete."""
        return self._step >= self._steps

    @property
    def has_answer(self) -> bool:
        """Whether an answer has arrived in this warm-up."""
        return self._has_answer

    @property
    def limit(self) -> int:
        """Number of requests that may be in flight."""
        concurrency = max(1, self._cold_start.concurrency) << self._step
        return min(self.slots, concurrency)

    @property
    def rate_per_s(self) -> float:
        """Number of requests that may start per second."""
        return self._cold_start.rate_per_s * (1 << self._step)

    def ready(self, in_flight: int, now_s: float) -> bool:
        """Returns whether another request may start now.

        Args:
            in_flight: Requests in flight on the target.
            now_s: Present time on the monotonic clock, in seconds.
        """
        if in_flight >= self.limit:
            return False
        gained = (now_s - self._updated_s) * self.rate_per_s
        # At most one token is kept, so that no burst follows idle time.
        self._tokens = min(1.0, self._tokens + gained)
        self._updated_s = now_s
        # Rounding errors may keep the sum of small gains slightly below 1.
        return self._tokens >= 1.0 - 1e-9

    def start(self, now_s: float) -> None:
        """Counts the start of a request; the first one starts the warm-up.

        `ready` must have returned True for the same `now_s`.
        """
        self._tokens -= 1.0
        if not self._started:
            self._started = True
            self._step_started_s = now_s

    def answered(self, now_s: float) -> None:
        """Counts an answer and enters the next step if this one is complete."""
        self._answers += 1
        self._has_answer = True
        if now_s - self._step_started_s < self._step_s:
            return
        if self._answers >= ANSWERS_PER_STEP:
            self._enter_step(self._step + 1, now_s)

    def shed(self, now_s: float) -> None:
        """Returns to the previous step because the target is overloaded."""
        self._enter_step(max(0, self._step - 1), now_s)

    def _enter_step(self, step: int, now_s: float) -> None:
        self._step = step
        self._step_started_s = now_s
        self._answers = 0
