"""Faults that a cell of the matrix brings about."""

import asyncio

from standins import harness
from standins import matrix_cluster as cluster_lib
from standins import targets as targets_lib


class StoreDown(harness.Fault):
    """The store answers no call."""

    benign = True

    async def begin(self, cell: harness.Cell) -> None:
        """See base class."""
        cell.cluster.api.store.set_faults(down=True)

    async def end(self, cell: harness.Cell) -> None:
        """See base class."""
        cell.cluster.api.store.set_faults(down=False)


class StoreSlow(harness.Fault):
    """The store takes a second for each call."""

    benign = True
    hold_s = 2.5

    async def begin(self, cell: harness.Cell) -> None:
        """See base class."""
        cell.cluster.api.store.set_faults(slow_s=1.0)

    async def end(self, cell: harness.Cell) -> None:
        """See base class."""
        cell.cluster.api.store.set_faults(slow_s=0.0)


class LostAnswer(harness.Fault):
    """Writes take effect and their answers are lost."""

    benign = True

    async def begin(self, cell: harness.Cell) -> None:
        """See base class."""
        cell.cluster.api.store.set_faults(lose_answers=2)

    async def end(self, cell: harness.Cell) -> None:
        """See base class."""
        cell.cluster.api.store.set_faults(lose_answers=0)


class HostKilled(harness.Fault):
    """The host of the step ends without notice."""

    hold_s = 1.0

    async def begin(self, cell: harness.Cell) -> None:
        """See base class."""
        cell.killed.add(cell.victim)
        self._host = cell.victim
        cell.cluster.hosts[cell.victim].kill()

    async def end(self, cell: harness.Cell) -> None:
        """See base class."""
        host = cell.cluster.hosts[self._host]
        if not host.running:
            host.start()


class HostPaused(harness.Fault):
    """The host of the step is stopped for longer than its lease."""

    hold_s = 4.0

    async def begin(self, cell: harness.Cell) -> None:
        """See base class."""
        self._host = cell.victim
        cell.cluster.hosts[cell.victim].pause()

    async def end(self, cell: harness.Cell) -> None:
        """See base class."""
        cell.cluster.hosts[self._host].resume()


class HostIsolated(harness.Fault):
    """The host of the step is cut off from its peers."""

    hold_s = 4.0

    async def begin(self, cell: harness.Cell) -> None:
        """See base class."""
        cell.cluster.links.isolate(cell.victim)

    async def end(self, cell: harness.Cell) -> None:
        """See base class."""
        cell.cluster.links.heal()


class HostListLags(harness.Fault):
    """The host list loses a live host and shows it again late."""

    benign = True

    async def begin(self, cell: harness.Cell) -> None:
        """See base class."""
        cell.cluster.api.withdraw_host('makati-0')
        cell.cluster.api.host_lag_s = 1.0

    async def end(self, cell: harness.Cell) -> None:
        """See base class."""
        listed = cell.cluster.hosts['makati-0'].listed()
        cell.cluster.api.publish_host(listed)
        cell.cluster.api.host_lag_s = 0.0


class _TargetFault(harness.Fault):
    async def begin(self, cell: harness.Cell) -> None:
        """See base class."""
        self._target = cell.cluster.targets.targets[cell.target]
        await self.harm(cell, self._target)

    async def harm(
        self, cell: harness.Cell, target: targets_lib.Target
    ) -> None:
        """Brings the fault about at a target."""


class TargetSlow(_TargetFault):
    """A target takes ten times as long."""

    async def harm(
        self, cell: harness.Cell, target: targets_lib.Target
    ) -> None:
        """See base class."""
        target.behaviour.slow_factor = 10.0

    async def end(self, cell: harness.Cell) -> None:
        """See base class."""
        self._target.behaviour.slow_factor = 1.0


class TargetDraining(_TargetFault):
    """A target announces that it leaves, and is replaced later."""

    hold_s = cluster_lib.GRACE_S + 1.0

    async def harm(
        self, cell: harness.Cell, target: targets_lib.Target
    ) -> None:
        """See base class."""
        target.behaviour.draining = True
        cell.spawn(self._watch(cell, target))

    async def _watch(
        self, cell: harness.Cell, target: targets_lib.Target
    ) -> None:
        await asyncio.sleep(cluster_lib.GRACE_S)
        before = cell.cluster.targets.log.drain_arrivals
        await asyncio.sleep(0.8)
        late = cell.cluster.targets.log.drain_arrivals - before
        if late:
            cell.verdict.add(8, f'{late} requests came to {target.name}')

    async def end(self, cell: harness.Cell) -> None:
        """See base class."""
        self._target.behaviour.draining = False
        await self._target.restart(0.1)


class TargetFailsFast(_TargetFault):
    """A target answers each request at once with an error."""

    async def harm(
        self, cell: harness.Cell, target: targets_lib.Target
    ) -> None:
        """See base class."""
        target.behaviour.fail_fast = True

    async def end(self, cell: harness.Cell) -> None:
        """See base class."""
        self._target.behaviour.fail_fast = False


class TargetCold(_TargetFault):
    """The same process of a target turns cold again."""

    async def harm(
        self, cell: harness.Cell, target: targets_lib.Target
    ) -> None:
        """See base class."""
        cell.unwarned += 1
        target.turn_cold()


class TargetRestarted(_TargetFault):
    """Another process takes the place of a target and is cold."""

    async def harm(
        self, cell: harness.Cell, target: targets_lib.Target
    ) -> None:
        """See base class."""
        await target.restart(0.2)


class TargetCrashes(_TargetFault):
    """A request ends each target that runs it."""

    async def harm(
        self, cell: harness.Cell, target: targets_lib.Target
    ) -> None:
        """See base class."""
        cell.spawn(cell.write(body=b'crash-target'))


class RegionCut(harness.Fault):
    """The link between the regions passes nothing on."""

    hold_s = 4.0

    async def begin(self, cell: harness.Cell) -> None:
        """See base class."""
        cell.cluster.links.cut_regions(cluster_lib.STORE_REGION)

    async def end(self, cell: harness.Cell) -> None:
        """See base class."""
        cell.cluster.links.heal()


class OperatorsRace(harness.Fault):
    """Two operators change the same document at the same time."""

    benign = True

    async def begin(self, cell: harness.Cell) -> None:
        """See base class."""
        for author in ('first', 'second'):
            cell.spawn(cell.apply_document(author))


FAULTS: dict[str, type[harness.Fault]] = {
    'store down': StoreDown,
    'store slow': StoreSlow,
    'write answer lost': LostAnswer,
    'host killed': HostKilled,
    'host paused': HostPaused,
    'host isolated': HostIsolated,
    'host list lagging': HostListLags,
    'target slow': TargetSlow,
    'target draining': TargetDraining,
    'target failing fast': TargetFailsFast,
    'target cold again': TargetCold,
    'target restarted cold': TargetRestarted,
    'target crashing': TargetCrashes,
    'region link cut': RegionCut,
    'operators racing': OperatorsRace,
}
