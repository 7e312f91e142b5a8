"""Rollout orders and the record of their progress.

The object of an order in the store is the authoritative record. Its `spec` is
the order, its `status` the state and the phase that all hosts follow.
"""

import enum

import msgspec

RUNNING = 'running'
SUCCEEDED = 'succeeded'
ROLLED_BACK = 'rolled_back'


class Phase(enum.IntEnum):
    """Phase of a rollout; later ones have higher numbers."""

    NONE = 0
    OBSERVE = 1
    WIDEN = 2
    MOVE = 3
    DRAIN = 4
    SUCCEEDED = 5
    ROLLED_BACK = 6


class Record(msgspec.Struct, frozen=True):
    """Order of a service and its progress, as read from the store.

    Attributes:
        service: Name of the service.
        version: Version that the order names, empty if it can't be read.
        duration_s: Time until the deadline of the order in seconds.
        revision: Revision of the object.
        phase: Phase according to the status, `NONE` if the order has not been
            taken up.
        order_id: Revision at which the order was taken up, 0 before that. It
            tells an order from a later one for the same version.
        settled_version: Version of a terminal status that belongs to an earlier
            order, empty if there is none.
        settled_phase: Phase of that status.
        problem: Why the order can't be carried out, empty if it can.
        refused: Versions that earlier orders have replaced or rolled back, for
            hosts that have started since then.
    """

    service: str
    version: str
    duration_s: float
    revision: int
    phase: Phase = Phase.NONE
    order_id: int = 0
    settled_version: str = ''
    settled_phase: Phase = Phase.NONE
    problem: str = ''
    refused: tuple[str, ...] = ()

    @property
    def running(self) -> bool:
        """Whether the order has been taken up and has no outcome yet."""
        return Phase.OBSERVE <= self.phase <= Phase.DRAIN

    @property
    def ended(self) -> bool:
        """Whether the order has an outcome."""
        return self.phase >= Phase.SUCCEEDED


def is_other_order(old: Record, new: Record) -> bool:
    """Returns whether a later record belongs to another order."""
    if old.version != new.version:
        return True
    return old.order_id != 0 and new.order_id != old.order_id


class Status(msgspec.Struct, frozen=True, omit_defaults=True):
    """Status of an order as it is stored.

    Attributes:
        state: `running`, `succeeded` or `rolled_back`.
        target_version: Version that the state belongs to.
        phase: Name of the phase, in lower case.
        order_id: See `Record`.
        reason: Why the order was rolled back.
        refused: See `Record`.
    """

    state: str
    target_version: str
    phase: str = ''
    order_id: int = 0
    reason: str = ''
    refused: tuple[str, ...] = ()


def make_status(
    record: Record,
    phase: Phase,
    reason: str = '',
    refused: tuple[str, ...] = (),
) -> Status:
    """Returns the status by which an order enters a phase.

    Args:
        record: The record that the status is written over.
        phase: The phase.
        reason: Why the order is rolled back, else empty.
        refused: Versions that earlier orders have replaced or rolled back.
    """
    state = {
        Phase.SUCCEEDED: SUCCEEDED,
        Phase.ROLLED_BACK: ROLLED_BACK,
    }.get(phase, RUNNING)
    return Status(
        state,
        record.version,
        phase.name.lower(),
        record.order_id or record.revision,
        reason,
        refused,
    )


def phase_of(status: Status) -> Phase:
    """Returns the phase of a status.

    A status that another program has written may have no known phase; its
    state decides then.
    """
    if status.state == SUCCEEDED:
        return Phase.SUCCEEDED
    if status.state == ROLLED_BACK:
        return Phase.ROLLED_BACK
    if status.state != RUNNING:
        return Phase.NONE
    phase = Phase.__members__.get(status.phase.upper(), Phase.OBSERVE)
    return phase if phase <= Phase.DRAIN else Phase.OBSERVE
