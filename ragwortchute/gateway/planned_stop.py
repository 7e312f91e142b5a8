"""Planned stop of a host within its grace period."""

import asyncio

from ragwortchute.gateway import grace
from ragwortchute.gateway.http import http_server

# How long a stopping host accepts new connections: callers still have cached
# address responses that name it.
DRAIN_ACCEPT_S = 2.6
# How long a stopping host reads requests after it has closed its listener:
# requests on the last accepted connections may still be in transit.
DRAIN_READ_S = 0.25
# A stopping host exits this long before the platform would kill it.
GRACE_MARGIN_S = 0.4
# A stopping host refuses incomplete requests this long before it exits, while
# their callers can still read so.
REFUSE_INCOMPLETE_S = 1.0
# How long a host that ends waits for the delivery of responses behind requests
# that did not end in time.
LAST_RESPONSES_S = 0.1


async def run(
    callers: http_server.Listener,
    peers: http_server.Listener,
    grace_period: grace.GracePeriod,
    grace_s: float,
) -> None:
    """Finishes the requests of callers and of other hosts.

    Args:
        callers: Listener for callers.
        peers: Listener for other hosts. It accepts requests for longer: a host
            may not have heard of the stop.
        grace_period: Told when this host ends.
        grace_s: Seconds from now until the platform kills the process.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + grace_s - GRACE_MARGIN_S
    grace_period.ends_s = end_s
    callers.drain()
    await asyncio.sleep(DRAIN_ACCEPT_S)
    callers.stop_accepting()
    await asyncio.sleep(DRAIN_READ_S)
    callers.close()
    peers.drain()
    await callers.wait_finished(end_s - REFUSE_INCOMPLETE_S - loop.time())
    callers.refuse_incomplete()
    peers.close()
    peers.refuse_incomplete()
    await _wait_finished(callers, peers, end_s)
    callers.fail_pending()
    peers.fail_pending()
    await _wait_finished(callers, peers, end_s + LAST_RESPONSES_S)


async def _wait_finished(
    callers: http_server.Listener, peers: http_server.Listener, end_s: float
) -> None:
    """Waits until callers and other hosts have all responses.

    Args:
        callers: Listener for callers.
        peers: Listener for other hosts.
        end_s: Loop time until which to wait, in seconds.
    """
    left_s = end_s - asyncio.get_running_loop().time()
    await asyncio.gather(
        callers.wait_finished(left_s), peers.wait_finished(left_s)
    )
