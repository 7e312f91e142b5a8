"""Which host owns which slots of a warm target."""

from collections import abc

import xxhash


def order(service: str, target: str, hosts: abc.Iterable[str]) -> list[str]:
    """Returns the hosts in rendezvous order for a target."""
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

    Slot k belongs to host k modulo n in the rendezvous order, so that the
    shares of the hosts differ by at most one slot per target.
    """
    ordered = order(service, target, hosts)
    if host not in ordered:
        return 0
    rank = ordered.index(host)
    return slots // len(ordered) + (rank < slots % len(ordered))
