"""Data types of configurations, targets and hosts."""

import msgspec


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its share of the requests of a route.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other services of the route.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Handling of requests with a given host name and path prefix.

    Attributes:
        name: Name of the route.
        host: Host name, in lower case.
        path_prefix: Path prefix; begins and ends with a slash.
        idempotent: Whether a request may be executed more than once.
        timeout_s: Longest time until the final answer, in seconds.
        objective_s: Latency objective in seconds.
        priority: Priority under overload; 0 is the highest.
        services: Services among which the requests are divided.
        attempts: Largest number of targets that a request may be sent to.
        homes: Regions that may serve the requests; empty allows all.
        public: Whether the requests need no key of an organisation.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    priority: int
    services: tuple[WeightedService, ...]
    attempts: int
    homes: tuple[str, ...] = ()
    public: bool = False


class Organisation(msgspec.Struct, frozen=True):
    """A customer whose callers identify themselves by keys.

    Attributes:
        name: Name of the organisation.
        keys: Keys of its callers. They must not be logged.
        priority: Priority under overload, 0 is the highest; None leaves that
            of the route.
        rate_per_s: Requests per second that all hosts serve; 0 if unlimited.
        burst: Requests that all hosts serve at once beyond that.
        homes: Regions that may serve its requests; empty allows all.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    homes: tuple[str, ...] = ()

    def __repr__(self) -> str:
        return f'Organisation({self.name!r}, {len(self.keys)} keys)'


class Service(msgspec.Struct, frozen=True):
    """Settings of the operator for the targets of a service.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Connections that a target accepts from all hosts.
        warmup_s: Time that a target stays cold after its start, in seconds.
        warmup_per_s: Requests per second that a cold target can process.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float
    warmup_per_s: float


class Limits(msgspec.Struct, frozen=True):
    """Limits on the size and duration of the requests of callers."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operator's configuration.

    Attributes:
        version: Number of the version.
        routes: All routes.
        services: Services by name.
        limits: Limits on the requests of callers.
        organisations: Organisations by name; None if the configuration has no
            list of them, so that requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    organisations: dict[str, Organisation] | None = None


class TargetEntry(msgspec.Struct, frozen=True):
    """Registration of a target in the store.

    Attributes:
        name: Identity of the incarnation.
        service: Service that the target belongs to.
        ip: IP address.
        port: TCP port.
        failure_domain: Failure domain that it runs in.
        slots: Requests that it processes concurrently.
        ready: False once it is draining.
        warmup_left_s: Remaining warm-up time at its last report, in seconds.
        born_ms: Start of the process in Unix milliseconds.
        software_version: Version of its software, empty if it states none.
    """

    name: str
    service: str
    ip: str
    port: int
    failure_domain: str
    slots: int
    ready: bool
    warmup_left_s: float
    born_ms: int
    software_version: str = ''


class HostEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """An entry host.

    Attributes:
        name: Name of the host.
        incarnation: Start of its process in Unix milliseconds.
        failure_domain: Failure domain that it runs in.
        region: Region of the failure domain.
        caller_address: `IP:port` that callers connect to.
        ip: IP address for other hosts.
        peer_port: Port for other hosts, UDP and TCP.
        weight: Share of callers that it can serve, relative to other hosts.
        token: Token that its requests from other hosts carry, empty if they
            need none; see `organisations.host_tokens`. It must not be logged.
    """

    name: str
    incarnation: int
    failure_domain: str
    region: str
    caller_address: str
    ip: str
    peer_port: int
    weight: float = 1.0
    token: str = ''

    def __repr__(self) -> str:
        return f'HostEntry({self.name!r}, incarnation={self.incarnation})'
