"""What it costs a request to leave its failure domain."""

import msgspec

# Capacity of the link between two regions for all traffic: 30 Mbit/s.
REGION_LINK_BYTES_PER_S = 30e6 / 8


class Worth(msgspec.Struct, frozen=True):
    """Latency that a request may lose so that it does not cross.

    Attributes:
        domain_s: For a crossing to another domain of the region, in seconds.
        region_s: For a crossing to another region, in seconds.
    """

    domain_s: float = 0.02
    region_s: float = 0.1


def cost_s(
    worth: Worth, *, same_domain: bool, same_region: bool, moved_bytes: float
) -> float:
    """Returns what is added to the cost of a target, in seconds.

    The round-trip time is part of the expected latency and not included.

    Args:
        worth: Worth of a crossing.
        same_domain: Whether the target is in the failure domain of the host.
        same_region: Whether it is in the region of the host.
        moved_bytes: Expected size of the request and its answer.
    """
    if same_domain:
        return 0.0
    if same_region:
        return worth.domain_s
    return worth.region_s + moved_bytes / REGION_LINK_BYTES_PER_S
