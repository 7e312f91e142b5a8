"""The platform's list of hosts, and what its gaps mean."""

from collections import abc

from ragwortchute import stores

# The list may be read from a lagging copy, so a host counts as gone only after
# it was missing for this long.
_GONE_S = 10.0
# A member that the list never held may be too new for it.
_NEVER_LISTED_S = 30.0


class HostList:
    """The last list that was read.

    Attributes:
        listed: Entries by host name.
    """

    def __init__(self) -> None:
        self.listed: dict[str, stores.ListedHost] = {}
        self._gone_at_s: dict[str, float] = {}

    def update(
        self,
        items: abc.Iterable[stores.ListedHost],
        used: abc.Set[str],
        now_s: float,
    ) -> None:
        """Takes over a list.

        Args:
            items: The list as read.
            used: Other hosts that the view relies on.
            now_s: Monotonic time of the reading.
        """
        listed = {item.host: item for item in items}
        for host in self.listed.keys() - listed.keys():
            self._gone_at_s[host] = now_s + _GONE_S
        for host in used - listed.keys() - self.listed.keys():
            self._gone_at_s.setdefault(host, now_s + _NEVER_LISTED_S)
        for host in listed:
            self._gone_at_s.pop(host, None)
        self.listed = listed

    def heard(self, host: str) -> None:
        """Records a message from a host, which thus is not gone."""
        self._gone_at_s.pop(host, None)

    def gone(self, now_s: float) -> set[str]:
        """Returns the hosts that the platform has taken away."""
        return {host for host, at_s in self._gone_at_s.items() if at_s <= now_s}

    def leaving(self) -> set[str]:
        """Returns the hosts that the platform is about to take away."""
        return {host for host, item in self.listed.items() if item.leaving}
