"""Entry host whose configuration, targets and peers lie in an object store.

Callers learn the addresses of the hosts from the hosts and connect directly.
A request passes the listener (`http_server`), the route table (`routing`), the
choice of a target (`candidates`, `placing`), and the sending with its
retries (`dispatcher`). What a host knows is kept in `knowledge` and is filled
from the store by `following`; hosts learn of each other in `membership`.
"""
