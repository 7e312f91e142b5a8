"""How one view follows from another."""

from collections import abc

import msgspec

from ragwortchute import wire

MAX_WITNESSES = 5


def object_name(region: str) -> str:
    """Returns the name of the store object of a region's view."""
    return f'views/{region}'


def first_view(me: wire.Member) -> wire.View:
    """Returns the first view of a region."""
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
    settled: bool,
) -> wire.View:
    """Returns the view that follows another one.

    Args:
        view: The current view.
        leader: Leader of the next view.
        remove: Hosts to remove.
        join: Members to add, or to replace under the same name.
        passive: Failure domains whose members are to own nothing.
        leaving: Hosts that are no longer chosen as witnesses.
        settled: Whether a majority of the previous witnesses has left all
            epochs before `view`. Until then the witnesses stay, so that no
            host can renew a lease under an epoch that was skipped.
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
    if settled:
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
    """Tells whether a new view would change anything but its number."""
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

    Current witnesses are preferred within a failure domain, because each
    change of witnesses delays gains.
    """
    count = min(MAX_WITNESSES, len(members))
    count -= 1 - count % 2
    waiting = sorted(
        members, key=lambda m: (m.host in leaving, m.host not in current)
    )
    used: dict[str, int] = {}
    chosen: list[str] = []
    while len(chosen) < count:
        best = min(waiting, key=lambda m: used.get(m.failure_domain, 0))
        waiting.remove(best)
        used[best.failure_domain] = used.get(best.failure_domain, 0) + 1
        chosen.append(best.host)
    return tuple(chosen)


def encode(view: wire.View) -> bytes:
    """Returns a view as the value of its store object."""
    return msgspec.json.encode(view)


def decode(value: bytes) -> wire.View:
    """Returns the view in a store object.

    Raises:
        msgspec.MsgspecError: The value is no view.
    """
    return msgspec.json.decode(value, type=wire.View)
