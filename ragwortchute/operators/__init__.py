"""HTTP interface for operators: statuses and the console they query."""

import abc
from collections import abc as cabc

import msgspec
from returns import result

from ragwortchute import calls
from ragwortchute import documents

# Returns the state of one component as values that can be encoded as JSON.
Dump = cabc.Callable[[], object]


class DocumentStatus(msgspec.Struct, frozen=True):
    """Status of a document in force.

    Attributes:
        version: Its version.
        since: Time at which this host applied it, in seconds since the Unix
            epoch.
    """

    version: int
    since: float


class DomainStatus(msgspec.Struct, frozen=True):
    """Status of a failure domain.

    Attributes:
        state: State in force.
        damped_until: Time until which it stays out although its document says
            `in`, in seconds since the Unix epoch; 0 if it is not damped.
    """

    state: documents.DomainState
    damped_until: float = 0.0


class ViewStatus(msgspec.Struct, frozen=True):
    """Status of the adopted view."""

    epoch: int
    leader: str
    members: tuple[str, ...]


class HostStatus(msgspec.Struct, frozen=True):
    """Status of an entry host, the answer to `GET /status`."""

    host: str
    region: str
    failure_domain: str
    incarnation: int
    ready: bool
    leaving: bool
    documents: dict[str, DocumentStatus] = {}
    domains: dict[str, DomainStatus] = {}
    view: ViewStatus | None = None


class TargetStatus(msgspec.Struct, frozen=True):
    """Status of a target from the perspective of this host.

    Attributes:
        service: Name of the service.
        target: Name of the target.
        failure_domain: Its failure domain.
        phase: `cold`, `warming`, `warm` or `draining`.
        slots: Slots of the target.
        share: Slots that this host may use.
        in_flight: Running requests of this host on the target.
        connections: Open connections of this host to the target.
        latency_ms: Moving average of the response time, in milliseconds.
    """

    service: str
    target: str
    failure_domain: str
    phase: str
    slots: int
    share: int
    in_flight: int
    connections: int
    latency_ms: float


class OrderAccepted(msgspec.Struct, frozen=True):
    """Acceptance of an order that took effect on a failure domain.

    Attributes:
        failure_domain: The failure domain.
        state: Its new state.
        written: Whether the deployment document already contains the order.
    """

    failure_domain: str
    state: documents.DomainState
    written: bool


class Console(abc.ABC):
    """Interface for operators' queries and orders to this host."""

    @abc.abstractmethod
    def status(self) -> HostStatus:
        """Returns the state of this host."""

    @abc.abstractmethod
    def targets(self, service: str = '') -> list[TargetStatus]:
        """Returns the targets of one service, or of all if it is empty."""

    @abc.abstractmethod
    def explain(
        self, service: str, method: str, path: str, organisation: str
    ) -> dict[str, object]:
        """Returns how this host would handle a call at this moment."""

    @abc.abstractmethod
    async def order(
        self, failure_domain: str, state: documents.DomainState
    ) -> result.Result[OrderAccepted, calls.Refusal]:
        """Takes a failure domain out of service or returns it to service."""
