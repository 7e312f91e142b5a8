"""The lease of this host, and when the leases of earlier epochs expire."""

from collections import abc
import dataclasses

from ragwortchute import wire

# Upper bound of the ratio between the clock rates of two hosts.
CLOCK_MARGIN = 1.1


def majority(count: int) -> int:
    """Returns the size of the smallest majority of `count` witnesses."""
    return count // 2 + 1


@dataclasses.dataclass(slots=True)
class _Ack:
    """Latest acknowledgement of a host.

    Attributes:
        epoch: Highest epoch that the host had adopted.
        sent_s: Monotonic time at which the heartbeat was sent.
        joined: Whether this host is a member of that epoch.
    """

    epoch: int
    sent_s: float
    joined: bool


class LeaseTable:
    """Acknowledgements of the witnesses and the lease that they grant.

    All times are seconds of the monotonic clock. The lease runs from the time
    at which the acknowledged heartbeat was sent, so a pause of this host or a
    delay in the network can only shorten it.

    Args:
        lease_s: Duration of a lease in seconds.

    Attributes:
        witness_change_complete: Whether a majority of the previous witnesses
            is known to have left the epochs before the current witnesses were
            chosen. Stays true if these witnesses are lost later.
    """

    __slots__ = (
        '_acks',
        '_adopted_s',
        '_lease_s',
        '_expires_s',
        '_view',
        'witness_change_complete',
    )

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._view: wire.View | None = None
        self._acks: dict[str, _Ack] = {}
        self._expires_s = float('-inf')
        self._adopted_s: float | None = None
        self.witness_change_complete = False

    def adopt(self, view: wire.View) -> None:
        """Adopts a new view.

        The lease under the old view ends at once; acknowledgements that
        already name the new epoch count towards the new lease.
        """
        if self._view is None or (
            view.previous_witnesses != self._view.previous_witnesses
            or view.witnesses != self._view.witnesses
            or view.epoch > self._view.epoch + 1
        ):
            self.witness_change_complete = False
        self._view = view
        self._expires_s = float('-inf')
        self._adopted_s = None
        self._update_expiry()

    def record_ack(
        self, witness: str, epoch: int, sent_s: float, *, joined: bool
    ) -> None:
        """Records the answer of a host to a heartbeat.

        Answers to heartbeats that are older than the last recorded one are
        ignored.

        Args:
            witness: The host that answered.
            epoch: Highest epoch that it has adopted.
            sent_s: Monotonic time at which the heartbeat was sent.
            joined: Whether this host is a member of that epoch.
        """
        old = self._acks.get(witness)
        if old is not None and old.sent_s > sent_s:
            return
        self._acks[witness] = _Ack(epoch, sent_s, joined)
        self._update_expiry()

    def valid(self, now_s: float) -> bool:
        """Returns whether the lease is valid at `now_s`."""
        return now_s < self._expires_s

    def earlier_leases_expired(self, now_s: float) -> bool:
        """Returns whether the leases of all earlier epochs have expired."""
        if self._adopted_s is None:
            return False
        return now_s >= self._adopted_s + CLOCK_MARGIN * self._lease_s

    def check_adoption(self, now_s: float, removed: abc.Container[str]) -> None:
        """Records when majorities of both witness sets adopted the epoch.

        Leases of earlier epochs expire within one lease time from then. The
        leader changes the witnesses only after the previous change is
        complete, so once majorities of the previous and of the current
        witnesses have adopted the epoch, no lease under any earlier epoch can
        be renewed.

        Args:
            now_s: Monotonic time in seconds.
            removed: Hosts that the platform has removed; they can't renew a
                lease and count as having adopted the epoch.
        """
        if self._view is None or self._adopted_s is not None:
            return
        previous = self._view.previous_witnesses
        self.witness_change_complete = (
            self.witness_change_complete
            or self._adopted_by_majority(previous, now_s, removed)
        )
        if self.witness_change_complete and self._adopted_by_majority(
            self._view.witnesses, now_s, removed
        ):
            self._adopted_s = now_s

    def _adopted_by_majority(
        self,
        witnesses: abc.Sequence[str],
        now_s: float,
        removed: abc.Container[str],
    ) -> bool:
        """Returns whether a majority is known to have adopted the epoch.

        Only acknowledgements of the last `lease_s` seconds count: a witness
        forgets its epoch when it restarts, but then acknowledges nothing for
        longer than `lease_s`.
        """
        if not witnesses:
            return True
        adopted_count = 0
        for host in witnesses:
            ack = self._acks.get(host)
            adopted = (
                ack is not None
                and ack.epoch >= self._view.epoch
                and now_s - ack.sent_s < self._lease_s
            )
            adopted_count += adopted or host in removed
        return adopted_count >= majority(len(witnesses))

    def _update_expiry(self) -> None:
        """Recomputes when the lease expires.

        The lease lasts `lease_s` from the latest time since which a majority
        of the witnesses has acknowledged this host as a member.
        """
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
            self._expires_s = times[-needed] + self._lease_s
        else:
            self._expires_s = float('-inf')
