"""Data models of the service documents and the deployment document.

The docstrings of these models are the source of the reference page.
"""

import enum

import msgspec

DEPLOYMENT_NAME = '_deployment'


class DomainState(enum.StrEnum):
    """State of a failure domain."""

    IN = 'in'
    OUT = 'out'


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One target of a service.

    Attributes:
        name: Unique name within the service.
        address: `IP:port` of the target.
        failure_domain: Failure domain of the target.
        region: Region of the target.
        slots: Number of concurrent requests that it can run when warm.
        draining: True if it must not receive new requests.
    """

    name: str
    address: str
    failure_domain: str
    region: str
    slots: int
    draining: bool = False


class ColdStart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the requests to a cold target, summed over all hosts.

    Attributes:
        concurrency: Number of concurrent requests directly after its start.
        rate_per_s: Requests started per second directly after its start.
        ramp_s: Seconds in which both limits double. They keep doubling until
            the slots are reached, so from 1 to 4 takes twice this time.
    """

    concurrency: int = 1
    rate_per_s: float = 20.0
    ramp_s: float = 10.0


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the calls that match; the first matching route applies.

    Attributes:
        name: Unique name within the service.
        methods: HTTP methods; empty matches all.
        path_prefix: Prefix of the path.
        idempotent: True if a request may run more than once.
        homes: Regions that may serve and store the request; empty means any.
        tenant_homes: Home regions by organisation, which replace `homes`.
        deadline_ms: Default and upper bound of the deadline of a call.
        retries: Maximum number of further attempts after the first.
        hedge: True if idempotent calls may be hedged.
        priority: Priority; calls with 0 are served first.
    """

    name: str
    methods: tuple[str, ...] = ()
    path_prefix: str = '/'
    idempotent: bool = False
    homes: tuple[str, ...] = ()
    tenant_homes: dict[str, tuple[str, ...]] = {}
    deadline_ms: int = 2000
    retries: int = 2
    hedge: bool = True
    priority: int = 1


class ServiceDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration of one service.

    Attributes:
        service: Name of the service and of the document.
        targets: All targets.
        routes: Routes in order of matching.
        cold_start: Limits on the requests to cold targets.
        balancer: Registered name of the balancing policy.
        hosts_per_service: Number of hosts per region that serve the service.
        max_queue: Maximum number of waiting calls per host.
        change_id: Id of the last change, set by each write.
        author: Who made the last change.
    """

    service: str
    targets: tuple[Target, ...]
    routes: tuple[Route, ...]
    cold_start: ColdStart = ColdStart()
    balancer: str = 'slot_shares'
    hosts_per_service: int = 4
    max_queue: int = 256
    change_id: str = ''
    author: str = ''


class DomainEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Recorded state of one failure domain.

    Attributes:
        region: Region that the failure domain belongs to.
        state: Whether it is in service.
        order_id: Id of the order that set the state.
        changed_at: Wall-clock time of the change in seconds.
    """

    region: str
    state: DomainState = DomainState.IN
    order_id: str = ''
    changed_at: float = 0.0


class DeploymentDocument(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Configuration that is shared by all services.

    Attributes:
        failure_domains: All failure domains by name.
        store_region: Region of the object API.
        link_budget_bytes_per_s: Bandwidth in bytes per second that calls may
            use on a link between regions.
        change_id: Id of the last change, set by each write.
        author: Who made the last change.
    """

    failure_domains: dict[str, DomainEntry]
    store_region: str = ''
    link_budget_bytes_per_s: int = 750_000
    change_id: str = ''
    author: str = ''
