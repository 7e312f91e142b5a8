"""Which versions of a service are in use when no order is running."""

from collections import abc

import msgspec

from ragwortchute.gateway.selection import targets as targets_

# A version that appears beside others gets no request for this long if no order
# names it. Targets of a rollout register at about the time of the order.
SETTLE_S = 30.0
# When a host starts and finds several versions but no order, targets that were
# born at least this long ago count as in use.
IN_USE_AGE_S = 60.0


class SeenTarget(msgspec.Struct, frozen=True):
    """What matters of a target here.

    Attributes:
        version: Version of its software.
        born_ms: Start of its process in Unix milliseconds.
        ready: Whether it takes requests.
    """

    version: str
    born_ms: int
    ready: bool


def seen_targets(
    targets: abc.Iterable[targets_.Target],
) -> list[SeenTarget]:
    """Returns what matters of targets for their versions."""
    return [
        SeenTarget(
            target.entry.software_version,
            target.entry.born_ms,
            target.entry.ready,
        )
        for target in targets
    ]


class Versions:
    """Versions of one service.

    Attributes:
        used: Versions that are in use.
        refused: Versions that an order has replaced or rolled back.
        waiting: Other versions and the loop time at which they were first
            seen, in seconds.
    """

    __slots__ = ('_unready_s', 'refused', 'used', 'waiting')

    def __init__(self) -> None:
        self.used: set[str] = set()
        self.refused: set[str] = set()
        self.waiting: dict[str, float] = {}
        # Loop time since which no version in use has a ready target.
        self._unready_s = float('inf')

    @property
    def single(self) -> bool:
        """Whether the service has no more than one version."""
        return len(self.used) < 2 and not self.waiting and not self.refused

    def knows(self, version: str) -> bool:
        """Returns whether a version has been classified."""
        return (
            version in self.used
            or version in self.refused
            or version in self.waiting
        )

    def update(
        self,
        targets: abc.Collection[SeenTarget],
        ordered: str | None,
        now_s: float,
        now_ms: int,
        read_s: float = float('inf'),
    ) -> list[str]:
        """Classifies the versions of the registered targets.

        Args:
            targets: All targets of the service.
            ordered: Version that an order without an outcome names, empty if
                it can't be read, None without an order.
            now_s: Loop time in seconds.
            now_ms: Unix time in milliseconds.
            read_s: Loop time until which all orders are known.

        Returns:
            The versions that are in use from now on, though no order has
            settled that.
        """
        seen = {target.version for target in targets}
        if not self.used:
            self._begin(targets, seen - self.refused, ordered, now_ms)
        for version in seen:
            if not self.knows(version):
                self.waiting[version] = now_s
        for version in [*self.waiting]:
            if version not in seen:
                del self.waiting[version]
        return self._adopt(targets, ordered, now_s, read_s)

    def settle(self, version: str, *, succeeded: bool) -> None:
        """Applies the outcome of an order.

        Args:
            version: Version that the order names.
            succeeded: Whether the service was moved to it.
        """
        if succeeded:
            self.refused |= self.used | set(self.waiting)
            self.used = {version}
            self.refused.discard(version)
            self.waiting.clear()
        elif self.used != {version}:
            self.used.discard(version)
            self.waiting.pop(version, None)
            self.refused.add(version)

    def withdraw_order(self, version: str) -> None:
        """Notes that an order was withdrawn before its outcome.

        Its version gets requests only if no other one is left.
        """
        if version in self.waiting:
            self.waiting[version] = float('inf')

    def refuse(self, versions: abc.Iterable[str]) -> None:
        """Notes versions that earlier orders have replaced or rolled back."""
        self.refused.update(versions)
        self.used -= self.refused

    def begin_order(self, version: str, now_s: float) -> None:
        """Notes that an order names a version.

        It is in use only if no other one is: an order for the only version has
        nothing to move.
        """
        if self.used != {version}:
            self.used.discard(version)
            self.refused.discard(version)
            self.waiting[version] = now_s

    def _begin(
        self,
        targets: abc.Collection[SeenTarget],
        candidates: set[str],
        ordered: str | None,
        now_ms: int,
    ) -> None:
        """Chooses the versions in use on a host that has just started."""
        others = candidates - {ordered}
        if len(others) <= 1:
            self.used |= others
            return
        born_ms = {
            version: min(
                target.born_ms
                for target in targets
                if target.version == version
            )
            for version in others
        }
        self.used |= {
            version
            for version, first_ms in born_ms.items()
            if now_ms - first_ms >= IN_USE_AGE_S * 1000
        } or {min(others, key=lambda version: (born_ms[version], version))}

    def _adopt(
        self,
        targets: abc.Collection[SeenTarget],
        ordered: str | None,
        now_s: float,
        read_s: float,
    ) -> list[str]:
        """Takes versions into use that no order names.

        That are those for which none came in time, and all of them if the
        versions in use have no ready target left. An order may have been
        written shortly before, so the orders must have been read since then.
        """
        ready = {target.version for target in targets if target.ready}
        if ready & self.used:
            self._unready_s = float('inf')
        else:
            self._unready_s = min(self._unready_s, now_s)
        is_left = not ready & self.used and self._unready_s <= read_s
        adopted = [
            version
            for version, first_s in self.waiting.items()
            if version != ordered
            and (
                (ordered is None and now_s - first_s >= SETTLE_S)
                or (version in ready and is_left and not ordered)
            )
        ]
        for version in adopted:
            del self.waiting[version]
            self.used.add(version)
        return adopted
