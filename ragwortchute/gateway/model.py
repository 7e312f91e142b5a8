"""Typed configuration, targets and hosts as the gateway uses them."""

import msgspec


class Part(msgspec.Struct, frozen=True):
    """A service that gets a share of the requests of a route.

    Attributes:
        service: Name of the service.
        weight: Share relative to the other parts.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """How requests of one host name and path prefix are handled.

    Attributes:
        name: Name of the route.
        host: Host name, in lower case.
        path_prefix: Prefix of the path; begins and ends with a slash.
        idempotent: Whether a request may run more than once.
        timeout_s: Longest time until the final answer.
        objective_s: Latency objective of an answer.
        priority: Rank under overload; 0 is the most urgent.
        parts: Services that take the requests.
        attempts: Largest number of targets that a request may be sent to.
        homes: Regions that may serve the requests; empty allows all.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    priority: int
    parts: tuple[Part, ...]
    attempts: int
    homes: tuple[str, ...] = ()


class Service(msgspec.Struct, frozen=True):
    """What the operator says of the targets of a service.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Connections that a target takes from all hosts.
        warmup_s: How long a target stays cold after its start.
        warmup_per_s: Requests per second that a cold target bears.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float
    warmup_per_s: float


class Limits(msgspec.Struct, frozen=True):
    """Bounds of what a caller may send and how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits


class TargetEntry(msgspec.Struct, frozen=True):
    """What a target says of itself in the store.

    Attributes:
        name: Identity of the incarnation.
        service: Service that it belongs to.
        ip: Address.
        port: Port.
        failure_domain: Where it runs.
        slots: Requests that it processes concurrently.
        ready: False once it is leaving.
        warmup_left_s: How long it stays cold, seen from its last report.
        born_ms: Start of the process in Unix milliseconds.
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


class HostEntry(msgspec.Struct, frozen=True):
    """An entry host.

    Attributes:
        name: Name of the host.
        incarnation: Start of its process in Unix milliseconds.
        failure_domain: Where it runs.
        region: Region of the failure domain.
        caller_address: `IP:port` that callers connect to.
        ip: Address for other hosts.
        peer_port: UDP port for other hosts.
        weight: Share of callers it can carry, relative to other hosts.
    """

    name: str
    incarnation: int
    failure_domain: str
    region: str
    caller_address: str
    ip: str
    peer_port: int
    weight: float = 1.0
