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
# A host that can't tell which of several versions are in use asks other hosts
# for this long and sends nothing to them meanwhile. A host that starts knows
# others after 0.5 s, and each answer takes less than 0.1 s.
ASK_S = 2.0
# Hosts that have decided by themselves ask on for this long. Entries of stopped
# targets expire after 4.5 s.
ASK_ON_S = 30.0
# A version that has been the only one for this long is in use.
_SOLE_S = 10.0


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
        certain: Whether the versions in use follow from an outcome, from what
            another host has told, or from there being only one version.
        several: Whether targets of several versions are registered.
    """

    __slots__ = (
        '_asked_s',
        '_registered',
        '_several_s',
        '_unready_s',
        'certain',
        'refused',
        'several',
        'used',
        'waiting',
    )

    def __init__(self) -> None:
        self.used: set[str] = set()
        self.refused: set[str] = set()
        self.waiting: dict[str, float] = {}
        # Loop time since which no version in use has a ready target.
        self._unready_s = float('inf')
        self.certain = False
        self.several = False
        self._registered: set[str] = set()
        # Loop time at which several versions were seen last.
        self._several_s = float('inf')
        # Loop time since which other hosts are asked.
        self._asked_s = float('inf')

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

    def is_open(self, now_s: float) -> bool:
        """Returns whether another host may still tell what is in use."""
        return (
            self.several and not self.certain and now_s < self._asked_s + ASK_S
        )

    def asks(self, now_s: float) -> bool:
        """Returns whether other hosts are to be asked what is in use."""
        return (
            self.several
            and not self.certain
            and self._asked_s <= now_s < self._asked_s + ASK_ON_S
        )

    def mark_uncertain(self) -> None:
        """Notes that an outcome may have been missed."""
        self.certain = False
        self._asked_s = self._several_s = float('inf')

    def learn(
        self,
        used: abc.Iterable[str],
        refused: abc.Iterable[str],
        ordered: str | None,
    ) -> None:
        """Applies the answer of a host that is certain.

        Args:
            used: Versions in use.
            refused: Versions that orders have replaced or rolled back.
            ordered: See `update`.
        """
        self.used = set(used)
        if self.used != {ordered}:
            self.used.discard(ordered)
        self.refused |= set(refused)
        self.refused -= self.used | {ordered}
        for version in self.used | self.refused:
            self.waiting.pop(version, None)
        self.certain = True

    def listed_refused(
        self, count: int, replaced: abc.Collection[str] = ()
    ) -> tuple[str, ...]:
        """Returns the refused versions to be named to other hosts.

        Args:
            count: Maximum number of versions. Those without targets are left
                out first.
            replaced: Versions that an order is about to replace.
        """
        order = sorted(
            self.refused.union(replaced),
            key=lambda version: (version not in self._registered, version),
        )
        return tuple(order[:count])

    def update(
        self,
        targets: abc.Collection[SeenTarget],
        ordered: str | None,
        now_s: float,
        now_ms: int,
        read_s: float = float('inf'),
        *,
        may_ask: bool = False,
    ) -> list[str]:
        """Classifies the versions of the registered targets.

        Args:
            targets: All targets of the service.
            ordered: Version that an order without an outcome names, empty if
                it can't be read, None without an order.
            now_s: Loop time in seconds.
            now_ms: Unix time in milliseconds.
            read_s: Loop time until which all orders are known.
            may_ask: Whether other hosts may know what is in use.

        Returns:
            The versions that are in use from now on, though no order has
            settled that.
        """
        seen = {target.version for target in targets}
        self._note_registered(seen, now_s, read_s)
        guessed: list[str] = []
        if not self.used:
            if self.is_open(now_s) and may_ask:
                return []
            self._begin(targets, seen - self.refused, ordered, now_ms)
            if not self.certain:
                guessed = sorted(self.used)
        for version in seen:
            if not self.knows(version):
                self.waiting[version] = now_s
        for version in [*self.waiting]:
            if version not in seen:
                del self.waiting[version]
        return guessed + self._adopt(targets, ordered, now_s, read_s)

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
            self.certain = True
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

    def _note_registered(
        self, seen: set[str], now_s: float, read_s: float
    ) -> None:
        """Notes for which versions targets are registered."""
        self._registered = seen
        self.several = len(seen) > 1
        if self.several or self._several_s > now_s:
            self._several_s = now_s
        is_first = not (self.used or self.refused or self.waiting)
        if len(seen) == 1 and (is_first or now_s - self._several_s >= _SOLE_S):
            self.certain = True
        if not self.several:
            self._asked_s = float('inf')
        elif not self.certain and read_s > float('-inf'):
            # Before the orders have been read, answers can't be compared.
            self._asked_s = min(self._asked_s, now_s)

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
