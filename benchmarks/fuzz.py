"""Runs random sequences of faults, steps and calls until a promise breaks.

The seed is printed at the start. The run ends at the first broken promise
with the seed and the last steps, or when its time is over.
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
_SHOWN_STEPS = 8


def draw(rng: random.Random, number: int) -> tuple[fault_matrix.Job, float]:
    """Returns the next cell and the delay of its faults, in seconds."""
    step = rng.choice(sorted(matrix_steps.STEPS))
    allowed = [
        f for f in matrix_faults.FAULTS if not fault_matrix.why_not(f, step)
    ]
    faults = rng.sample(allowed, rng.randint(1, _MAX_FAULTS))
    delay_s = rng.choice((0.0, rng.uniform(0.0, _MAX_DELAY_S)))
    return fault_matrix.Job(number, tuple(faults), step), delay_s


async def _fuzz(seed: int, seconds: float, skip: int) -> int:
    """Returns the exit code."""
    rng = random.Random(seed)
    end_s = time.monotonic() + seconds
    last: collections.deque[str] = collections.deque(maxlen=_SHOWN_STEPS)
    totals = harness.Totals()
    cluster = await fault_matrix.start_cluster(seed)
    number = 0
    try:
        while time.monotonic() < end_s:
            job, delay_s = draw(rng, number)
            number += 1
            if number <= skip:
                continue
            text = (
                f'{job.number}: {" + ".join(job.faults)} / {job.step}, '
                f'delay {delay_s:.3f} s'
            )
            last.append(text)
            cell = harness.Cell(
                cluster, seed * 1000 + job.number, f'f{job.number}'
            )
            faults = [matrix_faults.FAULTS[name]() for name in job.faults]
            verdict = await cell.run(
                matrix_steps.STEPS[job.step], faults, delay_s
            )
            totals.add(verdict.totals)
            click.echo(f'{text}: {fault_matrix.mark(verdict)}')
            if verdict.broken:
                _report(seed, verdict, last)
                return 1
            if verdict.note:
                click.echo(f'   {verdict.note}; starting anew')
                await cluster.stop()
                cluster = await fault_matrix.start_cluster(seed)
    finally:
        await cluster.stop()
    click.echo(f'seed {seed}: {number - skip} cells passed, {totals}')
    return 0


def _report(
    seed: int, verdict: harness.Verdict, last: collections.deque[str]
) -> None:
    for promise, seen in sorted(verdict.broken.items()):
        click.echo(f'promise {promise} broken {len(seen)} times: {seen[:5]}')
    click.echo(f'seed {seed}; last steps:')
    for text in last:
        click.echo(f'  {text}')


@click.command()
@click.option('--seed', default=0, help='Seed; 0 draws one.')
@click.option('--seconds', default=300.0, help='Time bound in seconds.')
@click.option('--skip', default=0, help='Cells to leave out at the start.')
def main(seed: int, seconds: float, skip: int) -> None:
    """Runs random faults until a promise breaks or the time is over."""
    seed = seed or secrets.randbelow(1_000_000) + 1
    click.echo(f'seed {seed}, {seconds:.0f} s')
    logging.disable(logging.WARNING)
    sys.exit(asyncio.run(_fuzz(seed, seconds, skip)))


if __name__ == '__main__':
    main()
