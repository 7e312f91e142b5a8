"""What the parts of slot selection share."""

from collections import abc
import dataclasses
import random

from ragwortchute import clock as clock_
from ragwortchute import events as events_
from ragwortchute import membership as membership_
from ragwortchute import wire
from ragwortchute.slots import traffic as traffic_
from ragwortchute.targets import table as table_


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Surroundings of the slots of one host.

    Attributes:
        clock: Source of time.
        membership: View, lease and serving sets.
        table: States of the targets.
        rng: Source of random choices.
        domain_open: Tells whether targets of a failure domain take work.
        post: Sends a message to a host without waiting.
        wake: Asks for an early upkeep of a service, by name.
        events: Events that others connect to.
        loan_s: Term of loans, in seconds.
        hedge_percent: Hedges per 100 calls.
        retry_percent: Retries per 100 calls.
        traffic: Budget of the messages of loans.
    """

    clock: clock_.Clock
    membership: membership_.Membership
    table: table_.TargetTable
    rng: random.Random
    domain_open: abc.Callable[[str], bool]
    post: abc.Callable[[str, wire.Message], None]
    wake: abc.Callable[[str], None]
    events: events_.EventTable
    traffic: traffic_.SlotTraffic
    loan_s: float = 1.0
    hedge_percent: float = 5.0
    retry_percent: float = 10.0
