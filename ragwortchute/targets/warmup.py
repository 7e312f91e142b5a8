"""What the owner of a cold target may send to it."""

import math

from ragwortchute import documents

# A ramp must rest on answers: time alone does not warm a target.
ANSWERS_PER_STEP = 4


class WarmupLimiter:
    """Limits of one ramp: concurrency and rate double step by step.

    A step lasts `ramp_s`, and the last one ends at the full slots. A step also
    ends only after `ANSWERS_PER_STEP` answers, and a shed goes back by one
    step.

    Args:
        slots: Slots of the target when warm.
        cold_start: Limits of the first step.
        now_s: Present time on the monotonic clock, in seconds.
    """

    __slots__ = (
        '_answers',
        '_base',
        '_begun',
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
        self._base = cold_start
        ratio = max(1.0, slots / max(1, cold_start.concurrency))
        self._steps = max(1, math.ceil(math.log2(ratio)))
        self._step_s = cold_start.ramp_s
        self._step = 0
        self._step_started_s = now_s
        self._answers = 0
        self._begun = False
        self._started = False
        self._tokens = 1.0
        self._updated_s = now_s

    @property
    def done(self) -> bool:
        """Whether the ramp is complete."""
        return self._step >= self._steps

    @property
    def begun(self) -> bool:
        """Whether an answer has arrived in this ramp."""
        return self._begun

    @property
    def limit(self) -> int:
        """Requests that may be in flight."""
        concurrency = max(1, self._base.concurrency) << self._step
        return min(self.slots, concurrency)

    @property
    def rate_per_s(self) -> float:
        """Requests that may start per second."""
        return self._base.rate_per_s * (1 << self._step)

    def ready(self, in_flight: int, now_s: float) -> bool:
        """Tells whether another request may start now."""
        if in_flight >= self.limit:
            return False
        gained = (now_s - self._updated_s) * self.rate_per_s
        # One token at most, so that idle time allows no burst.
        self._tokens = min(1.0, self._tokens + gained)
        self._updated_s = now_s
        # Sums of small steps miss 1 by rounding errors.
        return self._tokens >= 1.0 - 1e-9

    def start(self, now_s: float) -> None:
        """Counts a request that starts; `ready` was true at this instant.

        The first one starts the ramp.
        """
        self._tokens -= 1.0
        if not self._started:
            self._started = True
            self._step_started_s = now_s

    def answered(self, now_s: float) -> None:
        """Counts an answer and ends the step if it is complete."""
        self._answers += 1
        self._begun = True
        if now_s - self._step_started_s < self._step_s:
            return
        if self._answers >= ANSWERS_PER_STEP:
            self._begin(self._step + 1, now_s)

    def shed(self, now_s: float) -> None:
        """Goes back by one step because the target could not bear this one."""
        self._begin(max(0, self._step - 1), now_s)

    def _begin(self, step: int, now_s: float) -> None:
        self._step = step
        self._step_started_s = now_s
        self._answers = 0
