"""Removals that a host defers right after an outage of the store.

Entries expire during an outage because their writers can't renew them, and are
written again afterwards.
"""

import msgspec

from ragwortchute import stores
from ragwortchute.gateway.store import replica as replica_


def without_removals(
    answer: stores.WatchAnswer, replica: replica_.Replica, *, full_read: bool
) -> tuple[stores.WatchAnswer, list[str]]:
    """Returns an answer that removes nothing, and the names it would remove.

    Args:
        answer: Answer of the store.
        replica: What is known so far.
        full_read: Whether the answer holds all objects, not changes.
    """
    if not full_read:
        kept = msgspec.structs.replace(answer, removed=())
        return kept, list(answer.removed)
    missing = replica.objects_not_in(answer.objects)
    kept = msgspec.structs.replace(answer, objects=answer.objects + missing)
    return kept, [obj.name for obj in missing]
