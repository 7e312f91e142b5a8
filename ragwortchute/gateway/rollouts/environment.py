"""What the rollouts of a host depend on beside its own requests."""

from ragwortchute.gateway.rollouts import neighbours


class Environment:
    """What a participant asks of its host; tests replace it with a fake."""

    def neighbours(self, now_s: float) -> neighbours.Neighbours:
        """Returns the hosts that may be alive, silent ones included."""
        raise NotImplementedError

    def longest_s(self, service: str) -> float:
        """Returns the longest time of a request of a service in seconds."""
        raise NotImplementedError

    def obstacle(self, service: str, version: str) -> str:
        """Returns why a version can't be judged, empty if it can."""
        raise NotImplementedError

    def is_warm(self, service: str, version: str, now_s: float) -> bool:
        """Returns whether no target of a version is cold."""
        raise NotImplementedError
