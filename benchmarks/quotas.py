"""Quotas of organisations: cost of a request, and the model in full.

The cost is that of `admit` at one host with 10,000 organisations, some of them
throttled.

The model simulates hosts without a network and prints, for each scenario, the
largest share of the bound in any window, the share of the requests refused, the
share of the quota used, and the bytes that hosts send. It exits with 1 if a
bound is broken.

    python -m benchmarks.quotas cost [--calls N]
    python -m benchmarks.quotas model [--hosts N ...] [--seeds N] [--match TEXT]
"""

import argparse
import random
import sys
import time

from ragwortchute.gateway import model
from ragwortchute.gateway.organisations import quota_accounts
from ragwortchute.gateway.organisations import quota_limits
from ragwortchute.gateway.organisations import quota_messages
from ragwortchute.gateway.organisations import quota_roles
from ragwortchute.gateway.organisations import quotas
from tests.test_gateway import quota_model
from tests.test_gateway import quota_scenes
from tests.test_gateway import rig

ORGANISATIONS = 10_000
# Reports that a coordinator reads, and organisations that each names.
REPORTS = 20_000
USES_PER_REPORT = 3
# Every so many organisations are throttled.
THROTTLED_STEP = 200


def make_host(
    organisations: dict[str, model.Organisation],
) -> quotas.HostQuotas:
    """Returns a host that has heard an announcement at time 1."""
    host = quotas.HostQuotas(
        rig.host(),
        quota_model.BOUNDS,
        lambda names, part, payload: None,
        lambda now_s: quota_roles.Hosts(frozenset({'h1', 'h2'}), ('h1', 'h2')),
        lambda: organisations,
        rig.MemoryLog(),
        random.Random(1),
    )
    host.tick(0.0)
    host.tick(0.1)
    names = list(organisations)[::THROTTLED_STEP]
    keys = [quota_limits.key_of(name) for name in names]
    states = [quota_messages.State(key, 0.3, 5.0, 30.0) for key in keys]
    announcement = quota_messages.Announcement(
        0, 'h2', 1, 1, states=quota_messages.pack_states(states)
    )
    host.handle('h2', quota_messages.encode(announcement), 1.0)
    return host


def print_cost(calls: int) -> None:
    """Prints the CPU time of `admit` and of the periodic task."""
    organisations = {
        f'o{number}': model.Organisation(
            f'o{number}', frozenset(), None, 10.0, 10.0
        )
        for number in range(ORGANISATIONS)
    }
    host = make_host(organisations)
    chosen = random.Random(2).choices(list(organisations.values()), k=calls)
    for label in ('first request of each', 'later requests'):
        started_s = time.process_time()
        for organisation in chosen:
            host.admit(organisation, 1.1)
        elapsed_s = time.process_time() - started_s
        print(f'{label:24} {elapsed_s / calls * 1e6:7.2f} us a request')
    print_coordination()
    unlimited = model.Organisation('u', frozenset())
    started_s = time.process_time()
    for _ in range(calls):
        host.admit(unlimited, 1.1)
    elapsed_s = time.process_time() - started_s
    print(f'{"without a limit":24} {elapsed_s / calls * 1e6:7.2f} us a request')


def print_coordination() -> None:
    """Prints the CPU time that a report costs its coordinator."""
    limits = {
        limit.key: limit
        for limit in (
            quota_limits.make_limit(
                model.Organisation(f'o{number}', frozenset(), None, 10.0, 10.0),
                quota_model.BOUNDS,
            )
            for number in range(USES_PER_REPORT)
        )
    }
    accounts = quota_accounts.Accounts({}, 0.0, 0.5, 0.0, 0.5)
    payloads = [
        quota_messages.encode(
            quota_messages.Report(
                0,
                1,
                number,
                quota_messages.pack_uses(
                    quota_messages.Use(key, number, number, 1) for key in limits
                ),
            )
        )
        for number in range(REPORTS)
    ]
    started_s = time.process_time()
    for payload in payloads:
        report = quota_messages.decode(payload)
        accounts.record('h1', report, limits, 1.0)
    elapsed_s = time.process_time() - started_s
    print(f'{"report at coordinator":24} {elapsed_s / REPORTS * 1e6:7.2f} us')


def run_model(hosts: list[int], seeds: int, match: str) -> int:
    """Runs scenarios and prints their outcomes.

    Args:
        hosts: Numbers of hosts.
        seeds: Number of seeds.
        match: Part of the names of the scenarios.

    Returns:
        The number of scenarios that broke a bound.
    """
    broken = 0
    for count in hosts:
        for seed in range(1, seeds + 1):
            for name, scenario in quota_scenes.all_scenes(count):
                if match not in name:
                    continue
                outcome = quota_model.Model(scenario, seed).run()
                faults = quota_scenes.broken(scenario, outcome)
                broken += bool(faults)
                print(
                    f'{name:44} seed {seed} worst {outcome.worst:.2f} '
                    f'refused {outcome.refused:.4f} used {outcome.used:.3f} '
                    f'B/s {outcome.bytes_per_s:.0f} '
                    f'most {outcome.most_bytes_per_s:.0f} '
                    f'between regions {outcome.far_bytes_per_s:.0f} '
                    f'{", ".join(faults)}',
                    flush=True,
                )
    return broken


def main() -> int:
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__.partition('\n')[0])
    commands = parser.add_subparsers(dest='command', required=True)
    cost = commands.add_parser('cost')
    cost.add_argument('--calls', type=int, default=200_000)
    whole = commands.add_parser('model')
    whole.add_argument('--hosts', type=int, nargs='+', default=[8, 117])
    whole.add_argument('--seeds', type=int, default=3)
    whole.add_argument('--match', default='')
    args = parser.parse_args()
    if args.command == 'cost':
        print_cost(args.calls)
        return 0
    return 1 if run_model(args.hosts, args.seeds, args.match) else 0


if __name__ == '__main__':
    sys.exit(main())
