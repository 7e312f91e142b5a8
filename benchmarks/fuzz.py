"""Runs random combinations of faults and steps until a guarantee is violated.

The seed is printed at the start. The run ends when the time limit is reached
or at the first violation, which is reported with the seed and the last cells.
"""

import asyncio
import collections
import logging
import random
import secrets
import sys
import time

import click

from benchmarks import fault_matrix
from standins import harness
from standins import matrix_faults
from standins import matrix_steps

_MAX_FAULTS = 3
_MAX_DELAY_S = 0.5
_REPORTED_CELLS = 8


def draw_cell(
    rng: random.Random, number: int
) -> tuple[fault_matrix.Cell, float]:
    """Returns a random cell and the delay of its faults, in seconds."""
    step = rng.choice(sorted(matrix_steps.STEPS))
    allowed = [
        f for f in matrix_faults.FAULTS if not fault_matrix.skip_reason(f, step)
    ]
    faults = rng.sample(allowed, rng.randint(1, _MAX_FAULTS))
    delay_s = rng.choice((0.0, rng.uniform(0.0, _MAX_DELAY_S)))
    return fault_matrix.Cell(number, tuple(faults), step), delay_s


async def _fuzz(seed: int, seconds: float, skip: int) -> int:
    """Runs random cells and returns the exit code."""
    rng = random.Random(seed)
    end_s = time.monotonic() + seconds
    recent: collections.deque[str] = collections.deque(maxlen=_REPORTED_CELLS)
    totals = harness.Totals()
    cluster = await fault_matrix.start_cluster(seed)
    number = 0
    try:
        while time.monotonic() < end_s:
            cell, delay_s = draw_cell(rng, number)
            number += 1
            if number <= skip:
                continue
            description = (
                f'{cell.number}: {" + ".join(cell.faults)} / {cell.step}, '
                f'delay {delay_s:.3f} s'
            )
            recent.append(description)
            runner = harness.FaultTrial(
                cluster, seed * 1000 + cell.number, f'f{cell.number}'
            )
            faults = [matrix_faults.FAULTS[name]() for name in cell.faults]
            verdict = await runner.run(
                matrix_steps.STEPS[cell.step], faults, delay_s
            )
            totals.add(verdict.totals)
            click.echo(f'{description}: {fault_matrix.result_text(verdict)}')
            if verdict.violations:
                _report(seed, verdict, recent)
                return 1
            if verdict.error:
                click.echo(f'   {verdict.error}; restarting the deployment')
                await cluster.stop()
                cluster = await fault_matrix.start_cluster(seed)
    finally:
        await cluster.stop()
    click.echo(f'seed {seed}: {number - skip} cells passed, {totals}')
    return 0


def _report(
    seed: int, verdict: harness.Verdict, recent: collections.deque[str]
) -> None:
    for promise, seen in sorted(verdict.violations.items()):
        click.echo(f'promise {promise} broken {len(seen)} times: {seen[:5]}')
    click.echo(f'seed {seed}; last steps:')
    for description in recent:
        click.echo(f'  {description}')


@click.command()
@click.option('--seed', default=0, help='Seed; 0 chooses a random one.')
@click.option('--seconds', default=300.0, help='Time limit in seconds.')
@click.option('--skip', default=0, help='Number of cells to skip at the start.')
def main(seed: int, seconds: float, skip: int) -> None:
    """Runs random cells until a violation or the time limit."""
    seed = seed or secrets.randbelow(1_000_000) + 1
    click.echo(f'seed {seed}, {seconds:.0f} s')
    logging.disable(logging.WARNING)
    sys.exit(asyncio.run(_fuzz(seed, seconds, skip)))


if __name__ == '__main__':
    main()
