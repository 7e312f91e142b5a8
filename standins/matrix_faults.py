"""Faults that a cell of the fault matrix injects."""

import asyncio

from standins import harness
from standins import matrix_cluster as cluster_lib
from standins import targets as targets_lib


class StoreDown(harness.Fault):
    """The store is unavailable."""

    expect_all_answered = True

    async def begin(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        cell.cluster.api.store.set_faults(down=True)

    async def end(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        cell.cluster.api.store.set_faults(down=False)


class StoreSlow(harness.Fault):
    """The store delays each call by one second."""

    expect_all_answered = True
    duration_s = 2.5

    async def begin(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        cell.cluster.api.store.set_faults(slow_s=1.0)

    async def end(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        cell.cluster.api.store.set_faults(slow_s=0.0)


class LostAnswer(harness.Fault):
    """Two writes to the store take effect but their answers are lost."""

    expect_all_answered = True

    async def begin(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        cell.cluster.api.store.set_faults(lose_answers=2)

    async def end(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        cell.cluster.api.store.set_faults(lose_answers=0)


class HostKilled(harness.Fault):
    """The host of the step is killed."""

    duration_s = 1.0

    async def begin(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        cell.killed.add(cell.affected_host)
        self._host = cell.affected_host
        cell.cluster.hosts[cell.affected_host].kill()

    async def end(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        host = cell.cluster.hosts[self._host]
        if not host.running:
            host.start()


class HostPaused(harness.Fault):
    """The host of the step is suspended for longer than its lease."""

    duration_s = 4.0

    async def begin(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        self._host = cell.affected_host
        cell.cluster.hosts[cell.affected_host].pause()

    async def end(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        cell.cluster.hosts[self._host].resume()


class HostIsolated(harness.Fault):
    """The host of the step is isolated from its peers but not the store."""

    duration_s = 4.0

    async def begin(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        cell.cluster.links.isolate(cell.affected_host)

    async def end(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        cell.cluster.links.heal()


class HostListLags(harness.Fault):
    """The host list omits a running host and lists it again after a lag."""

    expect_all_answered = True

    async def begin(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        cell.cluster.api.withdraw_host('makati-0')
        cell.cluster.api.host_lag_s = 1.0

    async def end(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        listed = cell.cluster.hosts['makati-0'].listed()
        cell.cluster.api.publish_host(listed)
        cell.cluster.api.host_lag_s = 0.0


class _TargetFault(harness.Fault):
    async def begin(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        self._target = cell.cluster.targets.targets[cell.target]
        await self.inject(cell, self._target)

    async def inject(
        self, cell: harness.FaultTrial, target: targets_lib.Target
    ) -> None:
        """Injects the fault into a target."""


class TargetSlow(_TargetFault):
    """The service time of a target increases tenfold."""

    async def inject(
        self, cell: harness.FaultTrial, target: targets_lib.Target
    ) -> None:
        """See base class."""
        target.behaviour.slow_factor = 10.0

    async def end(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        self._target.behaviour.slow_factor = 1.0


class TargetDraining(_TargetFault):
    """A target announces that it is draining and is replaced later."""

    duration_s = cluster_lib.GRACE_PERIOD_S + 1.0

    async def inject(
        self, cell: harness.FaultTrial, target: targets_lib.Target
    ) -> None:
        """See base class."""
        target.behaviour.draining = True
        cell.spawn(self._watch(cell, target))

    async def _watch(
        self, cell: harness.FaultTrial, target: targets_lib.Target
    ) -> None:
        await asyncio.sleep(cluster_lib.GRACE_PERIOD_S)
        before = cell.cluster.targets.log.drain_arrivals
        await asyncio.sleep(0.8)
        late = cell.cluster.targets.log.drain_arrivals - before
        if late:
            cell.verdict.add(
                8, f'{late} requests reached draining {target.name}'
            )

    async def end(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        self._target.behaviour.draining = False
        await self._target.restart(0.1)


class TargetFailsFast(_TargetFault):
    """A target answers each request immediately with an error."""

    async def inject(
        self, cell: harness.FaultTrial, target: targets_lib.Target
    ) -> None:
        """See base class."""
        target.behaviour.fail_fast = True

    async def end(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        self._target.behaviour.fail_fast = False


class TargetCold(_TargetFault):
    """A target becomes cold without a restart."""

    async def inject(
        self, cell: harness.FaultTrial, target: targets_lib.Target
    ) -> None:
        """See base class."""
        cell.unavoidable_overloads += 1
        target.turn_cold()


class TargetRestarted(_TargetFault):
    """A target is replaced by a cold process at the same address."""

    async def inject(
        self, cell: harness.FaultTrial, target: targets_lib.Target
    ) -> None:
        """See base class."""
        await target.restart(0.2)


class TargetCrashes(_TargetFault):
    """A request crashes each target that executes it."""

    async def inject(
        self, cell: harness.FaultTrial, target: targets_lib.Target
    ) -> None:
        """See base class."""
        cell.spawn(cell.write(body=b'crash-target'))


class RegionCut(harness.Fault):
    """The links between the regions are cut."""

    duration_s = 4.0

    async def begin(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        cell.cluster.links.cut_regions(cluster_lib.STORE_REGION)

    async def end(self, cell: harness.FaultTrial) -> None:
        """See base class."""
        cell.cluster.links.heal()


class OperatorsRace(harness.Fault):
    """Two operators change the same document concurrently."""

    expect_all_answered = True

    async def begin(self, cell: harness.FaultTrial) -> None:
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
