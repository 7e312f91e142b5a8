"""Traffic and CPU of the gateway's heartbeats, by the number of hosts.

Runs the membership of all hosts in one process on an in-memory network. CPU is
measured for the whole process, including the simulated network, so the figures
are upper bounds.

    python -m benchmarks.heartbeats --hosts 12 --hosts 140
"""

import argparse
import time

from tests.test_gateway import host_network
from tests.test_gateway import rig as rigs

_WARM_UP_S = 15
_REST_S = 10
_RESTART_S = 4


def main() -> None:
    """Prints a row of figures for each fleet size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--hosts', type=int, action='append')
    host_counts = parser.parse_args().hosts or [12, 60, 140, 300]
    print(
        'hosts | B/s a host | B/s between regions | ms of CPU a host and s | '
        'B between regions a restart | hosts missing after 15 s'
    )
    for host_count in host_counts:
        print(' | '.join(_measure(host_count)))


def _measure(host_count: int) -> list[str]:
    net = host_network.network(max(1, host_count // len(rigs.DOMAINS)))
    hosts = len(net.hosts)
    net.run(_WARM_UP_S)
    missing = sum(hosts - len(net.names(host)) for host in net.hosts.values())
    started_s = time.process_time()
    sent_before, region_before = net.bytes, net.region_bytes
    net.run(_REST_S)
    cpu_ms = (time.process_time() - started_s) * 1000 / hosts / _REST_S
    rest = (net.bytes - sent_before) / hosts / _REST_S
    region_rest = (net.region_bytes - region_before) / _REST_S
    restart = _restart_bytes(net) - region_rest * _RESTART_S
    return [
        str(hosts),
        f'{rest:.0f}',
        f'{region_rest:.0f}',
        f'{cpu_ms:.2f}',
        f'{restart:.0f}',
        f'{missing / hosts:.2f}',
    ]


def _restart_bytes(net: host_network.Network) -> int:
    """Returns the bytes sent between regions while one host restarts."""
    before = net.region_bytes
    last_port = max(net.hosts)
    old = net.hosts[last_port]
    old.leaving = True
    old.announce_stop(net.now_s)
    net.dead.add(last_port)
    new = net.add(old.me.name, old.me.failure_domain, incarnation=2)
    new.add_entries([host.me for host in net.hosts.values()], net.now_s)
    new.announce_start(net.now_s)
    net.run(_RESTART_S)
    return net.region_bytes - before


if __name__ == '__main__':
    main()
