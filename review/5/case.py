"""A request on a kept connection gets an answer that is not its own.

A client offers another protocol with its first request, as HTTP libraries do.
The machine answers the request, and then sends an answer that nobody waits for,
which the client takes for that of its next request.
"""

import asyncio
import pathlib

from review.standins import client
from review.standins import deployment as deployments

CLIENTS = 20
DEADLINE_S = 2.5
# What a client sends that may speak HTTP/2 on the same port.
UPGRADE = {
    'connection': 'Upgrade, HTTP2-Settings',
    'upgrade': 'h2c',
    'http2-settings': 'AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA',
}


async def case(deployment: deployments.Deployment) -> bool:
    """Returns whether each answer belongs to its request."""
    await deployment.start(
        dict.fromkeys(deployments.ZONES, 1), deployments.small_fleet()
    )
    machines = list(deployment.machines.values())
    groups = await asyncio.gather(
        *(
            _visit(deployment.connection(machines[number % len(machines)]))
            for number in range(CLIENTS)
        )
    )
    attempts = [attempt for group in groups for attempt in group]
    deployment.write_attempts(attempts)
    runs = {
        run.request_id
        for upstream in deployment.upstreams.values()
        for run in upstream.runs
    }
    foreign = [
        attempt
        for attempt in attempts
        if attempt.status and attempt.early_bytes
    ]
    for attempt in foreign:
        deployment.note(
            f'{attempt.request_id}: {attempt.status}, which was sent before '
            f'the request; ran at an upstream: {attempt.request_id in runs}'
        )
    served = sum(attempt.status == 200 for attempt in attempts)
    deployment.note(
        f'{len(attempts)} requests, {served} served, {len(foreign)} got an '
        'answer that was sent before them'
    )
    if served < CLIENTS:
        raise deployments.CaseError('too few were served')
    return not foreign


async def _visit(conn: client.Connection) -> list[client.Attempt]:
    """Reads the job board and then books, on one connection."""
    headers = UPGRADE if deployments.trouble() else {}
    name = deployments.HOST_NAME
    first = await conn.send(
        'GET', name, '/lohu930/2f', DEADLINE_S, headers=headers
    )
    second = await conn.send(
        'POST', name, '/pufi791/2f', DEADLINE_S, body=b'booking'
    )
    conn.close()
    return [first, second]


if __name__ == '__main__':
    deployments.run(pathlib.Path(__file__).parent, case)
