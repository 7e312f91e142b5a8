"""Tracks which hosts the platform lists and which it has removed."""

from collections import abc

from ragwortchute import stores

# The list may come from a stale replica of the store, so a host counts as
# removed only after it has been missing for this long.
_REMOVAL_DELAY_S = 10.0
# A member that was never listed may be newer than the list.
_UNLISTED_REMOVAL_DELAY_S = 30.0


class HostList:
    """The platform's host list as last read, and the hosts removed from it.

    Attributes:
        listed: Entries by host name.
    """

    def __init__(self) -> None:
        self.listed: dict[str, stores.ListedHost] = {}
        self._removed_at_s: dict[str, float] = {}

    def update(
        self,
        items: abc.Iterable[stores.ListedHost],
        used: abc.Set[str],
        now_s: float,
    ) -> None:
        """Replaces the list.

        Args:
            items: Entries of the list just read.
            used: Members and witnesses of the view, without this host.
            now_s: Monotonic time of the read in seconds.
        """
        listed = {item.host: item for item in items}
        for host in self.listed.keys() - listed.keys():
            self._removed_at_s[host] = now_s + _REMOVAL_DELAY_S
        for host in used - listed.keys() - self.listed.keys():
            self._removed_at_s.setdefault(
                host, now_s + _UNLISTED_REMOVAL_DELAY_S
            )
        for host in listed:
            self._removed_at_s.pop(host, None)
        self.listed = listed

    def record_contact(self, host: str) -> None:
        """Cancels the pending removal of a host that sent a message."""
        self._removed_at_s.pop(host, None)

    def removed(self, now_s: float) -> set[str]:
        """Returns the hosts that the platform has removed.

        Args:
            now_s: Monotonic time in seconds.
        """
        return {
            host for host, at_s in self._removed_at_s.items() if at_s <= now_s
        }

    def leaving(self) -> set[str]:
        """Returns the hosts that the platform is about to remove."""
        return {host for host, item in self.listed.items() if item.leaving}
