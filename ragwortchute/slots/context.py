"""Dependencies and settings shared by the modules of slot selection."""

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
    """Dependencies and settings of the slots of one host.

    Attributes:
        clock: Source of time.
        membership: View, lease and serving sets.
        table: States of the targets.
        rng: Random number generator.
        domain_open: Returns whether the targets of a failure domain, given by
            name, accept work.
        post: Sends a message to a host, given by name, without waiting.
        wake: Requests prompt upkeep of a service, given by name.
        events: Table on which events are emitted.
        traffic: Byte budget of loan messages.
        loan_s: Term of a loan, in seconds.
        hedge_percent: Hedges allowed per 100 calls.
        retry_percent: Retries allowed per 100 calls.
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
