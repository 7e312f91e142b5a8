"""Concentrates the requests to a version under observation on few targets.

They then run at most of their slots and show how the version behaves under
load, although it gets few requests.
"""

import math
import zlib

from ragwortchute.gateway.selection import targets as targets_

# Share of the slots of these targets that the requests are to fill.
FILL_FRACTION = 0.75
# Others take their turn after this time, so that no single target decides.
TURN_S = 0.8


def choose(
    targets: list[targets_.Target],
    running: float,
    age_s: float,
    now_s: float,
) -> list[targets_.Target]:
    """Returns the targets that get the requests at the moment.

    All hosts of a region choose the same ones, as their order is a hash of
    their names.

    Args:
        targets: Targets of the version.
        running: Expected number of requests of all hosts that run there.
        age_s: Age of the order in seconds.
        now_s: Loop time in seconds.
    """
    local = [target for target in targets if target.same_region] or targets
    # Cold targets take few requests; a warm one can take all of them.
    warm = [target for target in local if not target.is_cold(now_s)]
    if not warm:
        return local
    warm.sort(key=lambda target: zlib.crc32(target.entry.name.encode()))
    slots = max(1, warm[0].entry.slots)
    count = math.ceil(running / (FILL_FRACTION * slots))
    count = min(len(warm), max(1, count))
    start = int(age_s / TURN_S) * count
    return [warm[(start + index) % len(warm)] for index in range(count)]
