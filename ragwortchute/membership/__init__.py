"""Which hosts act together: views, leases and what follows from them."""

import abc

from ragwortchute import wire


class Membership(abc.ABC):
    """The view of this host's region, and what it allows this host."""

    @property
    @abc.abstractmethod
    def me(self) -> wire.Member:
        """This host."""

    @property
    @abc.abstractmethod
    def view(self) -> wire.View | None:
        """The adopted view, or None before the first."""

    @abc.abstractmethod
    def live_members(self) -> list[wire.Member]:
        """Returns the members of all regions that are not suspected."""

    @abc.abstractmethod
    def serving_set(self, service: str, size: int) -> list[wire.Member]:
        """Returns the hosts of this region that serve a service, best first.

        Different failure domains come first; failure domains that are out
        are passed over. Suspected members are left out.
        """

    @abc.abstractmethod
    def lease_valid(self) -> bool:
        """Tells whether this host's lease is valid at this instant."""

    @abc.abstractmethod
    def gains_allowed(self) -> bool:
        """Tells whether what the current epoch gave to this host is usable.

        True once a majority of the previous witnesses adopted the epoch and
        their last leases have lapsed.
        """

    @abc.abstractmethod
    def owner(self, service: str, target: str, size: int) -> str:
        """Returns the host that owns a target while it is cold, or ''.

        Computed over all members of the view, dead ones included, so that
        two hosts of one epoch never differ.
        """
