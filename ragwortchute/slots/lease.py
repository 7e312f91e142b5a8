"""Slots that this host took."""

from typing import Protocol

from ragwortchute import slots
from ragwortchute.slots import entry as entry_


class Slots(Protocol):
    """The slots of a service, as far as its leases are concerned."""

    def lease_usable(self, lease: 'Lease') -> bool:
        """Tells whether the request of a lease may be sent now."""
        ...

    def lease_released(
        self, lease: 'Lease', report: slots.AttemptReport
    ) -> None:
        """Gives a slot back and learns from the attempt."""
        ...


class Lease(slots.SlotLease):
    """A slot of a target, taken by this host.

    Attributes:
        target: The target to send to.
        entry: Entry of the target.
        episode: Episode of the entry in which the slot was taken.
        overflow: Whether the slot is beyond the share of this host.
        until_s: End of the loan that the slot rests on; infinite if it is
            this host's own.
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
        service: Slots,
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
        """Tells whether the request may still be sent at this instant."""
        return not self.released and self._service.lease_usable(self)

    def release(self, report: slots.AttemptReport) -> None:
        """Gives the slot back."""
        if self.released:
            return
        self.released = True
        self._service.lease_released(self, report)
