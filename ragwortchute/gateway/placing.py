"""Estimates by which a target is chosen.

Load: targets whose speed changes several times a second and whose slots are
taken by several hosts at once. A reading taken at the moment of the choice is
turned into the expected time until the answer.
"""

import msgspec

from ragwortchute.gateway import dialect

# A target keeps its speed for about this long after a reading.
SPEED_HOLD_S = 0.1
# Above this share of its slots a target may slow down.
NEARLY_FULL = 0.8
NEARLY_FULL_FACTOR = 1.3
COLD_FACTOR = 2.0
# An answer that fails costs the caller about this many latency objectives.
FAILURE_OBJECTIVES = 2.0


class Offer(msgspec.Struct, frozen=True):
    """What is known of a target that could take a request.

    Attributes:
        reading: Its last reading.
        unseen: Requests of this host that the reading does not contain.
        slots: Requests that it processes concurrently.
        path_s: Round trip to it.
        failing: Share of its recent answers that failed, 0 to 1.
    """

    reading: dialect.Reading
    unseen: int
    slots: int
    path_s: float
    failing: float = 0.0


def run_s(work_s: float, slowness: float, usual: float) -> float:
    """Returns how long work takes that starts at a given slowness.

    Args:
        work_s: Duration at slowness 1.
        slowness: Slowness now; it is held for `SPEED_HOLD_S`.
        usual: Mean slowness, which holds after that.
    """
    held_s = work_s * slowness
    if held_s <= SPEED_HOLD_S:
        return held_s
    done_s = SPEED_HOLD_S / slowness
    return SPEED_HOLD_S + (work_s - done_s) * usual


def expected_s(offer: Offer, work_s: float, usual: float) -> float:
    """Returns the expected time until the answer arrives.

    Args:
        offer: The target.
        work_s: Duration of the work at slowness 1.
        usual: Mean slowness of the targets of the service.
    """
    reading = offer.reading
    slots = max(1, reading.slots or offer.slots)
    taken = reading.running + reading.waiting + offer.unseen
    run = run_s(work_s, reading.slowness, usual)
    if reading.cold_s > 0:
        run *= COLD_FACTOR
    ahead = taken + 1 - slots
    if ahead > 0:
        wait = ahead * work_s * usual / slots
        return offer.path_s + wait + run * NEARLY_FULL_FACTOR
    if (taken + 1) / slots > NEARLY_FULL:
        run *= NEARLY_FULL_FACTOR
    return offer.path_s + run


def cost_s(
    offer: Offer, work_s: float, usual: float, objective_s: float
) -> float:
    """Returns the expected time with the risk of a failure added."""
    expected = expected_s(offer, work_s, usual)
    return expected + offer.failing * FAILURE_OBJECTIVES * objective_s
