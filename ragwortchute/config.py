"""Declares the settings and reads their values."""

from collections import abc
import dataclasses
import difflib
import ipaddress
import os
from typing import Any

from ragwortchute import errors

ENV_PREFIX = 'RAGWORTCHUTE_'


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """Declaration of one setting.

    Attributes:
        name: Name in lower case with underscores.
        default: Default value; its type is the type of the setting. None
            makes the setting mandatory and its type `str`.
        unit: Unit of the value, or an empty string.
        help: Help text of one line.
        check: Name of a validator in `_CHECKS`.
        secret: Whether the value is left out of dumps and logs.
    """

    name: str
    default: str | int | float | bool | None
    unit: str
    help: str
    check: str = ''
    secret: bool = False

    @property
    def flag(self) -> str:
        """The command-line flag."""
        return '--' + self.name.replace('_', '-')

    @property
    def variable(self) -> str:
        """The environment variable."""
        return ENV_PREFIX + self.name.upper()


SETTINGS = (
    Setting('host', None, '', 'name of this entry host', 'name'),
    Setting('region', None, '', 'region of this host', 'name'),
    Setting('failure_domain', None, '', 'failure domain of this host', 'name'),
    Setting('caller_address', '127.0.0.1:8400', '', 'listener for callers',
            'address'),
    Setting('operator_address', '127.0.0.1:8401', '',
            'listener for operators', 'address'),
    Setting('peer_address', '127.0.0.1:8402', '', 'listener for peers',
            'address'),
    Setting('peer_listen_address', '', '',
            'listener for peers, if it differs from the address that peers '
            'use', 'optional_address'),
    Setting('caller_url', '', '',
            'base URL for callers, if it differs from the listener'),
    Setting('store', 'http', '', 'registered store client'),
    Setting('store_url', '', '', 'base URL of the object API'),
    Setting('seed_hosts', '', '',
            'peers to ask when the store is down: name=IP:port,...', 'seeds'),
    Setting('deployment_key', None, '',
            'secret for peer frames and origin tokens', 'key', secret=True),
    Setting('operator_token', None, '', 'bearer token of operators', 'key',
            secret=True),
    Setting('codec', 'capnp', '', 'registered codec of peer messages'),
    Setting('log_level', 'info', '', 'debug, info, warning or error',
            'log_level'),
    Setting('access_log', False, '', 'write a structured line per call'),
    Setting('heartbeat_interval_s', 1.0, 's', 'time between heartbeats',
            'positive'),
    Setting('suspect_s', 3.0, 's', 'silence after which a peer is suspected',
            'positive'),
    Setting('lease_s', 3.0, 's', 'term of a lease', 'positive'),
    Setting('address_lifetime_ms', 5000, 'ms',
            'how long callers keep an address answer', 'positive'),
    Setting('token_lifetime_s', 120.0, 's', 'life of an origin token',
            'positive'),
    Setting('max_head_bytes', 16384, 'bytes', 'largest request head',
            'positive'),
    Setting('max_body_bytes', 1048576, 'bytes', 'largest request body',
            'positive'),
    Setting('max_answer_bytes', 8388608, 'bytes', 'largest answer body',
            'positive'),
    Setting('record_bytes', 16777216, 'bytes',
            'memory for the request record', 'positive'),
    Setting('max_calls', 2000, '', 'calls at once on this host', 'positive'),
    Setting('loan_ms', 1000, 'ms', 'term of lent slots', 'positive'),
    Setting('hedge_percent', 5.0, '%', 'hedges per 100 calls', 'percent'),
    Setting('retry_percent', 10.0, '%', 'retries per 100 calls', 'percent'),
    Setting('stop_s', 30.0, 's', 'longest planned stop', 'positive'),
    Setting('seed', 0, '', 'seed of random choices; 0 draws one'),
)  # fmt: skip

_BY_NAME = {setting.name: setting for setting in SETTINGS}
_MIN_KEY_CHARS = 16


class Settings:
    """Validated, immutable values of all settings, as attributes.

    Args:
        values: Values by name; the others take their defaults.

    Raises:
        SettingError: A setting is missing, unknown or invalid.
    """

    __slots__ = tuple(_BY_NAME)

    def __init__(self, **values: Any) -> None:
        for name in values:
            if name not in _BY_NAME:
                raise _unknown_setting_error(name)
        for setting in SETTINGS:
            raw = values.get(setting.name, setting.default)
            object.__setattr__(self, setting.name, _convert(setting, raw))

    def __setattr__(self, name: str, value: object) -> None:
        raise AttributeError('settings are immutable')

    def dump(self) -> dict[str, object]:
        """Returns all values that are not secret."""
        return {
            setting.name: getattr(self, setting.name)
            for setting in SETTINGS
            if not setting.secret
        }


def from_environment(
    flags: abc.Mapping[str, Any], environ: abc.Mapping[str, str] = os.environ
) -> Settings:
    """Reads the settings from flags and environment variables.

    A flag takes precedence over a variable, and a variable over the default.

    Args:
        flags: Values of flags by setting name; None if not given.
        environ: Environment variables.

    Raises:
        SettingError: A setting is missing, unknown or invalid.
    """
    values: dict[str, Any] = {}
    for variable, value in environ.items():
        if not variable.startswith(ENV_PREFIX):
            continue
        name = variable.removeprefix(ENV_PREFIX).lower()
        if name not in _BY_NAME:
            raise _unknown_setting_error(name, variable)
        values[name] = value
    values.update({k: v for k, v in flags.items() if v is not None})
    return Settings(**values)


def parse_address(text: str) -> tuple[str, int]:
    """Parses `IP:port`; an IPv6 address stands in brackets.

    Raises:
        ValueError: The text does not have this form.
    """
    ip, _, port = text.rpartition(':')
    ipaddress.ip_address(ip.strip('[]'))
    number = int(port)
    if not 0 <= number < 65536:
        raise ValueError(f'port {number} is not between 0 and 65535')
    return ip.strip('[]'), number


def parse_seeds(text: str) -> dict[str, str]:
    """Parses `name=IP:port,...` into peer addresses by host name.

    Raises:
        ValueError: The text does not have this form.
    """
    seeds: dict[str, str] = {}
    for item in filter(None, text.split(',')):
        name, separator, address = item.partition('=')
        if not name or not separator:
            raise ValueError(f'{item!r} is not name=IP:port')
        parse_address(address)
        seeds[name] = address
    return seeds


def _convert(setting: Setting, raw: Any) -> Any:
    if raw is None:
        raise errors.SettingError(
            f'setting {setting.name!r} is missing; give {setting.flag} or '
            f'{setting.variable}: {setting.help}',
            step='settings',
        )
    kind = str if setting.default is None else type(setting.default)
    try:
        value = _parse_bool(raw) if kind is bool else kind(raw)
        _CHECKS[setting.check](value)
    except ValueError as exc:
        shown = '(secret)' if setting.secret else repr(raw)
        raise errors.SettingError(
            f'setting {setting.name!r} has value {shown}: {exc}',
            step='settings',
        ) from exc
    return value


def _parse_bool(raw: Any) -> bool:
    if isinstance(raw, bool):
        return raw
    text = str(raw).lower()
    if text in ('1', 'true', 'yes', 'on'):
        return True
    if text in ('0', 'false', 'no', 'off', ''):
        return False
    raise ValueError('allowed are true and false')


def _unknown_setting_error(name: str, shown: str = '') -> errors.SettingError:
    matches = difflib.get_close_matches(name, _BY_NAME, n=1)
    hint = f'; did you mean {matches[0]!r}?' if matches else ''
    return errors.SettingError(
        f'unknown setting {shown or name!r}{hint}', step='settings'
    )


def _check_name(value: str) -> None:
    if not value or not value.replace('-', '').replace('_', '').isalnum():
        raise ValueError('allowed are letters, digits, hyphen, underscore')


def _check_optional_address(value: str) -> None:
    if value:
        parse_address(value)


def _check_positive(value: float) -> None:
    if not 0 < value < float('inf'):
        raise ValueError('must be a finite number above 0')


def _check_percent(value: float) -> None:
    if not 0 <= value <= 100:
        raise ValueError('must be between 0 and 100')


def _check_key(value: str) -> None:
    if len(value) < _MIN_KEY_CHARS:
        raise ValueError(f'must have at least {_MIN_KEY_CHARS} characters')


def _check_log_level(value: str) -> None:
    if value not in ('debug', 'info', 'warning', 'error'):
        raise ValueError('allowed are debug, info, warning and error')


_CHECKS: dict[str, abc.Callable[[Any], object]] = {
    '': lambda value: None,
    'name': _check_name,
    'address': parse_address,
    'optional_address': _check_optional_address,
    'seeds': parse_seeds,
    'positive': _check_positive,
    'percent': _check_percent,
    'key': _check_key,
    'log_level': _check_log_level,
}
