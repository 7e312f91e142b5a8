"""State of one target, as seen by this host."""

import enum

from ragwortchute import balancers
from ragwortchute import documents
from ragwortchute.targets import failures
from ragwortchute.targets import warmup

# The fast average follows a change of latency within about 4 answers, the slow
# one within about 100. When a target becomes slow, the slow average therefore
# still shows its normal latency.
_FAST_AVERAGE_WEIGHT = 0.25
_SLOW_AVERAGE_WEIGHT = 0.01
LOAD_REPORT_TTL_S = 0.05


class Phase(enum.StrEnum):
    """Phase of a target, which determines the requests it may get.

    Attributes:
        COLD: Only its owner may send, and has not started.
        WARMING: Its owner sends within the limits of the warm-up.
        WARM: All hosts may send within their shares.
        DRAINING: It gets no new requests.
        SUSPECT: It may have turned cold, or its process may have been
            replaced; only its owner may send.
    """

    COLD = 'cold'
    WARMING = 'warming'
    WARM = 'warm'
    DRAINING = 'draining'
    SUSPECT = 'suspect'


class TargetState:
    """State of a target.

    Args:
        target: The target, as defined in the service document.

    Attributes:
        target: The target, as defined in the service document.
        phase: Its phase.
        incarnation: Incarnation in the last answer, or an empty string.
        connections: Open connections of this host.
        generation: Connection generation, incremented when the first
            connection is opened. All connections of a generation lead to the
            same process.
        proved_generation: Connection generation in which the target was proved
            to be warm; -1 if it was not.
        limiter: Limits of the warm-up; None except on the owner during a
            warm-up.
        candidate: Number of requests, share and latency for the balancer.
        overflow: Requests in flight beyond the share of this host.
        answers: Counts the 5xx among the last answers.
        last_answer_s: Time of the last answer on the monotonic clock, in
            seconds; negative before the first.
        last_dispatch_s: When the request of that answer was sent.
        slow_streak: Number of consecutive slow answers.
        shed_streak: Number of consecutive sheds of requests within the share.
    """

    __slots__ = (
        '_fast_average_s',
        '_reported_at_s',
        '_slow_average_s',
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
        self._fast_average_s = 0.0
        self._slow_average_s = 0.0
        self._reported_at_s = -1.0

    @property
    def in_flight(self) -> int:
        """Requests of this host in flight, overflow included."""
        return self.candidate.in_flight + self.overflow

    @property
    def fast_average_s(self) -> float:
        """Fast-moving average latency in seconds; 0 before the first answer."""
        return self._fast_average_s

    @property
    def slow_average_s(self) -> float:
        """Slow-moving average latency in seconds; 0 before the first answer."""
        return self._slow_average_s

    def note_latency(self, latency_s: float) -> None:
        """Adds a latency, in seconds, to both averages."""
        if self._slow_average_s == 0.0:
            self._fast_average_s = self._slow_average_s = latency_s
        self._fast_average_s += _FAST_AVERAGE_WEIGHT * (
            latency_s - self._fast_average_s
        )
        self._slow_average_s += _SLOW_AVERAGE_WEIGHT * (
            latency_s - self._slow_average_s
        )
        self.candidate.latency_ms = self._fast_average_s * 1000

    def note_load_report(self, running: int, now_s: float) -> None:
        """Stores a load report of the target.

        Args:
            running: Requests that the target runs; negative if unknown.
            now_s: Time of the report on the monotonic clock, in seconds.
        """
        if running >= 0:
            self.candidate.reported_running = running
            self._reported_at_s = now_s

    def reported_full(self, now_s: float) -> bool:
        """Returns whether a recent load report shows all slots in use."""
        if now_s - self._reported_at_s > LOAD_REPORT_TTL_S:
            self.candidate.reported_running = -1
            return False
        return self.candidate.reported_running >= self.target.slots

    def proved_warm(self) -> bool:
        """Returns whether the open connections lead to a warm process."""
        return (
            self.phase is Phase.WARM
            and self.connections > 0
            and self.proved_generation == self.generation
        )

    def reset_process_state(self) -> None:
        """Resets what was learned of a process that ended or turned cold."""
        self.limiter = None
        self.proved_generation = -1
        self.slow_streak = 0
        self.shed_streak = 0
        self.answers.clear()
        self._fast_average_s = 0.0
        self._slow_average_s = 0.0
        self.candidate.latency_ms = 0.0
        self.candidate.reported_running = -1
        self._reported_at_s = -1.0
