"""Leases of this host and the waiting time before it uses gains."""

from collections import abc
import dataclasses

from ragwortchute import wire

# Clocks of two hosts may differ in rate by less than this.
CLOCK_MARGIN = 1.1


def majority(count: int) -> int:
    """Returns the smallest majority of a number of witnesses."""
    return count // 2 + 1


@dataclasses.dataclass(slots=True)
class _Ack:
    epoch: int
    sent_s: float
    joined: bool


class LeaseTable:
    """What the witnesses acknowledged to this host.

    All times are seconds of the monotonic clock. Acknowledgements count from
    the sending of the heartbeat, so a pause of this host or of the network
    only shortens a lease.

    Attributes:
        settled: Whether a majority of the previous witnesses was seen to have
            left the epochs before the current witnesses were chosen. Stays
            true when these witnesses are lost later.
    """

    __slots__ = (
        '_acks',
        '_gain_from_s',
        '_lease_s',
        '_until_s',
        '_view',
        'settled',
    )

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._view: wire.View | None = None
        self._acks: dict[str, _Ack] = {}
        self._until_s = float('-inf')
        self._gain_from_s: float | None = None
        self.settled = False

    def adopt(self, view: wire.View) -> None:
        """Starts over under a new view; the old lease ends at once."""
        if self._view is None or (
            view.previous_witnesses != self._view.previous_witnesses
            or view.witnesses != self._view.witnesses
            or view.epoch > self._view.epoch + 1
        ):
            self.settled = False
        self._view = view
        self._until_s = float('-inf')
        self._gain_from_s = None
        self._extend()

    def acknowledged(
        self, witness: str, epoch: int, sent_s: float, *, joined: bool
    ) -> None:
        """Records the answer of a host to a heartbeat sent at `sent_s`."""
        old = self._acks.get(witness)
        if old is not None and old.sent_s > sent_s:
            return
        self._acks[witness] = _Ack(epoch, sent_s, joined)
        self._extend()

    def valid(self, now_s: float) -> bool:
        """Tells whether the lease is valid."""
        return now_s < self._until_s

    def gains_allowed(self, now_s: float) -> bool:
        """Tells whether the leases of all earlier epochs have lapsed."""
        if self._gain_from_s is None:
            return False
        return now_s >= self._gain_from_s + CLOCK_MARGIN * self._lease_s

    def check_gains(self, now_s: float, gone: abc.Container[str]) -> None:
        """Starts the waiting time once both witness sets know the epoch.

        The leader changes witnesses only when the change before is settled,
        so no lease under any earlier epoch can be renewed when majorities of
        the previous and of the current witnesses have left it.
        """
        if self._view is None or self._gain_from_s is not None:
            return
        previous = self._view.previous_witnesses
        self.settled = self.settled or self._left(previous, now_s, gone)
        if self.settled and self._left(self._view.witnesses, now_s, gone):
            self._gain_from_s = now_s

    def _left(
        self,
        witnesses: abc.Sequence[str],
        now_s: float,
        gone: abc.Container[str],
    ) -> bool:
        """Tells whether a majority is known to have adopted the epoch.

        Only acknowledgements of the last `lease_s` count: a witness that
        restarts forgets its epoch, but acknowledges nothing for longer than
        that.
        """
        if not witnesses:
            return True
        left = 0
        for host in witnesses:
            ack = self._acks.get(host)
            adopted = (
                ack is not None
                and ack.epoch >= self._view.epoch
                and now_s - ack.sent_s < self._lease_s
            )
            left += adopted or host in gone
        return left >= majority(len(witnesses))

    def _extend(self) -> None:
        if self._view is None:
            return
        times = sorted(
            ack.sent_s
            for host in self._view.witnesses
            if (ack := self._acks.get(host)) is not None
            and ack.joined
            and ack.epoch == self._view.epoch
        )
        needed = majority(len(self._view.witnesses))
        if len(times) >= needed:
            self._until_s = times[-needed] + self._lease_s
        else:
            self._until_s = float('-inf')
