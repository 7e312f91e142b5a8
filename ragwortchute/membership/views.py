"""Creates, compares and encodes views."""

from collections import abc

import msgspec

from ragwortchute import wire

MAX_WITNESSES = 5


def object_name(region: str) -> str:
    """Returns the name of the store object that holds a region's view."""
    return f'views/{region}'


def first_view(me: wire.Member) -> wire.View:
    """Returns the first view of a region, with one member."""
    return wire.View(
        region=me.region,
        epoch=1,
        leader=me.host,
        members=(me,),
        witnesses=(me.host,),
    )


def next_view(
    view: wire.View,
    *,
    leader: str,
    remove: abc.Container[str] = frozenset(),
    join: abc.Iterable[wire.Member] = (),
    passive: abc.Container[str] = frozenset(),
    leaving: abc.Container[str] = frozenset(),
    witness_change_complete: bool,
) -> wire.View:
    """Returns the successor of a view.

    Args:
        view: The current view.
        leader: Leader of the next view.
        remove: Hosts to remove.
        join: Members to add, or to replace under the same name.
        passive: Failure domains whose members must not own targets.
        leaving: Hosts that are chosen as witnesses last within their failure
            domain.
        witness_change_complete: Whether a majority of the previous witnesses
            has left all epochs before `view`. Until then the witnesses stay
            the same, so that no host can renew a lease under an epoch that a
            witness skipped.
    """
    joining = {member.host: member for member in join}
    members = [
        joining.pop(member.host, member)
        for member in view.members
        if member.host not in remove
    ]
    members += joining.values()
    witnesses = view.witnesses
    previous = view.previous_witnesses
    if witness_change_complete:
        witnesses = choose_witnesses(members, view.witnesses, leaving)
        previous = view.witnesses
    return wire.View(
        region=view.region,
        epoch=view.epoch + 1,
        leader=leader,
        members=tuple(members),
        witnesses=witnesses,
        previous_witnesses=previous,
        passive=tuple(
            member.host
            for member in members
            if member.failure_domain in passive
        ),
    )


def same_content(left: wire.View, right: wire.View) -> bool:
    """Returns whether two views have the same members and the same roles.

    Epochs and previous witnesses are not compared.
    """
    return (
        left.leader == right.leader
        and left.members == right.members
        and left.witnesses == right.witnesses
        and left.passive == right.passive
    )


def choose_witnesses(
    members: abc.Sequence[wire.Member],
    current: abc.Container[str],
    leaving: abc.Container[str] = frozenset(),
) -> tuple[str, ...]:
    """Returns an odd number of witnesses, spread over failure domains.

    Current witnesses are preferred within a failure domain, because after a
    change of witnesses new owners have to wait longer.

    Args:
        members: Members to choose from.
        current: Current witnesses.
        leaving: Hosts that are chosen last within their failure domain.
    """
    count = min(MAX_WITNESSES, len(members))
    count -= 1 - count % 2
    candidates = sorted(
        members, key=lambda m: (m.host in leaving, m.host not in current)
    )
    used: dict[str, int] = {}
    chosen: list[str] = []
    while len(chosen) < count:
        best = min(candidates, key=lambda m: used.get(m.failure_domain, 0))
        candidates.remove(best)
        used[best.failure_domain] = used.get(best.failure_domain, 0) + 1
        chosen.append(best.host)
    return tuple(chosen)


def encode(view: wire.View) -> bytes:
    """Returns the encoding of a view in the store."""
    return msgspec.json.encode(view)


def decode(value: bytes) -> wire.View:
    """Returns the view that a store object holds.

    Raises:
        msgspec.MsgspecError: The value is not a valid view.
    """
    return msgspec.json.decode(value, type=wire.View)
