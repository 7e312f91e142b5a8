"""Measures how costs grow with the size of a deployment.

Covers control traffic, upkeep of idle targets and services, calls, records of
keyed calls, and store calls. Measures each quantity at four sizes or more, fits
a straight line by least squares and prints its residual. CPU is the CPU time of
a process; CPU values are medians because other processes share the machine.
Writes `slopes.json` and the plots.

Run with `make bench-slopes` (at most 6 minutes).
"""

import argparse
import collections
from collections import abc
import concurrent.futures
import multiprocessing
import os
import pathlib
import platform
import statistics
import time

import msgspec

from benchmarks import slope_fleet
from benchmarks import slope_host

COMMAND = 'make bench-slopes'
OUTPUT_DIR = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'plots'
DESIGN_HOSTS = 52
_HOST_COUNTS = (13, 26, 52, 76, 100)
_SERVICE_COUNTS = (10, 27, 54, 108)
_CHANGES_PER_HOUR = (0, 540, 1080, 2160, 4320)
_RESTARTS_PER_HOUR = (0, 120, 240, 480, 960)
_IDLE_TARGET_COUNTS = (50, 100, 200, 400)
_RECORD_COUNTS = (2500, 5000, 10000, 20000)
# More processes at once would distort the CPU figures of each other.
_MAX_PROCESSES = 4
_WIDTH_IN, _HEIGHT_IN = 5.0, 3.2

# Plot, x label and y label by series. Series with the same plot share its file.
_HOSTS_LABEL = 'hosts'
SERIES: dict[str, tuple[str, str, str]] = {
    'hosts-rest-bytes': ('control-bytes', _HOSTS_LABEL, 'B/s per host'),
    'hosts-rest-max-bytes': ('control-bytes', _HOSTS_LABEL, 'B/s per host'),
    'hosts-changes-bytes': ('control-bytes', _HOSTS_LABEL, 'B/s per host'),
    'hosts-changes-max-bytes': ('control-bytes', _HOSTS_LABEL, 'B/s per host'),
    'hosts-rest-cpu': ('control-cpu', _HOSTS_LABEL, '% of a core per host'),
    'hosts-changes-cpu': ('control-cpu', _HOSTS_LABEL, '% of a core per host'),
    'hosts-rest-store': ('store', _HOSTS_LABEL, 'calls/s of the fleet'),
    'hosts-changes-store': ('store', _HOSTS_LABEL, 'calls/s of the fleet'),
    'hosts-failing-store': ('store', _HOSTS_LABEL, 'calls/s of the fleet'),
    'hosts-query-cpu': ('query', _HOSTS_LABEL, 'us'),
    'hosts-reason-cpu': ('query', _HOSTS_LABEL, 'us'),
    'hosts-tick-cpu': ('tick', _HOSTS_LABEL, '% of a core'),
    'hosts-in-force-median': ('in-force', _HOSTS_LABEL, 's'),
    'hosts-in-force-max': ('in-force', _HOSTS_LABEL, 's'),
    'hosts-in-force-leader-lost-max': ('in-force-lost', _HOSTS_LABEL, 's'),
    'services-bytes': ('services-bytes', 'services', 'B/s per host'),
    'services-cpu': ('services-cpu', 'services', '% of a core per host'),
    'changes-bytes': ('changes-bytes', 'changes/h', 'B/s per host'),
    'changes-cpu': ('changes-cpu', 'changes/h', '% of a core per host'),
    'changes-store': ('changes-store', 'changes/h', 'calls/s of the fleet'),
    'restarts-bytes': ('restarts-bytes', 'restarts/h', 'B/s per host'),
    'restarts-cpu': ('restarts-cpu', 'restarts/h', '% of a core per host'),
    'restarts-store': ('restarts-store', 'restarts/h', 'calls/s of the fleet'),
    'targets-cpu': ('upkeep-targets-cpu', 'targets', '% of a core'),
    'targets-memory': ('upkeep-targets-memory', 'targets', 'MiB resident'),
    'host-services-cpu': ('upkeep-services-cpu', 'services', '% of a core'),
    'host-services-memory': (
        'upkeep-services-memory',
        'services',
        'MiB resident',
    ),
    'host-services-status-cpu': ('operators-services', 'services', 'us'),
    'host-services-metrics-cpu': ('operators-services', 'services', 'us'),
    'targets-status-cpu': ('operators-targets', 'targets', 'us'),
    'targets-list-cpu': ('operators-targets', 'targets', 'us'),
    'targets-metrics-cpu': ('operators-targets', 'targets', 'us'),
    'host-services-list-cpu': ('operators-services', 'services', 'us'),
    'acquire-cpu': ('acquire', 'targets', 'us'),
    'path-host-cpu': ('path', 'calls/s', '% of a core'),
    'path-relay-cpu': ('path', 'calls/s', '% of a core'),
    'records-cpu': ('records-cpu', 'keyed calls', 's'),
    'records-memory': ('records-memory', 'keyed calls', 'MiB'),
    'records-counted': ('records-memory', 'keyed calls', 'MiB'),
}


class Fit(msgspec.Struct, frozen=True):
    """A series of measurements and the straight line fitted to it.

    Attributes:
        x_label: Quantity that is varied.
        y_label: Quantity that is measured, with its unit.
        points: Pairs of size and value, sorted by size.
        slope: Change of the value per unit of size.
        intercept: Value of the fitted line at size 0.
        residual: Root mean square of the vertical distances from the line.
        bend: Slope of the upper half divided by the slope of the lower half.
            Above 1, the cost grows faster than linearly. 0 if the value
            changes by no more than the residual over the lower half.
    """

    x_label: str
    y_label: str
    points: list[tuple[float, float]]
    slope: float
    intercept: float
    residual: float
    bend: float


class Results(msgspec.Struct, frozen=True):
    """The content of `slopes.json`."""

    command: str
    seed: int
    python: str
    cores: int
    load: float
    seconds: float
    design_hosts: int
    series: dict[str, Fit]
    store: list[slope_fleet.StorePhase]
    comparison: slope_host.Comparison


def fit(
    points: abc.Iterable[tuple[float, float]],
    x_label: str = '',
    y_label: str = '',
) -> Fit:
    """Fits a straight line by least squares.

    Args:
        points: Pairs of size and value, in any order.
        x_label: Label of the x axis.
        y_label: Label of the y axis.

    Returns:
        The fitted line with the points sorted by size.

    Raises:
        ValueError: There are fewer than four points.
    """
    ordered = sorted(points)
    if len(ordered) < 4:
        raise ValueError(f'{len(ordered)} points are too few for a fit, need 4')
    xs, ys = zip(*ordered, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    residual = statistics.fmean(
        (y - slope * x - intercept) ** 2 for x, y in ordered
    )
    residual **= 0.5
    middle = len(xs) // 2
    lower = (ys[middle] - ys[0]) / (xs[middle] - xs[0])
    upper = (ys[-1] - ys[middle]) / (xs[-1] - xs[middle])
    rises = abs(ys[middle] - ys[0]) > residual
    bend = upper / lower if rises else 0.0
    return Fit(
        x_label,
        y_label,
        ordered,
        slope,
        intercept,
        residual,
        bend,
    )


def jobs() -> list[tuple[abc.Callable[..., object], tuple[object, ...]]]:
    """Returns the function and the arguments of each measurement.

    The longest measurements come first, to shorten the whole run.
    """
    measurements = [
        (slope_host.call_path, ()),
        (slope_host.compare, ()),
        (slope_fleet.store_phases, (DESIGN_HOSTS,)),
    ]
    measurements += [
        (slope_fleet.by_hosts, (n,)) for n in reversed(_HOST_COUNTS)
    ]
    measurements += [
        (slope_fleet.in_force, (n,)) for n in reversed(_HOST_COUNTS)
    ]
    measurements += [
        (slope_host.by_targets, (n,)) for n in reversed(_IDLE_TARGET_COUNTS)
    ]
    measurements += [
        (slope_host.by_services, (n,)) for n in reversed(_SERVICE_COUNTS)
    ]
    measurements += [(slope_fleet.by_services, (n,)) for n in _SERVICE_COUNTS]
    measurements += [(slope_fleet.by_changes, (n,)) for n in _CHANGES_PER_HOUR]
    measurements += [
        (slope_fleet.by_restarts, (n,)) for n in _RESTARTS_PER_HOUR
    ]
    measurements += [
        (slope_host.record_cost, (n,)) for n in reversed(_RECORD_COUNTS)
    ]
    measurements.append((slope_host.acquire_cpu, ()))
    return measurements


def measure() -> Results:
    """Runs each measurement in its own process and fits all series."""
    start_s = time.monotonic()
    points = collections.defaultdict(list)
    store: list[slope_fleet.StorePhase] = []
    comparison = None
    with concurrent.futures.ProcessPoolExecutor(
        _MAX_PROCESSES,
        mp_context=multiprocessing.get_context('spawn'),
        max_tasks_per_child=1,
    ) as pool:
        jobs_by_future = {
            pool.submit(function, *args): (function, args)
            for function, args in jobs()
        }
        for future in concurrent.futures.as_completed(jobs_by_future):
            function, args = jobs_by_future[future]
            result = future.result()
            elapsed_s = time.monotonic() - start_s
            print(f'{elapsed_s:5.0f} s  {function.__name__} {args}', flush=True)
            if isinstance(result, slope_host.Comparison):
                comparison = result
                continue
            for item in result:
                if isinstance(item, slope_fleet.StorePhase):
                    store.append(item)
                else:
                    points[item.series].append((item.x, item.y))
    series = {
        name: fit(points[name], x_label, y_label)
        for name, (_, x_label, y_label) in SERIES.items()
    }
    return Results(
        command=COMMAND,
        seed=slope_fleet.SEED,
        python=platform.python_version(),
        cores=os.cpu_count() or 0,
        load=os.getloadavg()[0],
        seconds=time.monotonic() - start_s,
        design_hosts=DESIGN_HOSTS,
        series=series,
        store=store,
        comparison=comparison,
    )


def plot(results: Results, out: pathlib.Path) -> None:
    """Writes one SVG file per group of series.

    Equal results give identical files.

    Args:
        results: Results of all measurements.
        out: Existing directory for the files.
    """
    # The processes that measure import this module, and matplotlib would add
    # 43 MiB to their resident memory.
    import matplotlib as mpl
    from matplotlib import figure

    mpl.rcParams['svg.hashsalt'] = 'ragwortchute'
    groups = collections.defaultdict(list)
    for name, (group, _, _) in SERIES.items():
        groups[group].append(name)
    for group, names in groups.items():
        fig = figure.Figure((_WIDTH_IN, _HEIGHT_IN), layout='constrained')
        axes = fig.subplots()
        for name in names:
            line = results.series[name]
            xs, ys = zip(*line.points, strict=True)
            fitted = [line.slope * x + line.intercept for x in xs]
            (dots,) = axes.plot(xs, ys, 'o', label=name)
            axes.plot(xs, fitted, color=dots.get_color())
        axes.set_xlabel(line.x_label)
        axes.set_ylabel(line.y_label)
        axes.set_ylim(bottom=0)
        axes.legend(fontsize=7)
        fig.savefig(out / f'{group}.svg', metadata={'Date': None})


def report(results: Results) -> None:
    """Prints the fitted lines, the store phases and the comparison."""
    print(f'{"series":32}{"slope":>12}{"at 0":>10}{"residual":>10}{"bend":>7}')
    for name, line in results.series.items():
        print(
            f'{name:32}{line.slope:12.5g}{line.intercept:10.4g}'
            f'{line.residual:10.3g}{line.bend:7.2f}  '
            + ' '.join(f'{x:g}:{y:.4g}' for x, y in line.points)
        )
    for phase in results.store:
        kinds = ' '.join(f'{k} {v:.2f}' for k, v in phase.per_s.items())
        print(
            f'{phase.phase:34} {sum(phase.per_s.values()):6.2f}/s ({kinds}), '
            f'peak {phase.peak}, writes {phase.peak_writes}, '
            f'{phase.max_bytes_per_s:.0f} B/s at most'
        )
    print(results.comparison)
    print(f'{results.seconds:.0f} s, load {results.load:.1f}')


def main() -> None:
    """Runs all measurements, prints the results and writes the files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--out', type=pathlib.Path, default=OUTPUT_DIR)
    args = parser.parse_args()
    results = measure()
    report(results)
    args.out.mkdir(parents=True, exist_ok=True)
    content = msgspec.json.format(msgspec.json.encode(results), indent=1)
    (args.out / 'slopes.json').write_bytes(content + b'\n')
    plot(results, args.out)


if __name__ == '__main__':
    main()
