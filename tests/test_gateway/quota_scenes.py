"""Scenarios of the model of quotas, and what must hold in them."""

from tests.test_gateway import quota_model

RATES_PER_S = (1.0, 10.0, 142.0)
LOADS = (0.5, 1.0, 2.0, 7.5)
# Usual load of an organisation, and what it jumps to.
USUAL = 0.6
JUMP = 7.5 * USUAL
# Hosts that requests arrive at; 0 for all.
ARRIVALS = (1, 3, 0)
# Stated targets: requests refused below the quota, quota used at or above it.
MAX_REFUSED = 0.01
MIN_USED = 0.9
# Requests below this load are below the quota also while they come in bursts.
BELOW = 0.9
# The measured share of requests that are few is off by chance.
MIN_REQUESTS = 500

# Scenario with faults in which requests below the quota must be served.
FIFTH_KILLED = f'fifth killed, load {USUAL}'

_FIFTH = slice(0, None, 5)
_THIRD = slice(0, None, 3)
_ALL = slice(None)


def steady(hosts, rate_per_s, load, arrival, **fields):
    """Returns a scenario with steady load."""
    duration_s = max(20.0, min(300.0, 4 * MIN_REQUESTS / (rate_per_s * load)))
    if hosts > 100:
        duration_s = min(duration_s, 60.0 if hosts < 500 else 16.0)
    values = {
        'hosts': hosts,
        'rate_per_s': rate_per_s,
        'loads': ((0.0, rate_per_s * load),),
        'at': arrival,
        'duration_s': duration_s,
        'measure_s': 0.0 if load < 1 else 3.0,
    }
    return quota_model.Scenario(**{**values, **fields})


def jump(hosts, rate_per_s, arrival, to=JUMP, faults=(), **fields):
    """Returns a scenario in which the load jumps at 6 s."""
    values = {
        'hosts': hosts,
        'rate_per_s': rate_per_s,
        'loads': ((0.0, rate_per_s * USUAL), (6.0, rate_per_s * to)),
        'at': arrival,
        'faults': faults,
        'measure_s': 6.0,
        'duration_s': max(20.0, 6.0 + 60.0 / rate_per_s),
    }
    return quota_model.Scenario(**{**values, **fields})


def fault_scenes(hosts, rate_per_s):
    """Returns scenarios with faults, by name."""
    healed = (16.0, 'heal', None)
    cuts = {
        'fifth cut': ((6.0, 'cut', _FIFTH), healed),
        'half cut': ((6.0, 'cut', slice(0, hosts // 2)), healed),
        'region cut': ((6.0, 'region', None), healed),
        'all cut': ((6.0, 'scatter', _ALL), healed),
        'third scattered': ((6.0, 'scatter', _THIRD), healed),
        'third mute': ((6.0, 'mute', _THIRD), healed),
        'fifth killed': (
            (6.0, 'kill', _FIFTH),
            (13.0, 'restart', _FIFTH),
        ),
        'all restarted': ((6.0, 'kill', _ALL), (6.2, 'restart', _ALL)),
    }
    for name, faults in cuts.items():
        yield f'{name}, jump', jump(hosts, rate_per_s, 0, faults=faults)
        yield (
            f'{name}, load 7.5',
            steady(hosts, rate_per_s, 7.5, 0, faults=faults, duration_s=20.0),
        )
    yield (
        FIFTH_KILLED,
        steady(
            hosts,
            rate_per_s,
            USUAL,
            0,
            faults=cuts['fifth killed'],
            duration_s=20.0,
        ),
    )
    # No report arrives, while all hosts go on.
    yield (
        'all mute, load 7.5',
        steady(
            hosts,
            rate_per_s,
            7.5,
            0,
            faults=((6.0, 'mute', _ALL), healed),
            duration_s=20.0,
        ),
    )
    for load in (USUAL, 7.5):
        yield (
            f'start, load {load}',
            steady(hosts, rate_per_s, load, 0, cold=True, duration_s=15.0),
        )


def all_scenes(hosts):
    """Yields the names and scenarios of the whole model."""
    for rate_per_s in RATES_PER_S:
        prefix = f'{hosts} hosts, {rate_per_s:g}/s'
        for arrival in ARRIVALS:
            at = f'at {arrival or "all"}'
            for load in LOADS:
                yield (
                    f'{prefix} {at}, load {load}',
                    steady(hosts, rate_per_s, load, arrival),
                )
            yield f'{prefix} {at}, jump', jump(hosts, rate_per_s, arrival)
            yield (
                f'{prefix} {at}, jump to 7.5, loss',
                jump(hosts, rate_per_s, arrival, 7.5, loss=0.05, late=0.05),
            )
        yield (
            f'{prefix} moves, load {USUAL}',
            steady(hosts, rate_per_s, USUAL, 3, moves_s=(5.0, 10.0, 15.0)),
        )
        yield (
            f'{prefix} loss, load {USUAL}',
            steady(hosts, rate_per_s, USUAL, 0, loss=0.05, late=0.05),
        )
        for name, scenario in fault_scenes(hosts, rate_per_s):
            yield f'{prefix} {name}', scenario


def broken(scenario, outcome):
    """Returns what did not hold in a scenario."""
    faults = []
    if outcome.worst > 1:
        faults.append('bound')
    load = scenario.loads[-1][1] / scenario.rate_per_s
    kinds = {kind for _, kind, _ in scenario.faults}
    if load < BELOW and kinds <= {'kill', 'restart'}:
        requests = outcome.offered * scenario.rate_per_s * scenario.duration_s
        allowed = max(
            MAX_REFUSED, 1 / requests if kinds or scenario.cold else 0
        )
        if outcome.refused > allowed + 1e-9:
            faults.append('refused')
    if scenario.faults or scenario.cold:
        return faults
    if load >= 1 and outcome.used < MIN_USED * min(1.0, outcome.offered):
        faults.append('used')
    return faults
