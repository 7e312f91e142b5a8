"""Rendezvous hashing: every host computes the same order without messages."""

from collections import abc

import xxhash

from ragwortchute import wire


def score(key: str, name: str) -> int:
    """Returns the weight of a name for a key."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())


def ranked(key: str, names: abc.Iterable[str]) -> list[str]:
    """Returns names in the order of preference for a key."""
    return sorted(names, key=lambda name: (-score(key, name), name))


def spread(
    key: str, members: abc.Iterable[wire.Member], size: int
) -> list[wire.Member]:
    """Returns the first members for a key, failure domains in turn.

    The best member of each failure domain comes before the second of any.
    """
    by_host = {member.host: member for member in members}
    taken: dict[str, int] = {}
    rounds: list[tuple[int, int, wire.Member]] = []
    for place, host in enumerate(ranked(key, by_host)):
        member = by_host[host]
        turn = taken.get(member.failure_domain, 0)
        taken[member.failure_domain] = turn + 1
        rounds.append((turn, place, member))
    rounds.sort(key=lambda item: item[:2])
    return [member for _, _, member in rounds[:size]]
