"""Entry host that reads its configuration, targets and peers from a store.

Callers ask a host for the addresses of the hosts and connect to them directly.
A request passes the listener (`http_server`), the route table (`routing`), the
selection of a target (`candidates`, `estimates`), and the dispatcher, which
sends and resends it (`dispatcher`). `host_state` holds the configuration and
targets, which `store_follower` replicates from the store; `membership` tracks
the other hosts.
"""
