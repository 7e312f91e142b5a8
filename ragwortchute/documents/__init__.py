"""Service and deployment documents: the models that operators fill in."""

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
        slots: Requests that it runs at once when warm.
        draining: True if it is to get no new work.
    """

    name: str
    address: str
    failure_domain: str
    region: str
    slots: int
    draining: bool = False


class ColdStart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a cold target bears, summed over all hosts.

    Attributes:
        concurrency: Requests at once when just started.
        rate_per_s: Requests started per second when just started.
        ramp_s: Seconds in which both double; they go on doubling until the
            slots are reached, so 1 to 4 takes twice this time.
    """

    concurrency: int = 1
    rate_per_s: float = 20.0
    ramp_s: float = 10.0


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rules for the calls that match; the first match in a document counts.

    Attributes:
        name: Unique name within the service.
        methods: HTTP methods; empty matches all.
        path_prefix: Prefix of the path.
        idempotent: True if a request may run more than once.
        homes: Regions that may serve and store the request; empty means any.
        tenant_homes: Homes of single tenants, in place of `homes`.
        deadline_ms: Deadline of calls that bring none, and upper bound.
        retries: Largest number of further attempts.
        hedge: True if idempotent calls may be hedged.
        priority: 0 is served first.
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
    """The document of one service.

    Attributes:
        service: Name of the service; also the document's name.
        targets: All targets.
        routes: Rules in order of matching.
        cold_start: What a cold target bears.
        balancer: Registered name of the balancing policy.
        hosts_per_service: Size of the serving set in each region.
        max_queue: Largest number of calls waiting per host.
        change_id: Id of the last change, set by the writer.
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
        state: Whether it takes work.
        order_id: Id of the order that set the state.
        changed_at: Wall-clock seconds of the change.
    """

    region: str
    state: DomainState = DomainState.IN
    order_id: str = ''
    changed_at: float = 0.0


class DeploymentDocument(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """What spans services.

    Attributes:
        failure_domains: All failure domains by name.
        store_region: Region of the object API.
        link_budget_bytes_per_s: Bytes per second that calls may take of a
            link between regions.
        change_id: Id of the last change, set by the writer.
        author: Who made the last change.
    """

    failure_domains: dict[str, DomainEntry]
    store_region: str = ''
    link_budget_bytes_per_s: int = 750_000
    change_id: str = ''
    author: str = ''
