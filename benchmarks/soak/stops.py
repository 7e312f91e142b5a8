"""Planned stops in which signals, restarts and changes overlap."""

import asyncio
from collections import abc
import signal

from benchmarks.soak import faults
from benchmarks.soak import hosts
from benchmarks.soak import run

_SERIES = (2, 4)
_EXTRA_SIGNALS = (signal.SIGTERM, signal.SIGHUP)

FAULTS: list[run.Fault] = list(faults.FAULTS)


def fault(function: run.Fault) -> run.Fault:
    """Adds a function to the faults that a run chooses from."""
    FAULTS.append(function)
    return function


def _claim(soak: run.Soak) -> hosts.Host | None:
    """Chooses a host to stop, unless no other would be reachable."""
    reachable = [host for host in soak.hosts if host.is_reachable()]
    if len(reachable) < 2:
        return None
    host = soak.rng.choice(reachable)
    host.stopping = True
    return host


async def _stop(
    soak: run.Soak, host: hosts.Host, meanwhile: abc.Awaitable[None]
) -> None:
    """Stops a host gracefully while something else happens; restarts it."""
    with host.disruptions.during():
        host.signal(signal.SIGTERM)
        await asyncio.gather(host.wait_ended(), meanwhile)
        soak.check_end(host)
        await host.start()
    host.note_fault()


async def _send_signals(soak: run.Soak, host: hosts.Host) -> None:
    for _ in range(soak.rng.randint(1, 4)):
        await asyncio.sleep(soak.rng.uniform(0.0, 1.5))
        host.signal(soak.rng.choice(_EXTRA_SIGNALS))


@fault
async def repeated_signals(soak: run.Soak) -> str:
    """Stops a host with SIGHUP before and more signals after SIGTERM."""
    host = _claim(soak)
    if host is None:
        return 'none'
    host.signal(signal.SIGHUP)
    await asyncio.sleep(soak.rng.choice((0.0, 0.05, 0.3)))
    await _stop(soak, host, _send_signals(soak, host))
    return host.name


@fault
async def stops_in_series(soak: run.Soak) -> str:
    """Stops several hosts, one after the other, and starts them again."""
    stops: list[asyncio.Task[None]] = []
    names = []
    for _ in range(soak.rng.randint(*_SERIES)):
        host = _claim(soak)
        if host is not None:
            names.append(host.name)
            meanwhile = _send_signals(soak, host)
            stops.append(asyncio.create_task(_stop(soak, host, meanwhile)))
        await asyncio.sleep(soak.rng.uniform(0.3, 4.0))
    await asyncio.gather(*stops)
    return ' '.join(names) or 'none'


async def _pause(soak: run.Soak, host: hosts.Host) -> None:
    await asyncio.sleep(soak.rng.uniform(0.0, 2.5))
    with host.unplanned.during():
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(soak.rng.uniform(0.1, 1.5))
        host.signal(signal.SIGCONT)


@fault
async def paused_stop(soak: run.Soak) -> str:
    """Suspends a host with SIGSTOP for a while during its stop."""
    host = _claim(soak)
    if host is None:
        return 'none'
    soak.note_fault()
    await _stop(soak, host, _pause(soak, host))
    soak.note_fault()
    return host.name


async def _change(soak: run.Soak) -> None:
    for _ in range(3):
        await asyncio.sleep(soak.rng.uniform(0.0, 1.0))
        await soak.configure(soak.rng)


@fault
async def stop_amid_changes(soak: run.Soak) -> str:
    """Stops a host while configuration, domains and targets change."""
    host = _claim(soak)
    if host is None:
        return 'none'
    change_target = soak.rng.choice((target_leaves, target_ends))
    await asyncio.gather(
        _stop(soak, host, _change(soak)),
        faults.evacuation(soak),
        change_target(soak),
    )
    return f'{host.name} {change_target.__name__}'


@fault
async def target_leaves(soak: run.Soak) -> str:
    """Replaces a target of long requests, which finishes its own."""
    target = await soak.replace_work_target()
    if target is None:
        return 'none'
    await asyncio.sleep(soak.rng.uniform(0.0, 1.0))
    target.leaving = True
    await asyncio.sleep(soak.rng.uniform(0.0, 1.0))
    await soak.store.delete('servers', target.name)
    soak.removed_at_s[target.name] = soak.loop.time()
    return target.name


@fault
async def target_ends(soak: run.Soak) -> str:
    """Replaces a target of long requests, which breaks off its own."""
    target = await soak.replace_work_target()
    if target is None:
        return 'none'
    await asyncio.sleep(soak.rng.uniform(0.0, 1.0))
    now_s = soak.loop.time()
    soak.target_disruptions[target.name].note(now_s, float('inf'))
    await target.stop()
    await asyncio.sleep(soak.rng.uniform(0.0, 1.0))
    await soak.store.delete('servers', target.name)
    return target.name
