"""What a host may rely on when it follows the records of rollouts."""

import msgspec

# How long a host acts on a copy of the record that is not confirmed.
LEASE_S = 1.2


class Trust(msgspec.Struct, frozen=True):
    """What a host may rely on at a moment.

    Attributes:
        now_s: Loop time in seconds.
        confirmed_s: Loop time at which the copy of the record is known to have
            been the newest.
        reaches_most: Whether this host hears most of the hosts it knows.
        isolated: Whether an order may be under way that this host can't learn
            of: it does not reach the store and hears few other hosts.
        hosts: Number of hosts that may be alive.
        contact_lease_s: How long after a report that a coordinator has replied
            to a host may act on an unconfirmed copy, in seconds.
    """

    now_s: float
    confirmed_s: float
    reaches_most: bool
    isolated: bool
    hosts: int
    contact_lease_s: float

    @property
    def has_read(self) -> bool:
        """Whether the records have been read since the start of this host."""
        return self.confirmed_s > float('-inf')

    @property
    def confirmed(self) -> bool:
        """Whether the copy of the record was confirmed recently."""
        return self.now_s - self.confirmed_s <= LEASE_S
