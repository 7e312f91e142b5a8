"""Balancers, which choose the target of a call among the candidates."""

import abc
from collections import abc as cabc
import random

import msgspec

from ragwortchute import registry

REGISTRY: registry.Registry[type['Balancer']] = registry.Registry('balancer')


class Candidate(msgspec.Struct):
    """A target as seen by a balancer.

    Attributes:
        name: Name of the target.
        failure_domain: Its failure domain.
        slots: Slots of the target, over all hosts.
        share: Slots that this host may use now.
        in_flight: Requests of this host in flight on the target.
        latency_ms: Moving average of the latency, in milliseconds.
        reported_running: Requests that the target last reported to run; -1 if
            the report is too old or there is none.
        connected: Whether this host has an open connection to the target.
    """

    name: str
    failure_domain: str
    slots: int
    share: int
    in_flight: int
    latency_ms: float
    reported_running: int = -1
    connected: bool = True


class Balancer(abc.ABC):
    """Policy that chooses the target of a call.

    Args:
        rng: Random number generator.

    Attributes:
        bounded: Whether this host is limited to its shares, so that calls wait
            for a free slot.
        rng: Random number generator.
    """

    bounded = False

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    @abc.abstractmethod
    def choose(self, candidates: cabc.Sequence[Candidate]) -> Candidate | None:
        """Returns the chosen target, or None if the call must wait."""
