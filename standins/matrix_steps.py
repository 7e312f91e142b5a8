"""Steps of calls and operations at which a cell injects its faults."""

import asyncio
from collections import abc
import contextlib

import msgspec

from ragwortchute import calls
from ragwortchute.client import caller as caller_lib
from ragwortchute.client import transport as transport_lib
from standins import harness
from standins import matrix_cluster as cluster_lib

_LARGE_BODY_BYTES = 400_000


async def _address_query(cell: harness.FaultTrial) -> None:
    """Half of the header section of an address query has been sent."""
    host = cell.cluster.hosts[cell.affected_host]
    reader, writer = await asyncio.open_connection('127.0.0.1', host.ports[0])
    head = (
        f'GET /addresses?service={cluster_lib.SERVICE} HTTP/1.1\r\nHost: a\r\n'
    )
    writer.write(head.encode())
    await writer.drain()

    async def finish() -> None:
        await cell.wait_until_resumed()
        with contextlib.suppress(OSError):
            writer.write(b'Connection: close\r\n\r\n')
            await writer.drain()
        data = b''
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(cluster_lib.PROBE_TIMEOUT_S):
                data = await reader.read()
        writer.close()
        if data:
            _check_addresses(cell, data)

    cell.spawn(finish())


def _check_addresses(cell: harness.FaultTrial, data: bytes) -> None:
    try:
        msgspec.json.decode(
            data.partition(b'\r\n\r\n')[2], type=calls.AddressAnswer
        )
    except msgspec.DecodeError:
        if b' 200 ' in data[:20]:
            cell.verdict.add(5, f'address answer {data[:80]!r}')


async def _admission(cell: harness.FaultTrial) -> None:
    """All slots of a service are in use and more calls are queued."""
    transport = harness.RecordingTransport()
    client = caller_lib.CallerClient(
        cell.cluster.caller_urls(), transport=transport
    )
    options = {
        'service': cluster_lib.SMALL_SERVICE,
        'client': client,
        'timeout_s': cluster_lib.PROBE_TIMEOUT_S,
    }
    tasks = [
        asyncio.create_task(cell.write(hold='run', **options)) for _ in range(2)
    ]

    async def finish() -> None:
        await cell.wait_until_resumed()
        await asyncio.gather(*tasks)
        await client.close()

    cell.spawn(finish())
    try:
        async with asyncio.timeout(2.0):
            await cell.wait_until_held(2)
    except TimeoutError:
        # If a target currently has no owner, only one slot can be filled.
        await cell.wait_until_held(1)
    tasks += [asyncio.create_task(cell.write(**options)) for _ in range(4)]
    await asyncio.sleep(0.15)
    cell.target = cell.cluster.holds.held[0][1]
    cell.affected_host = (
        cell.host_for_url(transport.urls[-1]) or cell.affected_host
    )


async def _connect(cell: harness.FaultTrial) -> None:
    """A target has accepted a connection but processes no request on it."""
    log = cell.cluster.targets.log
    target = cell.cluster.targets.targets[cell.target]
    target.behaviour.connect_s = 0.6
    before = log.connections
    for conn in list(target._conns):
        conn.abort()

    async def finish() -> None:
        await cell.wait_until_resumed()
        target.behaviour.connect_s = 0.001

    cell.spawn(finish())
    cell.spawn(cell.write(timeout_s=cluster_lib.PROBE_TIMEOUT_S))
    while log.connections == before:
        await asyncio.sleep(0.005)


async def _half_body_sent(cell: harness.FaultTrial) -> None:
    """Targets have read part of a large request body."""
    await cell.probe('body', count=2, body=b'x' * _LARGE_BODY_BYTES)


async def _waiting_for_answer(cell: harness.FaultTrial) -> None:
    """Targets are executing the requests."""
    await cell.probe('run', count=3)


async def _half_answer_sent(cell: harness.FaultTrial) -> None:
    """Targets have written half of an answer."""
    await cell.probe('answer', count=2)


async def _waiting_for_record(cell: harness.FaultTrial) -> None:
    """A resend at another host waits for the record of a running write."""
    sender = transport_lib.HttpTransport()
    origin, other = await _find_two_hosts(cell, sender)
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
        await cell.wait_until_resumed()
        replies = [reply for reply in await asyncio.gather(*tasks) if reply]
        # Another resend must not execute the write again, even if answers
        # were lost before.
        replies.append(await _resend(sender, other.url, headers))
        bodies = {r.body for r in replies if r and r.status == 200}
        if len(bodies) > 1:
            cell.verdict.add(5, f'{key} has answers {bodies}')
        await sender.close()

    cell.spawn(finish())
    await cell.wait_until_held(1)
    cell.target = cell.cluster.holds.held[0][1]
    cell.affected_host = origin.host
    tasks.append(asyncio.create_task(_resend(sender, other.url, headers)))
    await asyncio.sleep(0.1)


async def _find_two_hosts(
    cell: harness.FaultTrial, sender: transport_lib.HttpTransport
) -> list[calls.Address]:
    """Returns two hosts in the store's region with their origin tokens."""
    url = cell.cluster.hosts[cell.affected_host].caller_url
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
        await asyncio.sleep(cluster_lib.POLL_INTERVAL_S)


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
            timeout_s=cluster_lib.PROBE_TIMEOUT_S,
        )
    except transport_lib.SendFailed:
        return None


async def _hand_over(cell: harness.FaultTrial) -> None:
    """A host that stops gracefully refuses callers and hands over records."""
    cell.spawn(cell.planned_stop())
    await cell.wait_listener_closed()


async def _document_apply(cell: harness.FaultTrial) -> None:
    """A document change is being written."""
    cell.spawn(cell.apply_document())


async def _domain_out_or_in(cell: harness.FaultTrial) -> None:
    """A domain is being taken out and in again."""
    cell.domain_check_start = 0
    cell.affected_host = 'makati-0'
    cell.spawn(cell.domain_out_and_in())


async def _planned_stop(cell: harness.FaultTrial) -> None:
    """A host with running calls has been asked to stop gracefully."""
    await cell.probe('run', count=3)
    cell.spawn(cell.planned_stop())
    await asyncio.sleep(0.2)


_STEP_FUNCTIONS: dict[
    str, abc.Callable[[harness.FaultTrial], abc.Awaitable[None]]
] = {
    'address query': _address_query,
    'admission': _admission,
    'choice of target': _admission,
    'connect': _connect,
    'body half sent': _half_body_sent,
    'waiting for the answer': _waiting_for_answer,
    'answer half sent': _half_answer_sent,
    'record': _waiting_for_record,
    'hand-over': _hand_over,
    'document apply': _document_apply,
    'domain out or in': _domain_out_or_in,
    'planned stop': _planned_stop,
}

STEPS = {
    name: harness.Step(name, begin) for name, begin in _STEP_FUNCTIONS.items()
}
