"""Steps of calls and operations at which a cell brings about its faults."""

import asyncio
from collections import abc
import contextlib

import msgspec

from ragwortchute import calls
from ragwortchute.client import caller as caller_lib
from ragwortchute.client import transport as transport_lib
from standins import harness
from standins import matrix_cluster as cluster_lib

_BIG_BODY_BYTES = 400_000


async def _address_query(cell: harness.Cell) -> None:
    """Half of the head of an address query was sent."""
    host = cell.cluster.hosts[cell.victim]
    reader, writer = await asyncio.open_connection('127.0.0.1', host.ports[0])
    head = (
        f'GET /addresses?service={cluster_lib.SERVICE} HTTP/1.1\r\nHost: a\r\n'
    )
    writer.write(head.encode())
    await writer.drain()

    async def finish() -> None:
        await cell.wait_resumed()
        with contextlib.suppress(OSError):
            writer.write(b'Connection: close\r\n\r\n')
            await writer.drain()
        got = b''
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(cluster_lib.PROBE_S):
                got = await reader.read()
        writer.close()
        if got:
            _check_addresses(cell, got)

    cell.spawn(finish())


def _check_addresses(cell: harness.Cell, got: bytes) -> None:
    try:
        msgspec.json.decode(
            got.partition(b'\r\n\r\n')[2], type=calls.AddressAnswer
        )
    except msgspec.DecodeError:
        if b' 200 ' in got[:20]:
            cell.verdict.add(5, f'address answer {got[:80]!r}')


async def _admission(cell: harness.Cell) -> None:
    """All slots of a service are in use and further calls are queued."""
    transport = harness.NotedTransport()
    client = caller_lib.CallerClient(
        cell.cluster.caller_urls(), transport=transport
    )
    options = {
        'service': cluster_lib.NARROW,
        'client': client,
        'timeout_s': cluster_lib.PROBE_S,
    }
    tasks = [
        asyncio.create_task(cell.write(hold='run', **options)) for _ in range(2)
    ]

    async def finish() -> None:
        await cell.wait_resumed()
        await asyncio.gather(*tasks)
        await client.close()

    cell.spawn(finish())
    try:
        async with asyncio.timeout(2.0):
            await cell.wait_held(2)
    except TimeoutError:
        # A target without an owner in this moment leaves one slot to fill.
        await cell.wait_held(1)
    tasks += [asyncio.create_task(cell.write(**options)) for _ in range(4)]
    await asyncio.sleep(0.15)
    cell.target = cell.cluster.holds.held[0][1]
    cell.victim = cell.host_of(transport.urls[-1]) or cell.victim


async def _connect(cell: harness.Cell) -> None:
    """A target accepted a new connection and reads nothing from it yet."""
    log = cell.cluster.targets.log
    target = cell.cluster.targets.targets[cell.target]
    target.behaviour.connect_s = 0.6
    before = log.connections
    for conn in list(target._conns):
        conn.abort()

    async def finish() -> None:
        await cell.wait_resumed()
        target.behaviour.connect_s = 0.001

    cell.spawn(finish())
    cell.spawn(cell.write(timeout_s=cluster_lib.PROBE_S))
    while log.connections == before:
        await asyncio.sleep(0.005)


async def _body_half(cell: harness.Cell) -> None:
    """A target read a part of a large request body."""
    await cell.probe('body', count=2, body=b'x' * _BIG_BODY_BYTES)


async def _waiting(cell: harness.Cell) -> None:
    """A target runs the request."""
    await cell.probe('run', count=3)


async def _answer_half(cell: harness.Cell) -> None:
    """A target wrote half of an answer."""
    await cell.probe('answer', count=2)


async def _record(cell: harness.Cell) -> None:
    """A resend waits at another host for the record of a running write."""
    sender = transport_lib.HttpTransport()
    origin, other = await _two_hosts(cell, sender)
    key = f'{cell._name}-record'
    headers = [
        ('x-call', key),
        ('x-hold', 'run'),
        ('Idempotency-Key', key),
        ('Ragwortchute-Origin', origin.origin_token),
        ('Ragwortchute-Deadline-Ms', '5000'),
    ]
    first = [*headers, ('Ragwortchute-First-Send', '1')]
    sends = [_resend(sender, origin.url, first)]
    tasks = [asyncio.create_task(send) for send in sends]

    async def finish() -> None:
        await cell.wait_resumed()
        replies = [reply for reply in await asyncio.gather(*tasks) if reply]
        # Whatever was lost before, one more resend must not run it again.
        replies.append(await _resend(sender, other.url, headers))
        bodies = {r.body for r in replies if r and r.status == 200}
        if len(bodies) > 1:
            cell.verdict.add(5, f'{key} has answers {bodies}')
        await sender.close()

    cell.spawn(finish())
    await cell.wait_held(1)
    cell.target = cell.cluster.holds.held[0][1]
    cell.victim = origin.host
    tasks.append(asyncio.create_task(_resend(sender, other.url, headers)))
    await asyncio.sleep(0.1)


async def _two_hosts(
    cell: harness.Cell, sender: transport_lib.HttpTransport
) -> list[calls.Address]:
    """Returns two hosts of the store's region with their origin tokens."""
    url = cell.cluster.hosts[cell.victim].caller_url
    while True:
        resp = await sender.send(
            'GET',
            f'{url}/addresses?service={cluster_lib.SERVICE}',
            timeout_s=2.0,
        )
        answer = msgspec.json.decode(resp.body, type=calls.AddressAnswer)
        local = [
            a for a in answer.hosts if a.region == cluster_lib.STORE_REGION
        ]
        if len(local) >= 2:
            return local[:2]
        await asyncio.sleep(cluster_lib.POLL_S)


async def _resend(
    sender: transport_lib.HttpTransport,
    url: str,
    headers: list[tuple[str, str]],
) -> transport_lib.Response | None:
    try:
        return await sender.send(
            'POST',
            f'{url}/call/{cluster_lib.SERVICE}/jobs/record',
            headers=headers,
            body=b'{}',
            timeout_s=cluster_lib.PROBE_S,
        )
    except transport_lib.SendFailed:
        return None


async def _hand_over(cell: harness.Cell) -> None:
    """A host that stops as planned takes no callers and hands over."""
    cell.spawn(cell.planned_stop())
    await cell.wait_refused()


async def _document(cell: harness.Cell) -> None:
    """A document is being written."""
    cell.spawn(cell.apply_document())


async def _domain(cell: harness.Cell) -> None:
    """A domain goes out and comes back."""
    cell.check_domain_from = 0
    cell.victim = 'makati-0'
    cell.spawn(cell.domain_out_and_in())


async def _planned_stop(cell: harness.Cell) -> None:
    """A host with running calls was asked to stop."""
    await cell.probe('run', count=3)
    cell.spawn(cell.planned_stop())
    await asyncio.sleep(0.2)


_BEGINNINGS: dict[str, abc.Callable[[harness.Cell], abc.Awaitable[None]]] = {
    'address query': _address_query,
    'admission': _admission,
    'choice of target': _admission,
    'connect': _connect,
    'body half sent': _body_half,
    'waiting for the answer': _waiting,
    'answer half sent': _answer_half,
    'record': _record,
    'hand-over': _hand_over,
    'document apply': _document,
    'domain out or in': _domain,
    'planned stop': _planned_stop,
}

STEPS = {name: harness.Step(name, begin) for name, begin in _BEGINNINGS.items()}
