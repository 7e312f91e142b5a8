"""Settings of a gateway host."""

import msgspec

from ragwortchute.gateway import model
from ragwortchute.gateway.locality import crossings

# Used where the settings name no memory.
DEFAULT_MEMORY_BYTES = 200e6


class FleetLimits(msgspec.Struct, frozen=True):
    """Limits on retries, requests to cold targets and probes of all hosts.

    Attributes:
        retry_ratio: Retries allowed per request.
        retry_slack: Retries allowed in a window beyond that.
        retry_window_s: Length of the window in seconds.
        warmup_overage: Factor on the request rate of a cold target.
        warmup_slack: Requests per second allowed beyond that.
        probes_per_s: Health requests per target and second.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    warmup_overage: float = 1.5
    warmup_slack: float = 5.0
    probes_per_s: float = 60.0


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
    limits: FleetLimits
    config_s: float = 2.0
    memory_bytes: float = DEFAULT_MEMORY_BYTES
    max_descriptors: int = 0
    contracts: frozenset[str] = frozenset()
    bounds: dict[str, float] = {}
    admits_by_urgency: bool = False
    crossing: crossings.Worth | None = None
