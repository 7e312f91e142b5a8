"""An entry of another writer ends the reading of upstreams for good.

The entry is nested deeply and is removed again after two seconds. Upstreams
that register later are never used: the routes to them, which the operator adds
later, are not served.
"""

import asyncio
import pathlib

from review.standins import client
from review.standins import deployment as deployments
from review.standins import upstream as upstreams

# Arrays within arrays, 4,000 bytes in all.
NESTED = b'[' * 2000 + b']' * 2000
ENTRY_S = 2.0
ADDED = {
    'audit-view': ('/audit9/', 'idempotent', 1.0, 0.4, 1, 'audit'),
}
# From the change of the configuration until the requests that count.
SETTLE_S = 6.0
REQUESTS = 200
INTERVAL_S = 0.03
MIN_REQUESTS = 20
MIN_SHARE = 0.25


async def case(deployment: deployments.Deployment) -> bool:
    """Returns whether the routes that were added later are served."""
    await deployment.start(
        dict.fromkeys(deployments.ZONES, 1), deployments.small_fleet()
    )
    await _send(deployment, {'/lohu930/2f': 0})
    if deployments.trouble():
        deployment.note('entry of another writer')
        await deployment.store.write('servers', 'i-0', NESTED)
    await asyncio.sleep(ENTRY_S)
    await deployment.store.remove('servers', 'i-0')
    deployment.note('no entry of another writer')
    await asyncio.sleep(deployments.CONTACT_S)
    for number, zone in enumerate(deployments.ZONES):
        await deployment.add_upstream(
            upstreams.Upstream(f'i-audit-{number}', 'audit', zone)
        )
    await deployment.configure(deployments.ROUTES, ADDED)
    await asyncio.sleep(SETTLE_S)
    served = await _send(deployment, {'/lohu930/2f': 0, '/audit9/2f': 0})
    for machine in deployment.machines.values():
        ready = await deployment.is_ready(machine)
        deployment.note(f'{machine.name} says ready: {ready}')
        for line in deployment.lines_of_log(machine, 'error')[:1]:
            deployment.note(f'{machine.name} logged {line[:120]}')
    first, added = served.values()
    deployment.note(
        f'of {REQUESTS} requests each: first route {first} served, '
        f'route added later {added} served'
    )
    if first < MIN_REQUESTS:
        raise deployments.CaseError('the first routes are not served')
    return added >= first * MIN_SHARE


async def _send(
    deployment: deployments.Deployment, served: dict[str, int]
) -> dict[str, int]:
    """Sends requests to all machines in turn; counts those that are served."""
    machines = list(deployment.machines.values())
    tasks: list[asyncio.Task[client.Attempt]] = []
    for number in range(REQUESTS):
        machine = machines[number % len(machines)]
        for path in served:
            conn = deployment.connection(machine)
            coro = conn.send_once('GET', deployments.HOST_NAME, path, 2.0)
            tasks.append(asyncio.create_task(coro))
        await asyncio.sleep(INTERVAL_S)
    attempts = await asyncio.gather(*tasks)
    deployment.write_attempts(attempts)
    for attempt in attempts:
        served[attempt.target] += attempt.status == 200 and attempt.complete
    return served


if __name__ == '__main__':
    deployments.run(pathlib.Path(__file__).parent, case)
