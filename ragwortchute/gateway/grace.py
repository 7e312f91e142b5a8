"""Decides which requests can still end before a stopping host ends."""

import collections
import heapq

from ragwortchute.gateway import attempts
from ragwortchute.gateway import model

# A request may take this many times as long as the others have lately.
DURATION_FACTOR = 1.5
# Number of durations that are kept for each route.
RECENT_DURATIONS = 64
# One in this many requests may have taken longer than what is expected, and one
# of fewer if there are as many as this.
EXCEPTIONS_ONE_IN = 32
MIN_FOR_EXCEPTION = 8


class GracePeriod:
    """Time that a stopping host has left, and what requests need of it.

    Load: routes whose timeout is longer than the rest of the grace period. To
    refuse all their requests would turn away many that take far less; to pass
    on all would cut those that take longer, without an answer. A request that
    is refused can be sent to another host at once.

    Attributes:
        ends_s: Loop time at which this host ends, in seconds; infinity unless
            it is stopping.
    """

    __slots__ = ('_durations_s', 'ends_s')

    def __init__(self) -> None:
        self.ends_s = float('inf')
        self._durations_s: dict[str, collections.deque[float]] = {}

    def note_duration(self, route: model.Route, duration_s: float) -> None:
        """Adds the duration of an attempt.

        Args:
            route: Route of the request.
            duration_s: Time from its sending to its end in seconds.
        """
        durations_s = self._durations_s.get(route.name)
        if durations_s is None:
            durations_s = collections.deque(maxlen=RECENT_DURATIONS)
            self._durations_s[route.name] = durations_s
        durations_s.append(duration_s)

    def can_end(self, call: attempts.Call, now_s: float) -> bool:
        """Returns whether a request can be expected to end in time.

        The first one on a route may take all of its time.

        Args:
            call: The request.
            now_s: Loop time in seconds.
        """
        left_s = self.ends_s - now_s
        if call.deadline_s - now_s <= left_s:
            return True
        durations_s = self._durations_s.get(call.route.name)
        if durations_s is None:
            return False
        exceptions = len(durations_s) // EXCEPTIONS_ONE_IN
        if len(durations_s) >= MIN_FOR_EXCEPTION:
            exceptions = max(1, exceptions)
        usual_s = heapq.nlargest(exceptions + 1, durations_s)[-1]
        return usual_s * DURATION_FACTOR <= left_s
