"""Sources from which a host reads the objects of the store.

They are derived from the hosts that it knows; `sources` gives the order.
"""

import asyncio
from collections import abc

from ragwortchute import stores
from ragwortchute.gateway import model
from ragwortchute.gateway.http import pools
from ragwortchute.gateway.peers import membership as membership_
from ragwortchute.gateway.peers import peer_api
from ragwortchute.gateway.store import replica as replica_
from ragwortchute.gateway.store import source_choice
from ragwortchute.gateway.store import sources


class StoreSources:
    """Sources of one host.

    Args:
        store: Client of the store.
        membership: Hosts of the deployment.
        host_pools: Connections to other hosts.
        replicas: Replicas of this host by prefix.
    """

    __slots__ = ('_host_pools', '_loop', '_membership', '_replicas', '_store')

    def __init__(
        self,
        store: stores.Store,
        membership: membership_.Membership,
        host_pools: pools.HostPools,
        replicas: abc.Mapping[str, replica_.Replica],
    ) -> None:
        self._store = store
        self._membership = membership
        self._host_pools = host_pools
        self._replicas = replicas
        self._loop = asyncio.get_running_loop()

    def in_order(self) -> list[source_choice.Source]:
        """Returns the sources in order of use."""
        now_s = self._loop.time()
        heard = self._membership.peers.heard(now_s - sources.HEARD_S)
        hosts = self._membership.available_hosts(now_s)
        return [
            self.replica_of(host)
            if host
            else source_choice.Source('', self._store)
            for host in sources.source_order(self._membership.me, hosts, heard)
        ]

    def confirming(self) -> source_choice.Source | None:
        """Returns the replica that confirms what is read from the store."""
        hosts = self._membership.available_hosts(self._loop.time())
        host = sources.confirming_reader(self._membership.me, hosts)
        return self.replica_of(host) if host else None

    def replica_of(self, host: model.HostEntry) -> source_choice.Source:
        """Returns the replica of another host as a source."""
        pool = self._host_pools.get(host)
        peer = self._membership.peers.get(host.name)
        return source_choice.Source(
            host.name,
            peer_api.PeerStore(host.name, pool, self._replicas, host.token),
            peer.last_heartbeat_s if peer is not None else float('-inf'),
        )
