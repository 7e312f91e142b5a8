"""Partitions and killed hosts beside a simulated rollout."""

import msgspec


class Cut(msgspec.Struct, frozen=True):
    """A partition between two groups of hosts, or the end of one of them.

    Attributes:
        share: Share of the hosts in the group that is cut off.
        start_s: Its beginning; the order is written at about 0.
        end_s: Its end.
        reaches_store: Whether the group reaches the store.
        first: Whether the group holds the first hosts by name, which
            coordinate; otherwise it holds the last ones.
        kills: Whether its hosts are killed for good instead.
    """

    share: float
    start_s: float
    end_s: float = 99.0
    reaches_store: bool = False
    first: bool = False
    kills: bool = False


def plan_cut(world, cut):
    """Plans a partition; the fault of the seed must be another one."""
    names = sorted(world.hosts)
    count = max(1, round(cut.share * len(names)))
    # The coordinators, or hosts that do not coordinate.
    chosen = names[:count] if cut.first else names[-count:]
    if cut.kills:
        for name in chosen:
            world.at(cut.start_s, world.kill, world.hosts[name], False)
        return
    if cut.start_s < 0:
        world.set_cut(True, chosen, cut.reaches_store)
        world.cut_s = cut.start_s
        for name in chosen:
            world.hosts[name].part.confirmed_s = cut.start_s
    else:
        world.at(cut.start_s, world.set_cut, True, chosen, cut.reaches_store)
    world.at(cut.end_s, world.set_cut, False, chosen, True)
