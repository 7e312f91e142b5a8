"""Measures CPU time and memory of at-most-once execution.

Run with `python -m benchmarks.records`. CPU time is that of the process and is
compared with calling `run` directly in the same process. Memory is measured
with tracemalloc.
"""

import asyncio
import gc
import statistics
import time
import tracemalloc

from returns import result

from ragwortchute import calls
from ragwortchute import clock as clock_lib
from ragwortchute import membership
from ragwortchute import peers
from ragwortchute import records
from ragwortchute import wire
from ragwortchute.records import record as record_lib
from ragwortchute.records import recorder as recorder_lib
from ragwortchute.records import tokens as tokens_lib

_CALLS = 5000
_ROUNDS = 7
_BODY_BYTES = 200
_KEY = 'deployment-key-of-benchmark'


class _Membership(membership.Membership):
    """The membership of a region with a single host."""

    @property
    def me(self) -> wire.Member:
        return wire.Member('host-1', 77, '', '', 'luzon-makati', 'luzon')

    @property
    def view(self) -> wire.View | None:
        return None

    def live_members(self) -> list[wire.Member]:
        return [self.me]

    def serving_set(self, service: str, size: int) -> list[wire.Member]:
        return [self.me]

    def lease_valid(self) -> bool:
        return True

    def may_use_new_ownership(self) -> bool:
        return True

    def owner(self, service: str, target: str, size: int) -> str:
        return self.me.host


class _Transport(peers.Transport):
    """A transport that drops messages and answers each request at once."""

    def on(self, kind: type, handler: peers.Handler) -> None:
        pass

    def set_peer_address(self, host: str, peer_address: str) -> None:
        pass

    async def send(
        self, host: str, message: wire.Message, *, bulk: bool = False
    ) -> None:
        pass

    async def request(
        self,
        host: str,
        message: wire.Message,
        *,
        timeout_s: float,
        bulk: bool = False,
    ) -> wire.Message:
        return wire.Done()


_ANSWER = calls.Answer(
    200, [('content-type', 'application/json')], bytes(_BODY_BYTES), 'target-1'
)


async def _run(call: calls.Call) -> records.Outcome:
    # Yield once: a real dispatch waits at least once for its target.
    await asyncio.sleep(0)
    return result.Success(_ANSWER)


def _make_recorder() -> tuple[recorder_lib.OriginRecorder, str]:
    clock = clock_lib.SystemClock()
    members = _Membership()
    mint = tokens_lib.TokenMint(_KEY, clock, 120.0)
    recorder = recorder_lib.OriginRecorder(
        clock=clock,
        transport=_Transport(),
        membership=members,
        tokens=mint,
        record_bytes=1 << 30,
    )
    return recorder, mint.mint(members.me)


def _make_calls(
    token: str, first: bool, count: int = _CALLS
) -> list[calls.Call]:
    deadline_s = clock_lib.SystemClock().monotonic() + 100.0
    return [
        calls.Call(
            call_id=f'call-{i}',
            service='billing',
            method='POST',
            path='/payments/new',
            headers=[('content-type', 'application/json')],
            body=bytes(_BODY_BYTES),
            tenant='tenant-1',
            deadline_s=deadline_s,
            idempotent=False,
            key=f'{i:08x}-7d1c-4f0e-9a3b-5c2d8e6f1a90',
            origin_token=token,
            first_send=first,
        )
        for i in range(count)
    ]


async def _cpu_us(recorder: recorder_lib.OriginRecorder, batch: list) -> float:
    start_s = time.process_time()
    for call in batch:
        await recorder.execute(call, _run)
    return (time.process_time() - start_s) / len(batch) * 1e6


async def _direct_us(batch: list) -> float:
    start_s = time.process_time()
    for call in batch:
        await _run(call)
    return (time.process_time() - start_s) / len(batch) * 1e6


async def _measure_cpu() -> None:
    samples_us: dict[str, list[float]] = {'direct': [], 'new': [], 'resend': []}
    for _ in range(_ROUNDS):
        recorder, token = _make_recorder()
        new, resends = _make_calls(token, True), _make_calls(token, False)
        gc.collect()
        samples_us['direct'].append(await _direct_us(new))
        samples_us['new'].append(await _cpu_us(recorder, new))
        samples_us['resend'].append(await _cpu_us(recorder, resends))
    direct_us = statistics.median(samples_us['direct'])
    for name, values in samples_us.items():
        median_us = statistics.median(values)
        print(
            f'{name:8} {median_us:7.1f} us CPU (median of {_ROUNDS}, '
            f'{min(values):.1f} to {max(values):.1f}), '
            f'{median_us / direct_us:5.1f} times direct'
        )


async def _measure_memory(count: int) -> None:
    recorder, token = _make_recorder()
    batch = _make_calls(token, True, count)
    gc.collect()
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    for call in batch:
        await recorder.execute(call, _run)
    gc.collect()
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    entry = next(iter(recorder.record))
    content_bytes = len(entry.name) + len(entry.encoded)
    overhead_bytes = (after_bytes - before_bytes) / count - content_bytes
    print(
        f'memory   {overhead_bytes:7.1f} bytes an entry besides '
        f'{content_bytes} of name and answer, {count} entries '
        f'(counted as {record_lib.ENTRY_BYTES})'
    )


def main() -> None:
    """Prints all measurements."""
    asyncio.run(_measure_cpu())
    # At 10922 entries a dict has just been resized to twice its size.
    for count in (5000, 10922, 20000):
        asyncio.run(_measure_memory(count))


if __name__ == '__main__':
    main()
