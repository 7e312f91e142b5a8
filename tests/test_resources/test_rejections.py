"""Tests that many invalid requests don't hide what a host logs."""

import asyncio
import signal

from standins import platform_targets
from tests.test_resources import processes

MACHINE = processes.Machine(memory_mb=96, max_descriptors=600)
CALLERS = 60
SETTLE_S = 3.0
# Longer than the platform allows, to see whether the process ends at all.
MAX_STOP_S = 24.0
# It is longer than a head may be.
INVALID_PATH = '/' + 'x' * 20_000


class TestRejections:
    """Lines about anything else must be written beside `rejected` ones.

    Callers that sent invalid requests one after another used up the rate of the
    whole log.
    """

    async def test_other_lines_are_written(self, site, gather):
        await site.start(MACHINE, platform_targets.TargetServer('t0'))
        (host,) = site.hosts
        crowd = gather(host)

        async def send(_):
            # A connection has one rejection, so each opens one after another.
            while True:
                await processes.get(host.ip, host.port, INVALID_PATH)

        for _ in range(CALLERS):
            crowd.add(send)
        await crowd.settle(SETTLE_S)
        await processes.call(host)
        host.check()
        host.process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(host.process.wait(), MAX_STOP_S)
        log = host.log_text()
        for part in ('"id":"ordinary"', '"leaving"', '"stop"', '"rejected"'):
            assert part in log
