"""Memory of host processes whose targets send long answers."""

import asyncio
import collections
import pathlib

import pytest

from benchmarks.soak import run as runs
from standins import platform_targets
from standins import reading

CALLERS = 40
MIB = 1 << 20
# The process itself takes about 30 MB; the smallest hosts have 64 MB.
MAX_RESIDENT_BYTES = 64 * MIB
ANSWER_BYTES = 12 * MIB
TIMEOUT_S = 8.0


def peak_resident_bytes(pid):
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(status.partition('VmHWM:')[2].split()[0]) * 1024


class TestMemory:
    """Long answers must be bounded all together (issue 33).

    Each was collected whole, joined and copied, so that 40 callers with sound
    answers took several times the memory of a host.
    """

    @pytest.mark.parametrize('fault', ['', *platform_targets.ENDLESS_FRAMING])
    async def test_peak_stays_small(self, tmp_path, fault):
        run = runs.Soak(1, str(tmp_path), [], 1)
        run.timeouts_s = (TIMEOUT_S,)
        try:
            await run.start()
            for target in run.targets:
                target.slots = CALLERS
                target.answer_bytes = ANSWER_BYTES
                target.fault = fault
            host = run.hosts[0]
            callers = [
                reading.ReadingCaller(
                    host.ip,
                    host.port,
                    'soak.example',
                    f'/{runs.READ}/x',
                    deadline_ms=int(TIMEOUT_S * 1000),
                )
                for _ in range(CALLERS)
            ]
            tasks = [asyncio.create_task(caller.run()) for caller in callers]
            await asyncio.sleep(6.0)
            for caller in callers:
                caller.stop()
            await asyncio.gather(*tasks)
            running = host.process.returncode is None
            peak_bytes = peak_resident_bytes(host.process.pid)
        finally:
            await run.stop()
        outcomes = collections.Counter()
        for caller in callers:
            outcomes += caller.outcomes
        print(f'{fault or "sound"}: {peak_bytes / MIB:.0f} MiB, {outcomes}')
        assert peak_bytes < MAX_RESIDENT_BYTES
        assert running
        if fault:
            assert not outcomes[200, True]
        else:
            assert outcomes[200, True] > CALLERS
            assert not outcomes[200, False]
