"""Daemon of a gateway host on the users' platform (composition root)."""

import asyncio
import signal
import sys
import time

from ragwortchute import errors
from ragwortchute.gateway import application
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import metrics
from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_server
from ragwortchute.gateway.resources import account
from ragwortchute.gateway.resources import limits
from ragwortchute.gateway.store import registration
from ragwortchute.platform import endpoints
from ragwortchute.platform import feeds
from ragwortchute.platform import objects
from ragwortchute.platform import rollout_feed
from ragwortchute.platform import settings
from ragwortchute.platform import wire

# Kind of the host list; defined by this system, not by the platform.
HOSTS_KIND = 'ragwortchute-hosts/'
# Must match deploy/system.toml.
METRICS_PORT = 9464
EXIT_INVALID_SETTINGS = 2


async def serve(node: settings.NodeSettings, log: eventlog.EventLog) -> None:
    """Runs a host until SIGTERM or SIGINT, then stops it gracefully."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, node, log)
    store = objects.ObjectStore(node.store_ip, node.store_port)
    gateway = application.Gateway(
        node.gateway, store, wire.PlatformDialect(), log
    )
    rollout_feeds = rollout_feed.enable(gateway, node.gateway.contracts, log)
    endpoints_ = endpoints.Endpoints(gateway)
    listeners = []
    operators = account.Account(limits.for_operators(), log)
    metrics_endpoint = metrics.MetricsEndpoint(gateway)
    for handler, address, name in (
        (endpoints_.resolve, node.directory, 'directory'),
        (endpoints_.ready, node.readiness, 'readiness'),
        (
            metrics_endpoint.serve,
            (node.gateway.peer_ip, METRICS_PORT),
            'metrics',
        ),
    ):
        listener = http_server.Listener(
            handler,
            model.Limits,
            log,
            name,
            account=gateway.account if name == 'directory' else operators,
        )
        await listener.start(*address)
        listeners.append(listener)
    await gateway.start(
        [
            feeds.ConfigFeed(gateway.state, log, node.gateway.config_s),
            feeds.TargetFeed(gateway.state, log),
            feeds.EvacuationFeed(gateway.state),
            *rollout_feeds,
        ]
    )
    registration_ = registration.Registration(gateway, store, HOSTS_KIND, log)
    gateway.spawn('registration', registration_.run)
    await stop.wait()
    await gateway.leave()
    for listener in listeners:
        await listener.stop()
    await gateway.close()
    # A signal that comes once the loop is closed would end the process itself.
    signal.pthread_sigmask(
        signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    )


def _reload(node: settings.NodeSettings, log: eventlog.EventLog) -> None:
    """Checks the settings file and logs whether it has changed.

    Changes take effect at the next start: a running host keeps its addresses.
    """
    try:
        changed = settings.load(node.gateway.me.incarnation)
    except errors.SettingError as exc:
        log.event('reload-refused', error=str(exc))
        return
    log.event('reload', changed=changed != node)


def main() -> int:
    """Runs the daemon; returns its exit code."""
    try:
        node = settings.load(int(time.time() * 1000))
    except errors.SettingError as exc:
        print(f'settings: {exc}', file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    log = eventlog.EventLog(node.gateway.me.name)
    asyncio.run(serve(node, log))
    return 0
