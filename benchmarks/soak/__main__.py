"""Runs the soak from the command line."""

import asyncio
import tempfile

import click

from benchmarks.soak import run
from benchmarks.soak import stops


@click.command()
@click.option('--seed', default=1, help='First seed.')
@click.option('--seeds', default=1, help='Number of seeds.')
@click.option(
    '--seconds', default=20.0, help='Seconds of fault injection per seed.'
)
@click.option('--hosts', default=2, help='Hosts in each failure domain.')
def main(seed: int, seeds: int, seconds: float, hosts: int) -> None:
    """Runs seeds until one finds a violation."""
    for number in range(seed, seed + seeds):
        folder = tempfile.mkdtemp(prefix=f'soak-{number}-')
        soak = asyncio.run(
            run.run_seed(number, seconds, folder, stops.FAULTS, hosts)
        )
        counts = dict(sorted(soak.statuses.items()))
        click.echo(
            f'seed {number}: {counts}, '
            f'own process up to {soak.late_s:.2f} s late, kept connections: '
            f'{dict(sorted(soak.kept_checker.counts.items()))}, '
            f'rollouts: {soak.rollouts.summary()}'
        )
        if soak.violations:
            click.echo('\n'.join(soak.violations[:5] + soak.fault_log[-12:]))
            click.echo(f'logs in {folder}')
            raise SystemExit(1)


if __name__ == '__main__':
    main()
