"""State of one target as this host sees it."""

import enum

from ragwortchute import balancers
from ragwortchute import documents
from ragwortchute.targets import failures
from ragwortchute.targets import warmup

# The fast average follows a change of speed within about 4 answers, the slow
# one within about 100, so that it still holds the normal latency when a
# target turns slow.
_FAST_WEIGHT = 0.25
_SLOW_WEIGHT = 0.01
REPORT_LIFE_S = 0.05


class Phase(enum.StrEnum):
    """How far a target may be used."""

    COLD = 'cold'
    WARMING = 'warming'
    WARM = 'warm'
    DRAINING = 'draining'
    SUSPECT = 'suspect'


class TargetState:
    """What this host knows of a target.

    Attributes:
        target: The target of the document.
        phase: How far the target may be used.
        incarnation: Incarnation in the last answer, or an empty string.
        connections: Open connections of this host.
        generation: Counts the changes from no connection to one; within a
            generation the connections lead to one process.
        proved_generation: Generation in which the target was proved warm.
        limiter: Limits of the ramp, at its owner.
        candidate: In-flight count, share and latency for the balancer.
        overflow: Requests of this host beyond its share.
        answers: Which of the last answers were 5xx.
        last_answer_s: When the last answer came; negative before the first.
        last_dispatch_s: When the request of the last answer was sent.
        slow_streak: Slow answers in a row.
        shed_streak: Sheds below the share in a row.
    """

    __slots__ = (
        '_fast_s',
        '_reported_at_s',
        '_slow_s',
        'answers',
        'candidate',
        'connections',
        'generation',
        'incarnation',
        'last_answer_s',
        'last_dispatch_s',
        'limiter',
        'overflow',
        'phase',
        'proved_generation',
        'shed_streak',
        'slow_streak',
        'target',
    )

    def __init__(self, target: documents.Target) -> None:
        self.target = target
        self.phase = Phase.COLD
        self.incarnation = ''
        self.connections = 0
        self.generation = 0
        self.proved_generation = -1
        self.limiter: warmup.WarmupLimiter | None = None
        self.candidate = balancers.Candidate(
            name=target.name,
            failure_domain=target.failure_domain,
            slots=target.slots,
            share=0,
            in_flight=0,
            latency_ms=0.0,
            connected=False,
        )
        self.overflow = 0
        self.answers = failures.RecentAnswers()
        self.last_answer_s = -1.0
        self.last_dispatch_s = -1.0
        self.slow_streak = 0
        self.shed_streak = 0
        self._fast_s = 0.0
        self._slow_s = 0.0
        self._reported_at_s = -1.0

    @property
    def in_flight(self) -> int:
        """Requests of this host on the target, overflow included."""
        return self.candidate.in_flight + self.overflow

    @property
    def fast_s(self) -> float:
        """Fast moving average of the latency; 0 before the first answer."""
        return self._fast_s

    @property
    def slow_s(self) -> float:
        """Slow moving average of the latency; 0 before the first answer."""
        return self._slow_s

    def note_latency(self, latency_s: float) -> None:
        """Adds a latency to both averages."""
        if self._slow_s == 0.0:
            self._fast_s = self._slow_s = latency_s
        self._fast_s += _FAST_WEIGHT * (latency_s - self._fast_s)
        self._slow_s += _SLOW_WEIGHT * (latency_s - self._slow_s)
        self.candidate.latency_ms = self._fast_s * 1000

    def note_report(self, running: int, now_s: float) -> None:
        """Keeps a load report of the target."""
        if running >= 0:
            self.candidate.reported = running
            self._reported_at_s = now_s

    def reported_full(self, now_s: float) -> bool:
        """Tells whether a fresh report says that all slots are in use."""
        if now_s - self._reported_at_s > REPORT_LIFE_S:
            self.candidate.reported = -1
            return False
        return self.candidate.reported >= self.target.slots

    def proved_warm(self) -> bool:
        """Tells whether an open connection leads to the warm process."""
        return (
            self.phase is Phase.WARM
            and self.connections > 0
            and self.proved_generation == self.generation
        )

    def forget(self) -> None:
        """Drops what was learned of a process that is gone or cold again."""
        self.limiter = None
        self.proved_generation = -1
        self.slow_streak = 0
        self.shed_streak = 0
        self.answers.clear()
        self._fast_s = 0.0
        self._slow_s = 0.0
        self.candidate.latency_ms = 0.0
        self.candidate.reported = -1
        self._reported_at_s = -1.0
