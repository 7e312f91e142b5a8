"""Membership of entry hosts: views, leases and ownership of targets."""

import abc

from ragwortchute import wire


class Membership(abc.ABC):
    """Membership of this host's region, as seen by this host."""

    @property
    @abc.abstractmethod
    def me(self) -> wire.Member:
        """This host."""

    @property
    @abc.abstractmethod
    def view(self) -> wire.View | None:
        """The adopted view, or None until the first one is adopted."""

    @abc.abstractmethod
    def live_members(self) -> list[wire.Member]:
        """Returns the members of all regions that aren't suspected to be down.

        Their incarnations are the latest known ones.
        """

    @abc.abstractmethod
    def serving_set(self, service: str, size: int) -> list[wire.Member]:
        """Returns the hosts of this region that serve a service.

        Hosts are in order of preference, and one host of each failure domain
        comes before the second host of any. Suspected members and failure
        domains that are out are excluded.

        Args:
            service: Name of the service.
            size: Largest number of hosts to return.
        """

    @abc.abstractmethod
    def lease_valid(self) -> bool:
        """Returns whether this host's lease is valid now."""

    @abc.abstractmethod
    def may_use_new_ownership(self) -> bool:
        """Returns whether this host may act as owner under the current epoch.

        True once majorities of the previous and of the current witnesses have
        adopted the epoch and all leases of earlier epochs have expired.
        Before that, the owner under an earlier epoch may still be active.
        """

    @abc.abstractmethod
    def owner(self, service: str, target: str, size: int) -> str:
        """Returns the host that owns a target while it is cold, or ''.

        The owner is computed from all members of the view, including those
        suspected to be down, so that all hosts of an epoch agree on it.

        Args:
            service: Name of the service.
            target: Name of the target.
            size: Size of the serving set that the owner is taken from.
        """
