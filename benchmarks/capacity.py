"""What the fitted slopes give at the size to design for.

Reads `docs/plots/slopes.json`, so it measures nothing itself.

    python -m benchmarks.capacity
"""

import math
import pathlib

import msgspec

from benchmarks import slopes

CALLS_PER_S = 59_000
DEPTH = 9
TARGETS = 950
SERVICES = 54
SET_SIZE = 4
CHANGES_PER_HOUR = 1300 / 24
RESTARTS_PER_HOUR = 295 / 24
# One event loop per host: at more than this, waiting times reach p99.
UTILISATION = 0.6
_KEYED_PART = 0.2
_TOKEN_S = 120


class Size(msgspec.Struct, frozen=True):
    """Figures of one size of fleet; the rest is per host."""

    hosts: int
    calls_per_s: float
    targets: float
    rest_bytes: float
    bytes_per_s: float
    peer_cpu_percent: float
    tick_cpu_percent: float
    changes_cpu_percent: float
    resident_mb: float
    record_mb: float
    query_us: float
    in_force_s: float
    store_calls_per_s: float


def at(line: slopes.Fit, x: float) -> float:
    """Returns the value of a fitted line."""
    return line.intercept + line.slope * x


def call_us(results: slopes.Results, way: str = 'host') -> float:
    """Returns microseconds of CPU per call at the highest measured rate.

    It includes the cost that does not depend on the rate. The slope alone
    differed by a quarter between two runs on a shared machine.
    """
    rate, percent = results.series[f'path-{way}-cpu'].points[-1]
    return percent / rate * 1e4


def hosts_for(calls_per_s: float, cpu_us: float) -> int:
    """Returns the hosts that carry a rate at the stated utilisation."""
    return math.ceil(calls_per_s * cpu_us / 1e6 / UTILISATION)


def size(results: slopes.Results, hosts: int, calls_per_s: float) -> Size:
    """Returns the figures per host for a fleet."""
    line = results.series
    # These fall a little with the fleet; a line beyond it would turn negative.
    measured = min(hosts, line['hosts-tick-cpu'].points[-1][0])
    targets = min(TARGETS, TARGETS * SET_SIZE / hosts)
    per_host = calls_per_s / hosts
    keyed = per_host * _KEYED_PART * _TOKEN_S
    rest = at(line['hosts-rest-max-bytes'], hosts)
    # The tree sends each change to two hosts at most.
    changes = line['changes-bytes'].slope * CHANGES_PER_HOUR
    restarts = max(0.0, line['restarts-bytes'].slope) * RESTARTS_PER_HOUR
    return Size(
        hosts=hosts,
        calls_per_s=per_host,
        targets=targets,
        rest_bytes=rest,
        bytes_per_s=rest + 2 * changes + restarts,
        peer_cpu_percent=at(line['hosts-rest-cpu'], measured),
        tick_cpu_percent=at(line['hosts-tick-cpu'], measured),
        changes_cpu_percent=max(0.0, line['changes-cpu'].slope)
        * CHANGES_PER_HOUR,
        # The part at 0 comes from the daemons, which have peers as well.
        resident_mb=results.comparison.resident_mb
        + line['targets-memory'].slope * targets,
        record_mb=line['records-memory'].slope * keyed,
        query_us=at(line['hosts-query-cpu'], hosts),
        in_force_s=at(line['hosts-in-force-max'], hosts),
        store_calls_per_s=at(line['hosts-rest-store'], hosts)
        + line['changes-store'].slope * CHANGES_PER_HOUR,
    )


def main() -> None:
    """Prints the figures of several fleets."""
    content = (pathlib.Path(slopes.OUTPUT_DIR) / 'slopes.json').read_bytes()
    results = msgspec.json.decode(content, type=slopes.Results)
    cpu_us, relay_us = call_us(results), call_us(results, 'relay')
    print(f'CPU per call: {cpu_us:.0f} us, bare relay {relay_us:.0f} us')
    inner = hosts_for(CALLS_PER_S, cpu_us)
    outer = hosts_for(CALLS_PER_S * DEPTH, cpu_us)
    small = 14
    rate = small * UTILISATION * 1e6 / cpu_us
    print(f'{small} hosts carry {rate:.0f} calls/s at {UTILISATION:.0%}')
    for hosts, calls in (
        (small, rate),
        (inner, CALLS_PER_S),
        (outer, CALLS_PER_S * DEPTH),
    ):
        found = size(results, hosts, calls)
        print(f'\n{calls:.0f} calls/s:')
        for name in found.__struct_fields__:
            print(f'  {name:22}{getattr(found, name):12.2f}')


if __name__ == '__main__':
    main()
