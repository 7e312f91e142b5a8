"""The tree of hosts along which views and documents are distributed."""

from collections import abc

FAN_OUT = 2


def order(leader: str, hosts: abc.Sequence[str]) -> list[str]:
    """Returns the hosts with the leader moved to the front, if present.

    The order of the other hosts is kept.
    """
    return sorted(hosts, key=lambda host: host != leader)


def children(nodes: abc.Sequence[str], host: str) -> list[str]:
    """Returns the children of a host, to which it forwards messages.

    Args:
        nodes: All hosts of the tree, the root first.
        host: The sender; a host outside the tree sends to the root.
    """
    if host not in nodes:
        return list(nodes[:1])
    first = FAN_OUT * nodes.index(host) + 1
    return list(nodes[first : first + FAN_OUT])
