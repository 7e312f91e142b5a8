"""Callers of the soak that keep their connections and send on at once."""

import asyncio
from collections import abc

from benchmarks.soak import hosts as hosts_
from standins import pipelining
from standins import platform_targets

DEPTH = 3
PAUSE_S = 0.02


class PipelineChecker:
    """Sends pipelined requests to all hosts and checks that none is lost.

    Args:
        hosts: Hosts, each of which gets one caller.
        targets: Targets, added to during the run.
        had_fault: Tells whether there was an unplanned fault between two loop
            times.
        prefix: Path of the route with slashes at both ends.
    """

    def __init__(
        self,
        hosts: list[hosts_.Host],
        targets: list[platform_targets.TargetServer],
        had_fault: abc.Callable[[float, float], bool],
        prefix: str,
    ) -> None:
        self._hosts = hosts
        self._targets = targets
        self._had_fault = had_fault
        self._prefix = prefix
        self._callers: list[pipelining.PipeliningCaller] = []

    async def run(self) -> None:
        """Sends requests until cancelled."""
        self._callers = [
            pipelining.PipeliningCaller(
                host.ip,
                host.port,
                'soak.example',
                self._prefix,
                DEPTH,
                pause_s=PAUSE_S,
            )
            for host in self._hosts
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in self._callers]
        try:
            await asyncio.Event().wait()
        finally:
            for caller in self._callers:
                caller.stop()
            await asyncio.gather(*tasks)

    def check(self) -> list[str]:
        """Returns the requests that ran and got no answer without a fault."""
        ran = {
            run.request_id: target.name
            for target in self._targets
            for run in target.runs
        }
        return [
            f'{req.request_id}: ran at {ran[req.request_id]}, '
            f'{"stated to be unread" if req.unread else "no answer"}'
            for caller in self._callers
            for req in caller.requests
            if req.request_id in ran
            and not req.complete
            and not self._had_fault(req.sent_s - hosts_.CONTACT_S, req.ended_s)
        ]
