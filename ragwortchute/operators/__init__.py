"""The listener for operators."""

import abc
from collections import abc as cabc

import msgspec
from returns import result

from ragwortchute import calls
from ragwortchute import documents

# Returns the state of one part as values that JSON can hold.
Dump = cabc.Callable[[], object]


class DocumentStatus(msgspec.Struct, frozen=True):
    """A document in force.

    Attributes:
        version: Its version.
        since: Wall-clock seconds at which this host applied it.
    """

    version: int
    since: float


class DomainStatus(msgspec.Struct, frozen=True):
    """A failure domain.

    Attributes:
        state: State in force.
        damped_until: Wall-clock seconds until which it stays out although
            its document says `in`; 0 if it is not damped.
    """

    state: documents.DomainState
    damped_until: float = 0.0


class ViewStatus(msgspec.Struct, frozen=True):
    """The adopted view."""

    epoch: int
    leader: str
    members: tuple[str, ...]


class HostStatus(msgspec.Struct, frozen=True):
    """What `GET /status` answers."""

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
    """A target as this host sees it.

    Attributes:
        service: Name of the service.
        target: Name of the target.
        failure_domain: Its failure domain.
        phase: `cold`, `warming`, `warm` or `draining`.
        slots: Slots of the target.
        share: Slots that this host may use.
        in_flight: Requests of this host on the target.
        connections: Open connections of this host.
        latency_ms: Moving average of the answers, in milliseconds.
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
    """An order on a failure domain took effect.

    Attributes:
        failure_domain: The failure domain.
        state: Its new state.
        written: Whether the order is in the deployment document already.
    """

    failure_domain: str
    state: documents.DomainState
    written: bool


class Console(abc.ABC):
    """What operators may ask of this host, and tell it."""

    @abc.abstractmethod
    def status(self) -> HostStatus:
        """Returns the state of this host."""

    @abc.abstractmethod
    def targets(self, service: str = '') -> list[TargetStatus]:
        """Returns the targets of one service, or of all."""

    @abc.abstractmethod
    def explain(
        self, service: str, method: str, path: str, tenant: str
    ) -> dict[str, object]:
        """Returns how a call would be decided here and now."""

    @abc.abstractmethod
    async def order(
        self, failure_domain: str, state: documents.DomainState
    ) -> result.Result[OrderAccepted, calls.Refusal]:
        """Takes a failure domain out of service, or back in."""
