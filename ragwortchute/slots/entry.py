"""State that a service keeps for each of its targets."""

import dataclasses

import msgspec

from ragwortchute import balancers
from ragwortchute.targets import state as state_


class Prepared(msgspec.Struct, frozen=True):
    """First step of a warm announcement that this host accepted.

    The second step is accepted only if owner, incarnation and connection
    generation are still the same.

    Attributes:
        host: The owner that sent the announcement.
        incarnation: Incarnation of the target that the owner warmed up.
        generation: Connection generation when this host accepted.
    """

    host: str
    incarnation: str
    generation: int


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """What a service keeps for a target in addition to `TargetState`.

    All times are on the monotonic clock, in seconds.

    Attributes:
        state: State of the target.
        candidate: `state.candidate`, stored here because it is read for every
            call.
        open: Whether the service document and the failure domain permit
            new work on the target.
        owner: Owner of the target under the last view seen.
        owned: Whether this host is the owner.
        own_slots: Slots of the target that the serving set assigns to this
            host.
        slow: Whether the target is much slower than the others of its
            service.
        failing: Whether the target answers 5xx far more often than the others.
        next_probe_s: Earliest time of the next probe while the target is slow
            or failing.
        backoff_until_s: The target gets no new work before this time. Set
            after a failed connection and, on a cold target, after a request
            that was cancelled or timed out.
        episode: Incremented whenever this host stops using the target. A lease
            taken in an earlier episode is unusable.
        pulled: Whether the other hosts were asked if the target is warm.
        cold_hold_until_s: A cold target gets no work before this time, unless
            `unconfirmed` is empty.
        unconfirmed: Hosts that may still have requests on the cold target.
        awaiting_gains: Whether `cold_hold_until_s` is still to be set, once
            the membership permits the use of newly owned targets.
        stop_epoch: Highest epoch in which another owner told this host to stop
            using the target.
        ramped: Whether this process warmed the target up.
        prepared: First step of a warm announcement accepted by this host.
        informed: Hosts that were told that the target is warm, with their
            incarnations.
        announce_after_s: The target is announced as warm only after an answer
            to a request that was sent at or after this time.
    """

    state: state_.TargetState
    candidate: balancers.Candidate
    open: bool = True
    owner: str = ''
    owned: bool = False
    own_slots: int = 0
    slow: bool = False
    failing: bool = False
    next_probe_s: float = 0.0
    backoff_until_s: float = 0.0
    episode: int = 0
    pulled: bool = False
    cold_hold_until_s: float = 0.0
    unconfirmed: set[str] = dataclasses.field(default_factory=set)
    awaiting_gains: bool = False
    stop_epoch: int = 0
    ramped: bool = False
    prepared: Prepared | None = None
    informed: dict[str, int] = dataclasses.field(default_factory=dict)
    announce_after_s: float = -1.0

    @property
    def preferred(self) -> bool:
        """Whether the target is neither slow nor failing."""
        return not self.slow and not self.failing

    def may_overflow(self, now_s: float) -> bool:
        """Returns whether one request beyond the share may be sent."""
        state = self.state
        return (
            state.overflow == 0
            and state.proved_warm()
            and not state.reported_full(now_s)
        )


def make_entry(state: state_.TargetState) -> Entry:
    """Returns a new entry for the target of a state."""
    return Entry(state=state, candidate=state.candidate)
