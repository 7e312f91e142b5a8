"""Options of sockets that detect an unresponsive peer."""

import socket

# Detect within about 3 s a peer that is gone without having sent a reset.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Close a connection if data stays unacknowledged this long: the path is broken.
USER_TIMEOUT_MS = 3000


def set_keepalive(sock: socket.socket) -> None:
    """Makes the kernel close the connection if the peer is unresponsive."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
