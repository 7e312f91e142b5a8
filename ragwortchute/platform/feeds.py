"""Feeds that decode objects of the platform's store for the gateway."""

import ipaddress
import re

import msgspec

from ragwortchute import decoding
from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import host_state
from ragwortchute.gateway import model
from ragwortchute.gateway.store import store_feed

CONFIG_KIND = 'config/'
CONFIG_NAME = 'main'
SERVERS_KIND = 'servers/'
EVACUATIONS_KIND = 'evacuations/'

_STATES = frozenset({'ready', 'draining'})
# Longest age of the lists of targets and of excluded failure domains: the
# longest wait of a watch and of its answer. A failure domain must be out of
# service after 5 s; a leaving target says so in its health answers, too.
_MAX_AGE_S = 4.5


# Names are sent in headers.
_NAME = re.compile('[!-~]+')


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_s: float
    target_latency_s: float  # latency objective
    attempts: int
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Split] = []
    allowed_regions: list[str] = []
    public: bool = False


class _Service(msgspec.Struct):
    name: str
    health_path: str
    max_conns: int = 100
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: list[str] = []

    def __repr__(self) -> str:
        return f'_Tenant({self.name!r})'


class _Config(msgspec.Struct):
    config_version: int
    routes: list[_Route]
    services: list[_Service]
    limits: model.Limits = msgspec.field(default_factory=model.Limits)
    tenants: list[_Tenant] | None = None


# The check of a configuration names the fields of these types.
CONFIGURATION_TYPE = _Config
TENANT_TYPE = _Tenant


class _Info(msgspec.Struct):
    service: str
    zone: str
    slots: int
    config_version: str = ''


class _Status(msgspec.Struct):
    state: str
    warmup_left_s: float = 0.0


class _Server(msgspec.Struct):
    address: str
    info: _Info
    status: _Status
    born: int


class _LoggedFeed(store_feed.Feed):
    """Feed that updates the state of a host and logs malformed objects.

    Args:
        state: Configuration and targets, updated by the feed.
        log: Event log.
    """

    def __init__(
        self, state: host_state.HostState, log: eventlog.EventLog
    ) -> None:
        self._state = state
        self._log = log


# Shares of the time within which a change must be in force. A watch of the
# store ends after the first, so that its answer, which may take a third of a
# second, confirms the configuration before the second, when a host reads the
# store itself.
_WATCH_FRACTION = 0.6
_MAX_AGE_FRACTION = 0.8


class ConfigFeed(_LoggedFeed):
    """Feed of the operator's configuration.

    Args:
        state: Configuration and targets, updated by the feed.
        log: Event log.
        in_force_s: Seconds within which a change must be in force.
    """

    prefix = CONFIG_KIND
    holds_configuration = True

    def __init__(
        self,
        state: host_state.HostState,
        log: eventlog.EventLog,
        in_force_s: float = 2.0,
    ) -> None:
        super().__init__(state, log)
        self.watch_timeout_s = in_force_s * _WATCH_FRACTION
        self.max_age_s = in_force_s * _MAX_AGE_FRACTION

    def replace(
        self, objects: list[stores.StoredObject], revision: int
    ) -> None:
        """See base class."""
        for obj in objects:
            self.put(obj, revision)

    def put(self, obj: stores.StoredObject, revision: int) -> None:
        """See base class."""
        if obj.name != CONFIG_NAME:
            return
        try:
            cfg = decode_configuration(obj.value)
        except errors.DecodeFailed as exc:
            self._log.event(
                'configuration-malformed', revision=obj.version, error=str(exc)
            )
            return
        self._state.set_configuration(obj.version, cfg)

    def remove(self, name: str, revision: int) -> None:
        """Logs the removal; the last configuration stays in force."""
        self._log.event('configuration-removed', name=name, revision=revision)

    def confirm(self, confirmed_s: float) -> None:
        """See base class."""
        self._state.cfg_confirmed_s = confirmed_s


class TargetFeed(_LoggedFeed):
    """Feed of the targets, which register themselves in the store."""

    prefix = SERVERS_KIND
    entries_expire = True
    # Targets come, go and change in large numbers, when a service is replaced.
    batch_delay_s = 0.5
    max_age_s = _MAX_AGE_S

    def replace(
        self, objects: list[stores.StoredObject], revision: int
    ) -> None:
        """See base class."""
        entries = [self._decode(obj) for obj in objects]
        self._state.set_targets(
            [entry for entry in entries if entry is not None], revision
        )

    def put(self, obj: stores.StoredObject, revision: int) -> None:
        """See base class."""
        entry = self._decode(obj)
        if entry is None:
            self._state.remove_target(obj.name, revision)
        else:
            self._state.set_target(entry, revision)

    def remove(self, name: str, revision: int) -> None:
        """See base class."""
        self._state.remove_target(name, revision)

    def _decode(self, obj: stores.StoredObject) -> model.TargetEntry | None:
        try:
            return decode_target(obj.name, obj.value)
        except (errors.DecodeFailed, ValueError) as exc:
            self._log.event('target-malformed', target=obj.name, error=str(exc))
            return None


class EvacuationFeed(store_feed.Feed):
    """Feed of the failure domains that the operator takes out of service.

    Args:
        state: Configuration and targets, updated by the feed.
    """

    prefix = EVACUATIONS_KIND
    max_age_s = _MAX_AGE_S

    def __init__(self, state: host_state.HostState) -> None:
        self._state = state
        self._evacuated: set[str] = set()

    def replace(
        self, objects: list[stores.StoredObject], revision: int
    ) -> None:
        """See base class."""
        self._evacuated = {obj.name for obj in objects}
        self._state.set_domains_out(self._evacuated, revision)

    def put(self, obj: stores.StoredObject, revision: int) -> None:
        """See base class."""
        self._evacuated.add(obj.name)
        self._state.set_domains_out(self._evacuated, revision)

    def remove(self, name: str, revision: int) -> None:
        """See base class."""
        self._evacuated.discard(name)
        self._state.set_domains_out(self._evacuated, revision)


def decode_configuration(value: bytes) -> model.Configuration:
    """Decodes the configuration object.

    Raises:
        DecodeFailed: The object is malformed.
    """
    cfg = decoding.decode_json(value, _Config)
    services = {
        service.name: model.Service(
            service.name,
            service.health_path,
            service.max_conns,
            service.warmup_s,
            service.warmup_per_s,
        )
        for service in cfg.services
    }
    return model.Configuration(
        cfg.config_version,
        tuple(_decode_route(route) for route in cfg.routes),
        services,
        cfg.limits,
        _decode_organisations(cfg.tenants),
    )


def decode_target(name: str, value: bytes) -> model.TargetEntry:
    """Decodes the entry of a target.

    Args:
        name: Name of the object.
        value: Value of the object.

    Raises:
        DecodeFailed: The object is malformed.
        ValueError: The name, the state or the address is invalid.
    """
    if not _NAME.fullmatch(name):
        raise ValueError(f'name {name!r} can not be sent in a header')
    server = decoding.decode_json(value, _Server)
    if server.status.state not in _STATES:
        raise ValueError(f'state {server.status.state!r} is unknown')
    ip, port = _parse_address(server.address)
    return model.TargetEntry(
        name=name,
        service=server.info.service,
        ip=ip,
        port=port,
        failure_domain=server.info.zone,
        slots=server.info.slots,
        ready=server.status.state == 'ready',
        warmup_left_s=max(0.0, server.status.warmup_left_s),
        born_ms=server.born,
        software_version=server.info.config_version,
    )


def _parse_address(address: str) -> tuple[str, int]:
    ip, _, port = address.rpartition(':')
    ipaddress.IPv4Address(ip)
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f'address {address!r} has no valid port')
    return ip, int(port)


def _decode_organisations(
    tenants: list[_Tenant] | None,
) -> dict[str, model.Organisation] | None:
    if tenants is None:
        return None
    return {
        tenant.name: model.Organisation(
            tenant.name,
            frozenset(tenant.api_keys),
            tenant.priority,
            tenant.rate_per_s,
            tenant.burst,
            tuple(tenant.allowed_regions),
        )
        for tenant in tenants
    }


def _decode_route(route: _Route) -> model.Route:
    if route.traffic_split:
        services = tuple(
            model.WeightedService(part.service, part.weight)
            for part in route.traffic_split
        )
    else:
        services = (model.WeightedService(route.service or '', 1.0),)
    return model.Route(
        name=route.name,
        host=route.hostname.lower(),
        path_prefix=route.path_prefix,
        idempotent=route.route_type == 'idempotent',
        timeout_s=route.timeout_s,
        objective_s=route.target_latency_s,
        priority=route.priority,
        services=services,
        attempts=max(1, route.attempts),
        homes=tuple(route.allowed_regions),
        public=route.public,
    )
