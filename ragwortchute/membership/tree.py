"""The tree along which views and documents pass."""

from collections import abc

FAN_OUT = 2


def order(leader: str, hosts: abc.Sequence[str]) -> list[str]:
    """Returns hosts in view order with the leader first, if it is one."""
    return sorted(hosts, key=lambda host: host != leader)


def children(nodes: abc.Sequence[str], host: str) -> list[str]:
    """Returns the hosts to which a host passes a message on.

    Args:
        nodes: All hosts, the root first.
        host: The sender; one that is not in the tree sends to the root.
    """
    if host not in nodes:
        return list(nodes[:1])
    first = FAN_OUT * nodes.index(host) + 1
    return list(nodes[first : first + FAN_OUT])
