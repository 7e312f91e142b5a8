"""Policies that choose a target among those that may take a call."""

import abc
from collections import abc as cabc
import random

import msgspec

from ragwortchute import registry

REGISTRY: registry.Registry[type['Balancer']] = registry.Registry('balancer')


class Candidate(msgspec.Struct):
    """What a policy sees of a target.

    Attributes:
        name: Name of the target.
        failure_domain: Its failure domain.
        slots: Slots of the target.
        share: Slots that this host may use now.
        in_flight: Requests of this host on the target.
        latency_ms: Moving average of the answers, in milliseconds.
        reported: Last reported running requests; -1 if stale or unknown.
        connected: Whether a connection is open.
    """

    name: str
    failure_domain: str
    slots: int
    share: int
    in_flight: int
    latency_ms: float
    reported: int = -1
    connected: bool = True


class Balancer(abc.ABC):
    """Chooses a target.

    Attributes:
        bounded: True if the policy sends only within the shares of this
            host, so that calls wait for a free slot.
    """

    bounded = False

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    @abc.abstractmethod
    def choose(self, candidates: cabc.Sequence[Candidate]) -> Candidate | None:
        """Returns the chosen target, or None if the call must wait."""
