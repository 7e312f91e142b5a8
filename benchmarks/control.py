"""Measures control traffic and CPU time per host, idle and under change.

Runs all hosts of a fleet in one process on a simulated network and a manual
clock. Each message is encoded and decoded with the real codec; its size is
that of its frame on the wire. CPU time is that of the whole process including
the simulation, so the values per host are upper bounds.

    python -m benchmarks.control --hosts 13 --hosts 60
"""

import argparse
import asyncio
import collections
from collections import abc
import dataclasses
import hashlib
import hmac
import random
import time

from absl import logging
import msgspec

from ragwortchute import codecs
from ragwortchute import documents
from ragwortchute import wire
from ragwortchute.codecs import capnp  # noqa: F401
from ragwortchute.codecs import msgpack  # noqa: F401
from ragwortchute.distribution import distributor
from ragwortchute.peers import frames
from tests import simulation

_BUDGET_BYTES_PER_S = 4000
_BUDGET_CPU_PERCENT = 4.3
_SERVICES = 54
_DOCUMENT_BYTES = 4000
_CHANGES_PER_DAY = 1300
_RESTARTS_PER_DAY = 290
_FAILURES_PER_DAY = 5
_DAY_S = 86400.0
# TCP/IP headers of a frame in its own packet, without acknowledgements.
_HEADER_BYTES = 52


class _MeteredNetwork(simulation.SimNetwork):
    """A simulated network that counts the frames that each host sends."""

    def __init__(self, codec: codecs.Codec) -> None:
        super().__init__()
        self.codec = codec
        self.sent_bytes = collections.Counter()
        self.sent_messages = collections.Counter()
        self.by_kind = collections.Counter()
        self.key = b'k' * 32

    def transport(self, host: str) -> '_MeteredTransport':
        self.transports[host] = _MeteredTransport(self, host)
        return self.transports[host]

    def meter(self, sender: str, message: wire.Message) -> None:
        buf = self.codec.encode(message)
        # Both the sender and the receiver compute the MAC of a frame.
        for _ in range(2):
            hmac.new(self.key, buf, hashlib.sha256).digest()
        self.codec.decode(buf)
        size = len(buf) + frames.OVERHEAD_BYTES
        self.sent_bytes[sender] += size
        self.sent_messages[sender] += 1
        self.by_kind[type(message).__name__] += size

    def reset(self) -> None:
        for counter in (self.sent_bytes, self.sent_messages, self.by_kind):
            counter.clear()


class _MeteredTransport(simulation._SimTransport):
    async def _deliver(
        self, host: str, message: wire.Message
    ) -> wire.Message | None:
        self.network.meter(self.host, message)
        answer = await super()._deliver(host, message)
        self.network.log.clear()
        if answer is not None:
            self.network.meter(host, answer)
        return answer


class _Host(simulation.Host):
    def __init__(
        self,
        cluster: '_Fleet',
        member: wire.Member,
        seeds: dict[str, str],
    ) -> None:
        super().__init__(cluster, member, seeds)
        self.distributor = distributor.Distributor(
            cluster.store.client(member.host),
            self.transport,
            self.membership,
            self.clock,
            random.Random(cluster.rng.random()),
            self.events,
            _decode_document,
        )
        self.membership.digest = self.distributor.digest
        self.membership.on_peer_digest = self.distributor.on_peer_digest
        self.membership.domain_out = self.distributor.domain_out
        self.tasks.append(asyncio.create_task(self.distributor.run()))


def _decode_document(name: str, value: bytes) -> object:
    if name == documents.DEPLOYMENT_NAME:
        return msgspec.json.decode(value, type=documents.DeploymentDocument)
    return value


class _Fleet(simulation.Cluster):
    """A fleet with names, addresses and documents of realistic length."""

    def __init__(self, count: int, regions: int, codec: codecs.Codec) -> None:
        domains = {}
        for number in range(count):
            region = ('luzon', 'visayas')[number % regions]
            part = 'abc'[number // regions % 3]
            domains[f'{region}-entry-{number:02}'] = f'{region}-{part}'
        super().__init__(domains, targets=0, host_class=_Host)
        self.network = _MeteredNetwork(codec)
        entries = {
            name: documents.DomainEntry(name.split('-')[0])
            for name in sorted(set(domains.values()))
        }
        document = documents.DeploymentDocument(entries)
        self.store.set('documents/_deployment', msgspec.json.encode(document))
        for number in range(_SERVICES):
            self.change(number)

    def make_member(self, host: str) -> wire.Member:
        member = super().make_member(host)
        number = sorted(self.domains).index(host)
        return msgspec.structs.replace(
            member,
            incarnation=self.rng.getrandbits(63),
            peer_address=f'10.20.{number}.40:8402',
            caller_url=f'http://10.20.{number}.40:8400',
        )

    def change(self, number: int) -> None:
        value = self.rng.randbytes(_DOCUMENT_BYTES)
        self.store.set(f'documents/service-{number % _SERVICES:02}', value)


@dataclasses.dataclass(slots=True)
class Row:
    """Measurements of one phase.

    Values are per host and second, except `store_calls`, which counts those
    of the whole fleet per second. Maxima are taken over the hosts.
    """

    hosts: int
    regions: int
    phase: str
    messages: float
    mean_bytes: float
    max_bytes: float
    max_packet_bytes: float
    cpu_percent: float
    store_calls: float


async def _measure(
    fleet: _Fleet,
    regions: int,
    phase: str,
    seconds: int,
    events_per_s: float = 0.0,
    act: abc.Callable[[int], abc.Awaitable[None]] | None = None,
) -> Row:
    """Measures one phase, in which `act` is called at an even rate.

    Args:
        fleet: Fleet that is measured.
        regions: Number of regions of the fleet.
        phase: Name of the phase in the table.
        seconds: Simulated duration, in seconds.
        events_per_s: Calls of `act` per simulated second.
        act: Function that changes the fleet, called with a running number.
    """
    fleet.network.reset()
    fleet.store.calls.clear()
    cpu_before_s = time.process_time()
    event_count = 0
    for second in range(seconds):
        while act is not None and event_count < (second + 1) * events_per_s:
            await act(event_count)
            event_count += 1
        await fleet.advance(1.0, step_s=1.0)
    cpu_s = time.process_time() - cpu_before_s
    count = len(fleet.hosts)
    sent = fleet.network.sent_bytes
    kinds = ', '.join(
        f'{kind} {size / seconds / count:.0f}'
        for kind, size in fleet.network.by_kind.most_common(6)
    )
    print(f'  {phase}: bytes per host and second by kind: {kinds}')
    return Row(
        hosts=count,
        regions=regions,
        phase=phase,
        messages=sum(fleet.network.sent_messages.values()) / seconds / count,
        mean_bytes=sum(sent.values()) / seconds / count,
        max_bytes=max(sent.values()) / seconds,
        max_packet_bytes=max(
            size + _HEADER_BYTES * fleet.network.sent_messages[host]
            for host, size in sent.items()
        )
        / seconds,
        cpu_percent=100 * cpu_s / seconds / count,
        store_calls=sum(fleet.store.calls.values()) / seconds,
    )


async def run(
    count: int, regions: int, codec_name: str, seconds: int
) -> list[Row]:
    """Measures all phases of one fleet; returns a row for each."""
    fleet = _Fleet(count, regions, codecs.REGISTRY.get(codec_name)())
    names = sorted(fleet.domains)
    fleet.start(*names[:1])
    await fleet.advance(2, step_s=0.5)
    fleet.start(*names[1:])
    await fleet.advance(30, step_s=0.5)

    async def change(number: int) -> None:
        fleet.change(number)

    async def restart(number: int) -> None:
        host = fleet.rng.choice(sorted(fleet.hosts))
        fleet.kill(host)
        fleet.start(host)

    rows = [await _measure(fleet, regions, 'at rest', seconds)]
    rows.append(
        await _measure(
            fleet,
            regions,
            'design rate',
            seconds * 5,
            _CHANGES_PER_DAY / _DAY_S,
            change,
        )
    )
    rows.append(
        await _measure(
            fleet,
            regions,
            'changes x10',
            seconds,
            10 * _CHANGES_PER_DAY / _DAY_S,
            change,
        )
    )
    rows.append(
        await _measure(
            fleet,
            regions,
            'restarts x10',
            seconds,
            10 * (_RESTARTS_PER_DAY + _FAILURES_PER_DAY) / _DAY_S,
            restart,
        )
    )
    await fleet.close()
    return rows


def main() -> None:
    """Prints the measurements as a table, and the budget per host."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--hosts', type=int, action='append')
    parser.add_argument('--regions', type=int, action='append')
    parser.add_argument('--codec', default='capnp')
    parser.add_argument('--seconds', type=int, default=120)
    args = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    rows = []
    for regions in args.regions or [2, 1]:
        for count in args.hosts or [13, 60]:
            print(f'{count} hosts, {regions} regions, {args.codec}')
            rows += asyncio.run(run(count, regions, args.codec, args.seconds))
    print(
        'hosts regions phase         msg/s  mean B/s   max B/s'
        '  with headers  cpu %  store calls/s (fleet)'
    )
    for row in rows:
        print(
            f'{row.hosts:5} {row.regions:7} {row.phase:13}'
            f'{row.messages:6.1f} {row.mean_bytes:9.0f}'
            f' {row.max_bytes:9.0f} {row.max_packet_bytes:13.0f}'
            f' {row.cpu_percent:6.2f} {row.store_calls:8.2f}'
        )
    print(
        f'budget per host: {_BUDGET_BYTES_PER_S} B/s sent, '
        f'{_BUDGET_CPU_PERCENT} % of a core'
    )


if __name__ == '__main__':
    main()
