"""Estimates the hosts and the cost per host at the design load.

Evaluates the fitted lines of `docs/plots/slopes.json` and measures nothing.

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
SERVING_SET_SIZE = 4
CHANGES_PER_HOUR = 1300 / 24
RESTARTS_PER_HOUR = 295 / 24
# Each host has one event loop. Above this utilisation, queueing shows in p99.
MAX_UTILISATION = 0.6
_KEYED_SHARE = 0.2
_TOKEN_LIFETIME_S = 120


class Size(msgspec.Struct, frozen=True):
    """Estimates for a fleet of one size.

    `hosts` and `store_calls_per_s` are of the fleet, `query_us` is per query,
    `in_force_s` is a time; the others are per host.
    """

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


def evaluate(fit: slopes.Fit, x: float) -> float:
    """Returns the value of a fitted line at size `x`."""
    return fit.intercept + fit.slope * x


def call_us(results: slopes.Results, way: str = 'host') -> float:
    """Returns the CPU per call in microseconds at the highest measured rate.

    The result includes the cost that does not depend on the rate. The slope
    alone differed by a quarter between two runs on a shared machine.
    """
    rate, percent = results.series[f'path-{way}-cpu'].points[-1]
    return percent / rate * 1e4


def hosts_for(calls_per_s: float, cpu_us: float) -> int:
    """Returns the number of hosts needed to carry a rate of calls.

    Args:
        calls_per_s: Calls per second of the fleet.
        cpu_us: CPU per call in microseconds.
    """
    return math.ceil(calls_per_s * cpu_us / 1e6 / MAX_UTILISATION)


def size(results: slopes.Results, hosts: int, calls_per_s: float) -> Size:
    """Returns the estimates for a fleet.

    Args:
        results: Results of the slope benchmark.
        hosts: Hosts of the fleet.
        calls_per_s: Calls per second of the fleet.
    """
    fits = results.series
    # These costs fall slightly as the fleet grows. Beyond the largest measured
    # fleet, the fitted line would become negative.
    measured_hosts = min(hosts, fits['hosts-tick-cpu'].points[-1][0])
    targets = min(TARGETS, TARGETS * SERVING_SET_SIZE / hosts)
    calls_per_host = calls_per_s / hosts
    keyed_calls = calls_per_host * _KEYED_SHARE * _TOKEN_LIFETIME_S
    rest = evaluate(fits['hosts-rest-max-bytes'], hosts)
    # In the distribution tree, a host sends each change to at most two hosts.
    changes = fits['changes-bytes'].slope * CHANGES_PER_HOUR
    restarts = max(0.0, fits['restarts-bytes'].slope) * RESTARTS_PER_HOUR
    return Size(
        hosts=hosts,
        calls_per_s=calls_per_host,
        targets=targets,
        rest_bytes=rest,
        bytes_per_s=rest + 2 * changes + restarts,
        peer_cpu_percent=evaluate(fits['hosts-rest-cpu'], measured_hosts),
        tick_cpu_percent=evaluate(fits['hosts-tick-cpu'], measured_hosts),
        changes_cpu_percent=max(0.0, fits['changes-cpu'].slope)
        * CHANGES_PER_HOUR,
        # The memory without targets is taken from the daemons, because they
        # have peers as well.
        resident_mb=results.comparison.resident_mb
        + fits['targets-memory'].slope * targets,
        record_mb=fits['records-memory'].slope * keyed_calls,
        query_us=evaluate(fits['hosts-query-cpu'], hosts),
        in_force_s=evaluate(fits['hosts-in-force-max'], hosts),
        store_calls_per_s=evaluate(fits['hosts-rest-store'], hosts)
        + fits['changes-store'].slope * CHANGES_PER_HOUR,
    )


def main() -> None:
    """Prints the estimates for three fleets."""
    content = (pathlib.Path(slopes.OUTPUT_DIR) / 'slopes.json').read_bytes()
    results = msgspec.json.decode(content, type=slopes.Results)
    cpu_us, relay_us = call_us(results), call_us(results, 'relay')
    print(f'CPU per call: {cpu_us:.0f} us, bare relay {relay_us:.0f} us')
    design_hosts = hosts_for(CALLS_PER_S, cpu_us)
    nested_hosts = hosts_for(CALLS_PER_S * DEPTH, cpu_us)
    small_hosts = 14
    rate = small_hosts * MAX_UTILISATION * 1e6 / cpu_us
    print(
        f'{small_hosts} hosts carry {rate:.0f} calls/s at {MAX_UTILISATION:.0%}'
    )
    for hosts, calls in (
        (small_hosts, rate),
        (design_hosts, CALLS_PER_S),
        (nested_hosts, CALLS_PER_S * DEPTH),
    ):
        estimate = size(results, hosts, calls)
        print(f'\n{calls:.0f} calls/s:')
        for name in estimate.__struct_fields__:
            print(f'  {name:22}{getattr(estimate, name):12.2f}')


if __name__ == '__main__':
    main()
