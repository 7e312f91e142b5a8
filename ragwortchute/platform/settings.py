"""Parser of the platform's settings file."""

import ipaddress
import os

import msgspec

from ragwortchute import errors
from ragwortchute.gateway import host_settings
from ragwortchute.gateway import model
from ragwortchute.gateway.locality import crossings

FILE_VARIABLE = 'RAGWORTCHUTE_NODE_FILE'
# Callers may get the address of a dead host for up to 3 s after `contact_s` has
# expired. The difference allows for the age of the address response itself.
STALE_ADDRESS_S = 2.4
# Used if `limits.cores` is not set. A whole core has the weight 1.0.
DEFAULT_CORES = 1.0


class NodeSettings(msgspec.Struct, frozen=True):
    """Settings of one process.

    Attributes:
        gateway: Settings of the gateway.
        store_ip: IP address of the store.
        store_port: Port of the store.
        directory: IP address and port of the listener for address look-ups.
        readiness: IP address and port of the listener for readiness checks.
    """

    gateway: host_settings.Settings
    store_ip: str
    store_port: int
    directory: tuple[str, int]
    readiness: tuple[str, int]


def load(incarnation: int) -> NodeSettings:
    """Reads the settings file named by the environment variable.

    Args:
        incarnation: Start of this process in Unix milliseconds.

    Raises:
        SettingError: The file can't be read, or a value is missing or invalid.
    """
    path = os.environ.get(FILE_VARIABLE, '')
    if not path:
        raise errors.SettingError(f'{FILE_VARIABLE} is not set', step='read')
    try:
        with open(path, encoding='utf-8') as file:
            text = file.read()
    except OSError as exc:
        raise errors.SettingError(str(exc), step='read') from exc
    return parse(text, incarnation)


def parse(text: str, incarnation: int) -> NodeSettings:
    """Parses the text of a settings file.

    Args:
        text: Lines of the form `name=value`.
        incarnation: Start of this process in Unix milliseconds.

    Raises:
        SettingError: A value is missing or invalid.
    """
    values = _Values(text)
    domains = values.with_prefix('zones.')
    failure_domain = values.text('zone')
    if failure_domain not in domains:
        raise errors.SettingError(
            f'zone={failure_domain!r} is not among '
            f'{", ".join(sorted(domains))}',
            step='settings',
        )
    bounds = values.pairs('bounds')
    ip = _parse_ip(values.text('ip'), 'ip')
    caller_ip, caller_port = values.address('listen.front')
    store_ip, store_port = values.address('provider.address')
    first_port = values.text('port_range').partition(',')[0]
    me = model.HostEntry(
        name=values.text('node'),
        incarnation=incarnation,
        failure_domain=failure_domain,
        region=domains[failure_domain],
        caller_address=f'{caller_ip}:{caller_port}',
        ip=ip,
        peer_port=_parse_port(first_port, 'port_range'),
        weight=values.number('limits.cpu_share', 1.0)
        * values.number('limits.cores', DEFAULT_CORES),
    )
    gateway = host_settings.Settings(
        me=me,
        domains=domains,
        peer_ip=ip,
        grace_s=bounds.get('grace_s', 6.0),
        config_s=bounds.get('config_s', 2.0),
        memory_bytes=_memory_bytes(values),
        max_descriptors=int(values.number('limits.max_fds', 0.0)),
        contracts=frozenset(values.items('contracts')),
        bounds=bounds,
        admits_by_urgency='urgency' in values.items('admission'),
        crossing=_crossing(values, domains),
        dead_s=bounds.get('contact_s', 3.0) + STALE_ADDRESS_S,
        limits=_fleet_limits(bounds),
    )
    return NodeSettings(
        gateway,
        store_ip,
        store_port,
        values.address('listen.directory'),
        values.address('listen.readiness'),
    )


def _fleet_limits(bounds: dict[str, float]) -> host_settings.FleetLimits:
    """Returns the limits that hold for all hosts together."""
    return host_settings.FleetLimits(
        retry_ratio=bounds.get('retry_budget_ratio', 0.2),
        retry_slack=bounds.get('retry_slack', 0.0),
        retry_window_s=bounds.get('budget_window_s', 10.0),
        warmup_overage=bounds.get('warmup_overage', 1.0),
        warmup_slack=bounds.get('warmup_slack', 0.0),
        probes_per_s=bounds.get('probes_per_s', 60.0),
    )


def _memory_bytes(values: '_Values') -> float:
    """Returns the memory of this host in bytes."""
    memory_mb = values.number('limits.memory_mb', 0.0)
    if memory_mb <= 0:
        return host_settings.DEFAULT_MEMORY_BYTES
    return memory_mb * 1e6


def _crossing(
    values: '_Values', domains: dict[str, str]
) -> crossings.Worth | None:
    """Returns the worth of a crossing between failure domains.

    It is None unless the setting is on and there are several failure domains.
    """
    default = crossings.Worth()
    worth = crossings.Worth(
        values.duration_s('crossing_worth_ms', default.domain_s),
        values.duration_s('region_crossing_worth_ms', default.region_s),
    )
    mode = values.choice('crossing', ('off', 'on'))
    return worth if mode == 'on' and len(domains) > 1 else None


class _Values:
    """Values by name, parsed from lines of the form `name=value`."""

    def __init__(self, text: str) -> None:
        self._values: dict[str, str] = {}
        for line in text.splitlines():
            name, separator, value = line.partition('=')
            if separator:
                self._values[name.strip()] = value.strip()

    def text(self, name: str) -> str:
        """Returns a required value."""
        value = self._values.get(name, '')
        if not value:
            raise errors.SettingError(f'{name} is missing', step='settings')
        return value

    def number(self, name: str, default: float) -> float:
        """Returns a number, or the default if it is not set."""
        value = self._values.get(name, '')
        if not value:
            return default
        try:
            return float(value)
        except ValueError as exc:
            raise errors.SettingError(
                f'{name}={value!r} is not a number', step='settings'
            ) from exc

    def duration_s(self, name: str, default_s: float) -> float:
        """Returns a duration that is set in milliseconds, in seconds."""
        duration_s = self.number(name, default_s * 1000) / 1000
        if not 0 <= duration_s < float('inf'):
            raise errors.SettingError(
                f'{name} needs 0 or more milliseconds', step='settings'
            )
        return duration_s

    def choice(self, name: str, allowed: tuple[str, ...]) -> str:
        """Returns one of the allowed values, the first if it is not set."""
        value = self._values.get(name, '') or allowed[0]
        if value not in allowed:
            raise errors.SettingError(
                f'{name}={value!r} is not among {", ".join(allowed)}',
                step='settings',
            )
        return value

    def address(self, name: str) -> tuple[str, int]:
        """Returns a required `IP:port` value."""
        value = self.text(name)
        ip, _, port = value.rpartition(':')
        return _parse_ip(ip, name), _parse_port(port, name)

    def with_prefix(self, prefix: str) -> dict[str, str]:
        """Returns the values whose names start with a prefix, without it."""
        return {
            name[len(prefix) :]: value
            for name, value in self._values.items()
            if name.startswith(prefix)
        }

    def items(self, name: str) -> list[str]:
        """Returns the items of a list."""
        items = self._values.get(name, '').split(',')
        return [item.strip() for item in items if item.strip()]

    def pairs(self, name: str) -> dict[str, float]:
        """Returns the `name=number` pairs of a list; skips other items."""
        pairs = {}
        for item in self._values.get(name, '').split(','):
            key, _, value = item.partition('=')
            try:
                pairs[key.strip()] = float(value)
            except ValueError:
                continue
        return pairs


def _parse_ip(text: str, name: str) -> str:
    try:
        ipaddress.IPv4Address(text)
    except ValueError as exc:
        raise errors.SettingError(
            f'{name} needs an IPv4 address, not {text!r}', step='settings'
        ) from exc
    return text


def _parse_port(text: str, name: str) -> int:
    if not text.isdecimal() or not 0 < int(text) < 65536:
        raise errors.SettingError(
            f'{name} needs a port from 1 to 65535, not {text!r}',
            step='settings',
        )
    return int(text)
