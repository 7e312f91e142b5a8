"""What this host learns from the durations of attempts."""

from ragwortchute.gateway import attempts
from ragwortchute.gateway import grace
from ragwortchute.gateway.selection import candidates
from ragwortchute.gateway.selection import work_times as work_times_


class Measurements:
    """Records the durations of attempts.

    Args:
        selector: Knows the slowness of targets.
        work_times: Mean processing times by route.
        grace_period: Latest durations by route.
    """

    __slots__ = ('_grace_period', '_selector', '_work_times')

    def __init__(
        self,
        selector: candidates.TargetSelector,
        work_times: work_times_.WorkTimes,
        grace_period: grace.GracePeriod,
    ) -> None:
        self._selector = selector
        self._work_times = work_times
        self._grace_period = grace_period

    def note_end(
        self, call: attempts.Call, attempt: attempts.Attempt, now_s: float
    ) -> None:
        """Records that a target has ended a request, well or not."""
        self._grace_period.note_duration(call.route, now_s - attempt.sent_s)

    def note_abort(
        self, call: attempts.Call, attempt: attempts.Attempt, now_s: float
    ) -> None:
        """Records that an attempt was given up.

        One that another target was faster than tells nothing.
        """
        if not call.answered_by:
            self.note_end(call, attempt, now_s)

    def note_success(
        self, call: attempts.Call, attempt: attempts.Attempt, now_s: float
    ) -> None:
        """Updates the mean processing time at slowness 1 of a route.

        Attempts that had to queue or ran on a cold target are left out.
        """
        reading = attempt.placement.reading
        slots = max(1, reading.slots)
        if reading.running + reading.waiting >= slots or reading.cold_s > 0:
            return
        load = self._selector.load(attempt.target.entry.service)
        elapsed_s = now_s - attempt.sent_s - attempt.target.rtt_s
        if self._work_times.is_known(call.route):
            work_s = self._work_times.expected_s(call.route)
            load.note_duration(reading.slowness, elapsed_s / work_s)
        slowness = load.run_slowness(reading.slowness)
        self._work_times.record(call.route, elapsed_s / max(1.0, slowness))
