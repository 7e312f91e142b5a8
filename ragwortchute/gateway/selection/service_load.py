"""What the readings of probes tell about the targets of a service."""

from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway.admission import room

# Mean slowness that is assumed at first, and the number of readings that the
# assumption counts as.
INITIAL_MEAN_SLOWNESS = 1.8
_INITIAL_READINGS = 5
_SMOOTHING = 0.02
# Weight of a duration in the persistence.
_PERSISTENCE_SMOOTHING = 0.05


class ServiceLoad:
    """Speed and fullness of the targets of a service.

    Attributes:
        mean_slowness: Mean slowness of its targets.
        fullness: Share of its targets without a slot below the knee.
        persistence: Share of the work of a request for which its target keeps
            the slowness at which it started, 0 to 1.
    """

    __slots__ = ('_readings', 'fullness', 'mean_slowness', 'persistence')

    def __init__(self) -> None:
        self.mean_slowness = INITIAL_MEAN_SLOWNESS
        self.fullness = room.Fullness()
        self.persistence = 1.0
        self._readings = _INITIAL_READINGS

    def note(self, reading: dialects.Reading) -> None:
        """Adds the reading of a probe."""
        self._readings += 1
        weight = max(_SMOOTHING, 1 / self._readings)
        self.mean_slowness += (reading.slowness - self.mean_slowness) * weight
        self.fullness.note(reading)

    def run_slowness(self, slowness: float) -> float:
        """Returns the mean slowness of work that starts at a slowness."""
        return (
            self.persistence * slowness
            + (1 - self.persistence) * self.mean_slowness
        )

    def note_duration(self, slowness: float, observed: float) -> None:
        """Learns from a duration whether targets keep their slowness.

        Args:
            slowness: Slowness of the target as the work started.
            observed: Duration as a multiple of the expected work at slowness 1.
        """
        difference = slowness - self.mean_slowness
        weight = difference**2 / (self.mean_slowness**2 + difference**2)
        if not weight:
            return
        kept = (observed - self.mean_slowness) / difference
        kept = min(1.0, max(0.0, kept))
        self.persistence += (
            (kept - self.persistence) * weight * _PERSISTENCE_SMOOTHING
        )
