"""Settings of a gateway host."""

import msgspec

from ragwortchute.gateway import dispatcher
from ragwortchute.gateway import model
from ragwortchute.gateway.locality import crossings

# Used where the settings name no memory.
DEFAULT_MEMORY_BYTES = 200e6


class Settings(msgspec.Struct, frozen=True):
    """Settings of a gateway host.

    Attributes:
        me: Entry of this host.
        domains: Region of each failure domain.
        peer_ip: Address of the listeners for other hosts.
        grace_s: Seconds from the stop signal until the platform kills the
            process.
        dead_s: Age in seconds of the last heartbeat from which on a host is
            no longer named to callers.
        limits: Limits of resends and of load on cold targets, over all hosts.
        config_s: Seconds within which a change of the configuration must be
            in force.
        memory_bytes: Memory beyond which the platform kills the process.
        max_descriptors: Descriptors that the process may hold; 0 if unknown.
        contracts: Names of the optional parts that the deployment uses.
        bounds: Bounds of the deployment by name.
        admits_by_urgency: Whether room is kept for urgent requests.
        crossing: Worth of a crossing between failure domains; None if requests
            are not kept in the failure domain of the host.
    """

    me: model.HostEntry
    domains: dict[str, str]
    peer_ip: str
    grace_s: float
    dead_s: float
    limits: dispatcher.Limits
    config_s: float = 2.0
    memory_bytes: float = DEFAULT_MEMORY_BYTES
    max_descriptors: int = 0
    contracts: frozenset[str] = frozenset()
    bounds: dict[str, float] = {}
    admits_by_urgency: bool = False
    crossing: crossings.Worth | None = None
