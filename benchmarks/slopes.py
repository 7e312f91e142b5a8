"""Cost against size: slopes of control, upkeep, calls, records and the store.

Measures each quantity at four sizes or more, fits a straight line by least
squares and shows its residual. CPU is the CPU time of a process; values are
medians because the machine is shared. Writes `slopes.json` and the plots.

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
OUT = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'plots'
DESIGN_HOSTS = 52
_HOSTS = (13, 26, 52, 76, 100)
_SERVICES = (10, 27, 54, 108)
_CHANGES_PER_HOUR = (0, 540, 1080, 2160, 4320)
_RESTARTS_PER_HOUR = (0, 120, 240, 480, 960)
_IDLE_TARGETS = (50, 100, 200, 400)
_RECORDS = (2500, 5000, 10000, 20000)
# More at once would disturb the CPU figures of each other.
_WORKERS = 4
_WIDTH_IN, _HEIGHT_IN = 5.0, 3.2

# Labels of the axes by series; series of one plot share its name.
_HOST_COUNT = 'hosts'
SERIES: dict[str, tuple[str, str, str]] = {
    'hosts-rest-bytes': ('control-bytes', _HOST_COUNT, 'B/s per host'),
    'hosts-rest-max-bytes': ('control-bytes', _HOST_COUNT, 'B/s per host'),
    'hosts-changes-bytes': ('control-bytes', _HOST_COUNT, 'B/s per host'),
    'hosts-changes-max-bytes': ('control-bytes', _HOST_COUNT, 'B/s per host'),
    'hosts-rest-cpu': ('control-cpu', _HOST_COUNT, '% of a core per host'),
    'hosts-changes-cpu': ('control-cpu', _HOST_COUNT, '% of a core per host'),
    'hosts-rest-store': ('store', _HOST_COUNT, 'calls/s of the fleet'),
    'hosts-changes-store': ('store', _HOST_COUNT, 'calls/s of the fleet'),
    'hosts-failing-store': ('store', _HOST_COUNT, 'calls/s of the fleet'),
    'hosts-query-cpu': ('query', _HOST_COUNT, 'us'),
    'hosts-reason-cpu': ('query', _HOST_COUNT, 'us'),
    'hosts-tick-cpu': ('tick', _HOST_COUNT, '% of a core'),
    'hosts-in-force-median': ('in-force', _HOST_COUNT, 's'),
    'hosts-in-force-max': ('in-force', _HOST_COUNT, 's'),
    'hosts-in-force-leader-lost-max': ('in-force-lost', _HOST_COUNT, 's'),
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
    """A series and the straight line through it.

    Attributes:
        x_label: What varies.
        y_label: What was measured.
        points: Pairs of size and value, by size.
        slope: Value per unit of size.
        intercept: Value of the line at size 0.
        residual: Root mean square of the distances from the line.
        bend: Slope of the upper half by slope of the lower half; above 1 the
            cost grows faster than the size. 0 if the lower half does not
            rise by more than the residual.
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

    Raises:
        ValueError: There are fewer than four points.
    """
    ordered = sorted(points)
    if len(ordered) < 4:
        raise ValueError(f'{len(ordered)} points are too few for a fit')
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
    """Returns all measurements, the longest first."""
    found = [
        (slope_host.call_path, ()),
        (slope_host.compare, ()),
        (slope_fleet.store_phases, (DESIGN_HOSTS,)),
    ]
    found += [(slope_fleet.by_hosts, (n,)) for n in reversed(_HOSTS)]
    found += [(slope_fleet.in_force, (n,)) for n in reversed(_HOSTS)]
    found += [(slope_host.by_targets, (n,)) for n in reversed(_IDLE_TARGETS)]
    found += [(slope_host.by_services, (n,)) for n in reversed(_SERVICES)]
    found += [(slope_fleet.by_services, (n,)) for n in _SERVICES]
    found += [(slope_fleet.by_changes, (n,)) for n in _CHANGES_PER_HOUR]
    found += [(slope_fleet.by_restarts, (n,)) for n in _RESTARTS_PER_HOUR]
    found += [(slope_host.record_cost, (n,)) for n in reversed(_RECORDS)]
    found.append((slope_host.acquire_cpu, ()))
    return found


def measure() -> Results:
    """Runs all measurements, each in a process of its own."""
    began_s = time.monotonic()
    points = collections.defaultdict(list)
    store: list[slope_fleet.StorePhase] = []
    comparison = None
    with concurrent.futures.ProcessPoolExecutor(
        _WORKERS,
        mp_context=multiprocessing.get_context('spawn'),
        max_tasks_per_child=1,
    ) as pool:
        running = {pool.submit(act, *args): (act, args) for act, args in jobs()}
        for done in concurrent.futures.as_completed(running):
            act, args = running[done]
            result = done.result()
            took_s = time.monotonic() - began_s
            print(f'{took_s:5.0f} s  {act.__name__} {args}', flush=True)
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
        seconds=time.monotonic() - began_s,
        design_hosts=DESIGN_HOSTS,
        series=series,
        store=store,
        comparison=comparison,
    )


def plot(results: Results, out: pathlib.Path) -> None:
    """Writes one SVG file per group of series, the same for equal results."""
    # The workers import this module, and matplotlib would add 43 MiB to the
    # memory that they measure.
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
    """Prints all figures."""
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
    """Measures, prints, and writes the results and the plots."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--out', type=pathlib.Path, default=OUT)
    args = parser.parse_args()
    results = measure()
    report(results)
    args.out.mkdir(parents=True, exist_ok=True)
    content = msgspec.json.format(msgspec.json.encode(results), indent=1)
    (args.out / 'slopes.json').write_bytes(content + b'\n')
    plot(results, args.out)


if __name__ == '__main__':
    main()
