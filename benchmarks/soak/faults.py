"""Faults that a soak run chooses from.

A fault is a coroutine function. It is called with the run, ends when the fault
has ended, and returns what it did, for the log.
"""

import asyncio
import signal

from benchmarks.soak import hosts
from benchmarks.soak import run

_TARGET_FAULTS = (
    'shed', 'error', 'hang', 'truncate', 'garbage', 'extra', 'late',
    'unframed', 'lose',
)  # fmt: skip

FAULTS: list[run.Fault] = []


def fault(function: run.Fault) -> run.Fault:
    """Adds a function to the faults that a run chooses from."""
    FAULTS.append(function)
    return function


@fault
async def kill(soak: run.Soak) -> str:
    """Kills a host with SIGKILL and restarts it."""
    host = soak.rng.choice(soak.hosts)
    if host.stopping or not soak.others_reachable(host):
        return 'none'
    host.stopping = True
    soak.note_fault()
    host.note_fault()
    with host.disruptions.during(), host.unplanned.during():
        host.signal(signal.SIGKILL)
        await host.process.wait()
        await asyncio.sleep(soak.rng.uniform(0.1, 1.0))
        await host.start()
    soak.note_fault()
    host.note_fault()
    return host.name


@fault
async def planned_stop(soak: run.Soak) -> str:
    """Stops a host gracefully with SIGTERM and restarts it."""
    host = soak.rng.choice(soak.hosts)
    if host.stopping or not soak.others_reachable(host):
        return 'none'
    host.stopping = True
    with host.disruptions.during():
        host.signal(signal.SIGTERM)
        await host.wait_ended()
        soak.check_end(host)
        await host.start()
    host.note_fault()
    return host.name


@fault
async def pause(soak: run.Soak) -> str:
    """Suspends a host with SIGSTOP for a while."""
    host = soak.rng.choice(soak.hosts)
    if not soak.others_reachable(host):
        return 'none'
    soak.note_fault()
    host.note_fault()
    with host.disruptions.during(), host.unplanned.during():
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
        host.signal(signal.SIGCONT)
    soak.note_fault()
    host.note_fault()
    return host.name


@fault
async def reload(soak: run.Soak) -> str:
    """Makes a host reload its settings with SIGHUP."""
    host = soak.rng.choice(soak.hosts)
    host.signal(signal.SIGHUP)
    return host.name


@fault
async def store_outage(soak: run.Soak) -> str:
    """Makes the store fail for all hosts for a while."""
    mode = soak.rng.choice(('busy', 'reset', 'silent'))
    soak.note_fault()
    with soak.store_disruptions.during():
        soak.store.mode = mode
        await soak.store.close_connections()
        await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
        soak.store.mode = 'up'
        await soak.store.close_connections()
    soak.note_fault()
    return mode


@fault
async def store_path(soak: run.Soak) -> str:
    """Impairs the connection of one host to the store for a while."""
    host = soak.rng.choice(soak.hosts)
    impairment = soak.rng.choice(('delay', 'silent', 'one_way', 'reset'))
    soak.note_fault()
    with host.disruptions.during():
        if impairment == 'delay':
            host.proxy.delay_s = soak.rng.uniform(0.05, 0.5)
        elif impairment == 'reset':
            host.proxy.reset()
        else:
            setattr(host.proxy, impairment, True)
        await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
        host.proxy.heal()
    soak.note_fault()
    return f'{host.name} {impairment}'


@fault
async def history(soak: run.Soak) -> str:
    """Delays change notifications, then drops the change history."""
    soak.note_fault()
    with soak.store_disruptions.during():
        soak.store.suppress_events = True
        await soak.configure(soak.rng)
        await asyncio.sleep(1.0)
        soak.store.drop_history()
        soak.store.suppress_events = False
        await soak.store.close_connections()
    soak.note_fault()
    return 'dropped'


@fault
async def target_fault(soak: run.Soak) -> str:
    """Makes a target respond incorrectly for a while."""
    target = soak.rng.choice(soak.targets)
    soak.note_fault()
    target.fault = soak.rng.choice(_TARGET_FAULTS)
    name = f'{target.name} {target.fault}'
    with soak.target_disruptions[target.name].during():
        await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
        target.fault = ''
    soak.note_fault()
    return name


@fault
async def cold_target(soak: run.Soak) -> str:
    """Makes a target cold for 2 s."""
    target = soak.rng.choice(soak.targets)
    target.cold_s = 2.0
    await asyncio.sleep(2.0)
    target.cold_s = 0.0
    return target.name


@fault
async def configuration(soak: run.Soak) -> str:
    """Writes a new configuration."""
    await soak.configure(soak.rng)
    return str(soak.store.revision)


@fault
async def evacuation(soak: run.Soak) -> str:
    """Evacuates a failure domain and then readmits it."""
    domain = soak.rng.choice(sorted(hosts.DOMAINS))
    if soak.evacuated_at_s:
        return 'none'
    soak.evacuated_at_s[domain] = soak.loop.time()
    await soak.store.put('evacuations', domain, {})
    await asyncio.sleep(run.EVACUATION_LIMIT_S + 1.0)
    since_s = soak.evacuated_at_s.get(domain)
    if since_s is not None and not soak.had_fault(
        since_s - hosts.CONTACT_S, soak.loop.time()
    ):
        for target in soak.all_targets():
            late = [
                path
                for arrived_s, path in target.arrivals
                if target.failure_domain == domain
                and arrived_s > since_s + run.EVACUATION_LIMIT_S
            ]
            if late:
                soak.violations.append(
                    f'{late[0]}: reached {domain} after its evacuation'
                )
    await soak.store.delete('evacuations', domain)
    soak.evacuated_at_s.pop(domain, None)
    return domain


@fault
async def replace_target(soak: run.Soak) -> str:
    """Adds a target and removes another one."""
    target = soak.rng.choice(soak.targets)
    if target.name in soak.removed_at_s or len(soak.removed_at_s) > 4:
        return 'none'
    await soak.add_target(f'{target.name}x', target.failure_domain)
    await soak.store.delete('servers', target.name)
    soak.removed_at_s[target.name] = soak.loop.time()
    return target.name
