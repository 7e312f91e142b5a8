"""Rendezvous hashing: all hosts compute the same ranking independently."""

from collections import abc

import xxhash

from ragwortchute import wire


def score(key: str, name: str) -> int:
    """Returns the weight of a name for a key."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())


def ranked(key: str, names: abc.Iterable[str]) -> list[str]:
    """Returns names by descending score for a key; ties by name."""
    return sorted(names, key=lambda name: (-score(key, name), name))


def spread(
    key: str, members: abc.Iterable[wire.Member], size: int
) -> list[wire.Member]:
    """Returns the highest-ranked members, spread over failure domains.

    The highest-ranked member of each failure domain comes before the second
    member of any.

    Args:
        key: Key to rank the members for.
        members: Candidates.
        size: Largest number of members to return.
    """
    by_host = {member.host: member for member in members}
    taken: dict[str, int] = {}
    ranks: list[tuple[int, int, wire.Member]] = []
    for rank, host in enumerate(ranked(key, by_host)):
        member = by_host[host]
        domain_rank = taken.get(member.failure_domain, 0)
        taken[member.failure_domain] = domain_rank + 1
        ranks.append((domain_rank, rank, member))
    ranks.sort(key=lambda item: item[:2])
    return [member for _, _, member in ranks[:size]]
