"""Leases on the slots of one service."""

from typing import Protocol

from ragwortchute import slots
from ragwortchute.slots import entry as entry_


class LeaseIssuer(Protocol):
    """The part of `ServiceSlots` that its leases use."""

    def lease_usable(self, lease: 'Lease') -> bool:
        """Returns whether the request of a lease may be sent now."""
        ...

    def lease_released(
        self, lease: 'Lease', report: slots.AttemptReport
    ) -> None:
        """Releases the slot of a lease and evaluates its attempt."""
        ...


class Lease(slots.SlotLease):
    """A slot of a target that this host acquired.

    Args:
        service: The slots of the service, which check and release the lease.
        entry: Entry of the target.
        until_s: See attribute `until_s`.
        overflow: See attribute `overflow`.

    Attributes:
        target: The target to send to.
        entry: Entry of the target.
        episode: Episode of the entry in which the slot was acquired.
        overflow: Whether the slot is beyond the share of this host.
        until_s: End of the loan that provides the slot, on the monotonic
            clock in seconds; infinite if the slot is not borrowed.
        released: Whether the slot was released.
    """

    __slots__ = (
        '_service',
        'entry',
        'episode',
        'overflow',
        'released',
        'target',
        'until_s',
    )

    def __init__(
        self,
        service: LeaseIssuer,
        entry: entry_.Entry,
        until_s: float,
        overflow: bool = False,
    ) -> None:
        self._service = service
        self.entry = entry
        self.target = entry.state.target
        self.episode = entry.episode
        self.overflow = overflow
        self.until_s = until_s
        self.released = False

    def usable(self) -> bool:
        """Returns whether the request may still be sent."""
        return not self.released and self._service.lease_usable(self)

    def release(self, report: slots.AttemptReport) -> None:
        """Releases the slot; further calls do nothing."""
        if self.released:
            return
        self.released = True
        self._service.lease_released(self, report)
