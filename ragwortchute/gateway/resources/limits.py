"""Limits of a host, derived from the memory and descriptors of its machine."""

import resource

import msgspec

# Shares of the memory. The rest is for the process itself, its copy of the
# configuration and its connections.
BODIES_FRACTION = 0.40
SHORT_BODIES_FRACTION = 0.06
REQUESTS_FRACTION = 0.12
ANSWERS_FRACTION = 0.15
# Bodies up to this length are short. They have memory that longer ones can't
# take.
SHORT_BODY_BYTES = 1 << 20
# Long bodies, of which there is only one beyond this at a time, may take this
# share in any case.
MIN_LONG_BODIES_FRACTION = 0.02
# Descriptors that connections of callers and to targets leave free: a share,
# and what the listeners, the store, readiness checks and metrics need.
RESERVED_FRACTION = 0.1
RESERVED_DESCRIPTORS = 32
# Those of them that other hosts may take if no connection can be closed.
RESERVED_FOR_HOSTS = 8
# Connections and memory of the listeners for readiness checks and metrics.
OPERATOR_CONNECTIONS = 12
_OPERATOR_BYTES = 1 << 20
# Share of the other descriptors that accepted connections may take. Connections
# to targets and other hosts may take what these leave.
ACCEPTED_FRACTION = 0.75
# The same for connections to targets and other hosts, so that callers can
# connect in any case.
UPSTREAM_FRACTION = 0.75
# Requests of one connection that are started before the first is answered may
# take this share of the connections to targets.
PIPELINE_FRACTION = 1 / 16
# Used if neither the settings nor the system name a number of descriptors.
DEFAULT_DESCRIPTORS = 4096


class Limits(msgspec.Struct, frozen=True):
    """Limits of a host.

    Attributes:
        body_bytes: Memory for bodies with a reservation.
        short_body_bytes: Memory for short bodies in addition to that.
        request_bytes: Memory for heads, bodies without a reservation, and
            responses that callers have not taken.
        answer_bytes: Memory for long answers that are passed on.
        accepted_connections: Connections accepted from callers and other hosts.
        connections: These and the connections to targets and other hosts.
    """

    body_bytes: int
    short_body_bytes: int
    request_bytes: int
    answer_bytes: int
    accepted_connections: int
    connections: int

    def long_body_bytes(self, max_body_bytes: int) -> int:
        """Returns the memory for bodies beside one of the greatest length.

        Args:
            max_body_bytes: Greatest length that the configuration allows.
        """
        least_bytes = int(self.body_bytes * MIN_LONG_BODIES_FRACTION)
        return max(least_bytes, self.body_bytes - max_body_bytes)


def derive(memory_bytes: float, max_descriptors: int) -> Limits:
    """Returns the limits of a host.

    Args:
        memory_bytes: Memory of its machine.
        max_descriptors: Descriptors that the process may hold; 0 if unknown.
    """
    descriptors = process_descriptors()
    if max_descriptors:
        descriptors = min(descriptors, max_descriptors)
    reserved = int(descriptors * RESERVED_FRACTION) + RESERVED_DESCRIPTORS
    connections = max(4, descriptors - reserved)
    return Limits(
        body_bytes=int(memory_bytes * BODIES_FRACTION),
        short_body_bytes=int(memory_bytes * SHORT_BODIES_FRACTION),
        request_bytes=int(memory_bytes * REQUESTS_FRACTION),
        answer_bytes=int(memory_bytes * ANSWERS_FRACTION),
        accepted_connections=int(connections * ACCEPTED_FRACTION),
        connections=connections,
    )


def for_operators() -> Limits:
    """Returns the limits of listeners for readiness checks and metrics."""
    return Limits(
        body_bytes=_OPERATOR_BYTES,
        short_body_bytes=_OPERATOR_BYTES,
        request_bytes=_OPERATOR_BYTES,
        answer_bytes=_OPERATOR_BYTES,
        accepted_connections=OPERATOR_CONNECTIONS,
        connections=OPERATOR_CONNECTIONS,
    )


def process_descriptors() -> int:
    """Returns the descriptors that the system allows the process."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed in (resource.RLIM_INFINITY, 0):
        return DEFAULT_DESCRIPTORS
    return allowed
