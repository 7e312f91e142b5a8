"""Injects each fault at each step of a call and checks the guarantees.

Entry hosts run as processes on loopback addresses; the store and the targets
run in the process that generates the load. Four deployments run concurrently,
and each runs an equal part of the cells (pairs of a fault and a step). The
table is written to docs/fault-matrix.md. The exit code is 1 if a guarantee was
violated or a cell could not be evaluated.
"""

import asyncio
import concurrent.futures
import datetime
import logging
import multiprocessing
import pathlib
import random
import sys
import time
import traceback

import click
import msgspec

from standins import harness
from standins import matrix_cluster
from standins import matrix_faults
from standins import matrix_steps

SEED = 11
WORKERS = 4
FAULT_PAIRS = 20
WARM_UP_S = 5.0
_START_ATTEMPTS = 3
_PAGE = (
    pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'fault-matrix.md'
)
_CALL_STEPS = (
    'address query',
    'admission',
    'choice of target',
    'connect',
    'body half sent',
    'waiting for the answer',
    'answer half sent',
    'record',
)


class Cell(msgspec.Struct, frozen=True):
    """A step and the one or two faults to inject at it."""

    number: int
    faults: tuple[str, ...]
    step: str


class CellResult(msgspec.Struct, frozen=True):
    """A cell and its outcome."""

    cell: Cell
    verdict: harness.Verdict


def skip_reason(fault: str, step: str) -> str:
    """Returns why a cell does not apply, or '' if it does."""
    if fault.startswith('target'):
        if step == 'address query':
            return 'no target takes part'
        if step == 'hand-over':
            return 'no work is left'
        if step == 'document apply':
            return 'no target takes part'
    if step in _CALL_STEPS:
        if fault == 'write answer lost':
            return 'no store write'
        if fault == 'host list lagging':
            return 'list not read'
    return ''


def make_cells(seed: int, pairs: int) -> list[Cell]:
    """Returns all cells of the matrix and a sample of cells with two faults."""
    cells = [
        ((fault,), step)
        for fault in matrix_faults.FAULTS
        for step in matrix_steps.STEPS
        if not skip_reason(fault, step)
    ]
    rng = random.Random(seed)
    for _ in range(pairs):
        step = rng.choice(sorted(matrix_steps.STEPS))
        allowed = [f for f in matrix_faults.FAULTS if not skip_reason(f, step)]
        cells.append((tuple(rng.sample(allowed, 2)), step))
    return [Cell(i, faults, step) for i, (faults, step) in enumerate(cells)]


async def run_cell(
    cluster: matrix_cluster.Cluster, cell: Cell, seed: int
) -> harness.Verdict:
    """Runs one cell on a running deployment."""
    runner = harness.FaultTrial(
        cluster, seed * 1000 + cell.number, f'c{cell.number}'
    )
    faults = [matrix_faults.FAULTS[name]() for name in cell.faults]
    return await runner.run(matrix_steps.STEPS[cell.step], faults)


async def start_cluster(seed: int) -> matrix_cluster.Cluster:
    """Starts a deployment and warms up its targets.

    Raises:
        TimeoutError: The last attempt did not start in time.
    """
    for attempt in range(_START_ATTEMPTS):
        cluster = matrix_cluster.Cluster(seed)
        try:
            await cluster.start()
            await harness.warm_up(cluster, WARM_UP_S)
            return cluster
        except TimeoutError:
            # Another process may take a port between its choice and its use.
            await cluster.stop()
            if attempt == _START_ATTEMPTS - 1:
                raise
    raise AssertionError


async def _run_cells(part: list[Cell], seed: int) -> list[CellResult]:
    cluster = await start_cluster(seed)
    done = []
    try:
        for cell in part:
            try:
                async with asyncio.timeout(60.0):
                    verdict = await run_cell(cluster, cell, seed)
            except Exception:
                verdict = harness.Verdict(error=traceback.format_exc())
            _print_result(cell, verdict)
            done.append(CellResult(cell, verdict))
            if verdict.error:
                await cluster.stop()
                cluster = await start_cluster(seed)
    finally:
        await cluster.stop()
    return done


def _print_result(cell: Cell, verdict: harness.Verdict) -> None:
    name = ' + '.join(cell.faults)
    click.echo(
        f'{cell.number:3d} {name} / {cell.step}: {result_text(verdict)} '
        f'{verdict.seconds:.1f} s, {verdict.totals.calls} calls '
        f'({verdict.totals.not_run} not-run, {verdict.totals.unknown} unknown)'
    )
    for promise, seen in verdict.violations.items():
        click.echo(f'      promise {promise}: {seen[:3]} ({len(seen)})')
    if verdict.error:
        click.echo(f'      {verdict.error}')


def result_text(verdict: harness.Verdict) -> str:
    """Returns the text that the table shows for a cell."""
    if verdict.violations:
        return 'broken ' + ', '.join(map(str, sorted(verdict.violations)))
    if verdict.error:
        return 'not judged'
    return 'passed' if verdict.reached else 'passed*'


def _worker(part: list[Cell], seed: int) -> list[CellResult]:
    logging.disable(logging.WARNING)
    return asyncio.run(_run_cells(part, seed))


def render_page(done: list[CellResult], seed: int, seconds: float) -> str:
    """Returns the Markdown page with the results."""
    by_cell = {
        (d.cell.faults[0], d.cell.step): d.verdict
        for d in done
        if len(d.cell.faults) == 1
    }
    steps = list(matrix_steps.STEPS)
    rows = ['| fault | ' + ' | '.join(steps) + ' |']
    rows.append('|---' * (len(steps) + 1) + '|')
    for fault in matrix_faults.FAULTS:
        cells = [
            result_text(by_cell[fault, step])
            if (fault, step) in by_cell
            else f'({skip_reason(fault, step) or "not run"})'
            for step in steps
        ]
        rows.append(f'| {fault} | ' + ' | '.join(cells) + ' |')
    pairs = ['| faults | step | result |', '|---|---|---|']
    for item in done:
        if len(item.cell.faults) == 2:
            names = ' + '.join(item.cell.faults)
            pairs.append(
                f'| {names} | {item.cell.step} | {result_text(item.verdict)} |'
            )
    return _TEXT.format(
        date=datetime.datetime.now(datetime.UTC).date().isoformat(),
        seed=seed,
        seconds=seconds,
        totals=_totals(done),
        table='\n'.join(rows),
        pairs='\n'.join(pairs),
        broken=_list_violations(done),
    )


def _totals(done: list[CellResult]) -> str:
    totals = harness.Totals()
    for item in done:
        totals.add(item.verdict.totals)
    judged = [d for d in done if not d.verdict.error]
    passed = sum(result_text(d.verdict).startswith('passed') for d in judged)
    return (
        f'{len(done)} cells, {passed} passed, '
        f'{sum(bool(d.verdict.violations) for d in done)} broken, '
        f'{len(done) - len(judged)} with trouble of the harness; '
        f'{totals.calls} calls, {totals.answers} answered, '
        f'{totals.not_run} refused `not-run`, {totals.ran} refused `ran`, '
        f'{totals.unknown} `unknown`, {totals.runs} runs on targets'
    )


def _list_violations(done: list[CellResult]) -> str:
    lines = [
        f'- {" + ".join(d.cell.faults)} / {d.cell.step}: promise {promise}, '
        f'{len(seen)} times, first: {seen[0]}'
        for d in done
        for promise, seen in sorted(d.verdict.violations.items())
    ]
    lines += [
        f'- {" + ".join(d.cell.faults)} / {d.cell.step}: '
        f'{d.verdict.error.strip().splitlines()[-1]}'
        for d in done
        if d.verdict.error
    ]
    return '\n'.join(lines) or 'None.'


_TEXT = """# Fault matrix

Each cell runs a seeded load of reads, writes and writes with home regions
with the caller client against four entry hosts as processes (three in one
region, one in another), leads a call or an operation to the step of the
column, brings the fault of the row about, ends it and checks the ten promises
of the design. Numbers after `broken` are those of the promises. `passed*` is
a cell whose step was not reached within 4 s before the fault. Text in
brackets says why a cell makes no sense.

- Command: `make fault-matrix` (`python -m benchmarks.fault_matrix`)
- Date: {date}, seed {seed}, {seconds:.0f} s with 4 deployments side by side
- Totals: {totals}

## Single faults

{table}

## Pairs of faults

{pairs}

## Broken promises and cells not judged

{broken}

## What is not proved

- The step is brought about from outside: the order of events within a host
  around the fault is not controlled, and hand-over is taken to begin when the
  caller listener closes.
- The 7 s of a document and the 5 s of a domain count from the end of a fault
  that cuts a host off.
- Clients reach all hosts during every cut; only links between hosts and to
  the store are cut. Cut links drop all bytes; single lost or reordered
  packets are not simulated.
- Storage of requests with home regions is checked by the targets that ran
  them and by a marker in their bodies on links between regions. Memory of the
  hosts is not looked at.
- A target that has been told to leave is checked by requests that reach it,
  not by connections.
- Budgets are checked per cell by the counts of retries and control bytes of
  hosts that lived through the cell. CPU and memory of control are not checked
  here.
- Clocks of different rate, steps of the wall clock, loss of a whole failure
  domain, and partitions longer than 4 s are not part of the matrix.
- A process that turns cold again without notice shows nothing before its
  first overload, which breaks all its connections. That one is not counted.
- At `connect` a host fault acts on a fixed host, which need not be the one
  that connects. Steps are led by writes, and by one read where no large body
  is needed.
- Each cell runs once; a promise that breaks rarely may pass.
"""


@click.command()
@click.option(
    '--seed', default=SEED, help='Seed of the load and of the pairs of faults.'
)
@click.option(
    '--only', default='', help='Run only cells whose name contains this text.'
)
@click.option(
    '--workers', default=WORKERS, help='Number of concurrent deployments.'
)
@click.option('--write/--no-write', default=True, help='Write the page.')
def main(seed: int, only: str, workers: int, write: bool) -> None:
    """Runs the matrix and writes the page."""
    start_s = time.monotonic()
    selected = [
        cell
        for cell in make_cells(seed, FAULT_PAIRS)
        if only in f'{" + ".join(cell.faults)} / {cell.step}'
    ]
    if not selected:
        raise click.UsageError(f'no cell has {only!r} in its name')
    workers = min(workers, len(selected))
    click.echo(f'{len(selected)} cells, seed {seed}')
    context = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(
        workers, mp_context=context
    ) as pool:
        parts = [
            pool.submit(_worker, selected[i::workers], seed)
            for i in range(workers)
        ]
        done = [item for part in parts for item in part.result()]
    done.sort(key=lambda item: item.cell.number)
    seconds = time.monotonic() - start_s
    click.echo(f'{_totals(done)}; {seconds:.0f} s')
    if write and not only:
        _PAGE.write_text(render_page(done, seed, seconds))
    sys.exit(any(d.verdict.violations or d.verdict.error for d in done))


if __name__ == '__main__':
    main()
