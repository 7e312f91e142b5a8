"""Division of the slots of a warm target among the hosts."""

from collections import abc

import xxhash


def order(service: str, target: str, hosts: abc.Iterable[str]) -> list[str]:
    """Returns the hosts in the order of rendezvous hashing for a target."""
    return sorted(
        hosts,
        key=lambda host: (
            xxhash.xxh3_64_intdigest(f'{host}\0{service}\0{target}'.encode()),
            host,
        ),
        reverse=True,
    )


def count(
    service: str, target: str, slots: int, host: str, hosts: abc.Iterable[str]
) -> int:
    """Returns how many slots of a target belong to a host.

    With n hosts, slot k belongs to host k modulo n in rendezvous order, so
    that the shares of two hosts differ by at most one slot per target.

    Args:
        service: Name of the service.
        target: Name of the target.
        slots: Slots of the target.
        host: The host.
        hosts: Hosts of the serving set.

    Returns:
        The number of slots; 0 if the host is not in the serving set.
    """
    ordered = order(service, target, hosts)
    if host not in ordered:
        return 0
    rank = ordered.index(host)
    return slots // len(ordered) + (rank < slots % len(ordered))
