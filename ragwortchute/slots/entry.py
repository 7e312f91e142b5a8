"""One target within the slots of a service."""

import dataclasses

import msgspec

from ragwortchute import balancers
from ragwortchute.targets import state as state_


class Prepared(msgspec.Struct, frozen=True):
    """An owner's question for an open connection that was answered yes.

    Attributes:
        host: The owner.
        incarnation: Incarnation that the owner brought through the ramp.
        generation: Generation of the connections at that instant.
    """

    host: str
    incarnation: str
    generation: int


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """What a service keeps per target, besides the target's state.

    Attributes:
        state: State of the target.
        candidate: The candidate of the state, for quick access.
        open: Whether document and failure domain permit new work.
        owner: Owner of the target under the last view seen.
        owned: Whether this host is the owner.
        own: Slots that the serving set gives to this host.
        slow: Whether the target is much slower than its service.
        failing: Whether the target answers 5xx far more often than the others.
        probe_s: Earliest time of the next probe of a slow or failing target.
        backoff_s: No new work before this time, after a failed connection
            or, on a cold target, after a request that was given up.
        episode: Counts the times this host stopped using the target; a lease
            of an earlier episode is unusable.
        pulled: Whether the other hosts were asked for proofs of warmth.
        gate_s: A cold target gets no work before this time unless all hosts
            in `unconfirmed` have confirmed.
        unconfirmed: Hosts that may still have requests on the cold target.
        waits_for_gains: Whether `gate_s` is set once gains are allowed.
        stop_epoch: Epoch of another owner that told this host to stop.
        ramped: Whether this process brought the target through its ramp.
        prepared: The last question of an owner answered yes.
        informed: Hosts that know of the warm target, with incarnations.
        reannounce_s: Announce only on an answer to a request sent later.
    """

    state: state_.TargetState
    candidate: balancers.Candidate
    open: bool = True
    owner: str = ''
    owned: bool = False
    own: int = 0
    slow: bool = False
    failing: bool = False
    probe_s: float = 0.0
    backoff_s: float = 0.0
    episode: int = 0
    pulled: bool = False
    gate_s: float = 0.0
    unconfirmed: set[str] = dataclasses.field(default_factory=set)
    waits_for_gains: bool = False
    stop_epoch: int = 0
    ramped: bool = False
    prepared: Prepared | None = None
    informed: dict[str, int] = dataclasses.field(default_factory=dict)
    reannounce_s: float = -1.0

    @property
    def preferred(self) -> bool:
        """Whether the target is neither slow nor failing."""
        return not self.slow and not self.failing

    def overflow_free(self, now_s: float) -> bool:
        """Tells whether one request beyond the share may be tried."""
        state = self.state
        return (
            state.overflow == 0
            and state.proved_warm()
            and not state.reported_full(now_s)
        )


def make_entry(state: state_.TargetState) -> Entry:
    """Returns a new entry of a target."""
    return Entry(state=state, candidate=state.candidate)
