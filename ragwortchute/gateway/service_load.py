"""What the readings of probes tell about the targets of a service."""

from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway.admission import room

# Mean slowness that is assumed at first, and the number of readings that the
# assumption counts as.
INITIAL_MEAN_SLOWNESS = 1.8
_INITIAL_READINGS = 5
_SMOOTHING = 0.02


class ServiceLoad:
    """Mean slowness and fullness of the targets of a service.

    Attributes:
        mean_slowness: Mean slowness of its targets.
        fullness: Share of its targets without a slot below the knee.
    """

    __slots__ = ('_readings', 'fullness', 'mean_slowness')

    def __init__(self) -> None:
        self.mean_slowness = INITIAL_MEAN_SLOWNESS
        self.fullness = room.Fullness()
        self._readings = _INITIAL_READINGS

    def note(self, reading: dialects.Reading) -> None:
        """Adds the reading of a probe."""
        self._readings += 1
        weight = max(_SMOOTHING, 1 / self._readings)
        self.mean_slowness += (reading.slowness - self.mean_slowness) * weight
        self.fullness.note(reading)
