"""Estimates of latency and cost by which targets are compared.

The speed of a target changes several times a second, and several hosts use
its slots at once. A reading taken just before the decision is therefore
converted into the expected time until the answer.
"""

import msgspec

from ragwortchute.gateway import dialect

# Above this share of its slots a target may slow down.
HIGH_OCCUPANCY = 0.8
HIGH_OCCUPANCY_FACTOR = 1.3
COLD_FACTOR = 2.0
# A failed answer costs the caller about this many latency objectives.
FAILURE_COST_OBJECTIVES = 2.0


class Candidate(msgspec.Struct, frozen=True):
    """A target that could take a request, and its state.

    Attributes:
        reading: Last reading of the target.
        sent_since: Requests that this host sent after the reading was taken.
        slots: Requests that the target processes concurrently.
        rtt_s: Round-trip time to the target in seconds.
        failure_rate: Share of its recent answers that failed, 0 to 1.
        persistence: Share of its work for which a target of the service keeps
            the slowness at which it starts, 0 to 1.
    """

    reading: dialect.Reading
    sent_since: int
    slots: int
    rtt_s: float
    failure_rate: float = 0.0
    persistence: float = 1.0


def run_time_s(
    work_s: float, slowness: float, mean_slowness: float, persistence: float
) -> float:
    """Returns the processing time of work that starts now, in seconds.

    Args:
        work_s: Processing time at slowness 1, in seconds.
        slowness: Slowness of the target as the work starts.
        mean_slowness: Mean slowness of the targets of the service.
        persistence: Share of the work for which the target keeps its slowness;
            the mean is assumed for the rest.
    """
    return work_s * (persistence * slowness + (1 - persistence) * mean_slowness)


def expected_latency_s(
    candidate: Candidate, work_s: float, mean_slowness: float
) -> float:
    """Returns the expected time until the answer arrives, in seconds.

    Args:
        candidate: The target and its state.
        work_s: Processing time at slowness 1, in seconds.
        mean_slowness: Mean slowness of the targets of the service.
    """
    reading = candidate.reading
    slots = max(1, reading.slots or candidate.slots)
    occupied = reading.running + reading.waiting + candidate.sent_since
    slowness = reading.slowness
    queue_length = occupied + 1 - slots
    if queue_length > 0:
        # It may be another one once the request leaves the queue.
        slowness = mean_slowness
    run_s = run_time_s(work_s, slowness, mean_slowness, candidate.persistence)
    if reading.cold_s > 0:
        run_s *= COLD_FACTOR
    if queue_length > 0:
        wait_s = queue_length * work_s * mean_slowness / slots
        return candidate.rtt_s + wait_s + run_s * HIGH_OCCUPANCY_FACTOR
    if (occupied + 1) / slots > HIGH_OCCUPANCY:
        run_s *= HIGH_OCCUPANCY_FACTOR
    return candidate.rtt_s + run_s


def cost_s(
    candidate: Candidate,
    work_s: float,
    mean_slowness: float,
    objective_s: float,
) -> float:
    """Returns the expected latency plus a penalty for the risk of failure.

    Args:
        candidate: The target and its state.
        work_s: Processing time at slowness 1, in seconds.
        mean_slowness: Mean slowness of the targets of the service.
        objective_s: Latency objective in seconds.
    """
    expected_s = expected_latency_s(candidate, work_s, mean_slowness)
    return (
        expected_s
        + candidate.failure_rate * FAILURE_COST_OBJECTIVES * objective_s
    )
