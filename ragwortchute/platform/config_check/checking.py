"""Checks a configuration, and compares it with the one in force."""

import functools
import importlib
import pathlib
import pkgutil

import msgspec

from ragwortchute import errors
from ragwortchute.gateway import host_settings
from ragwortchute.platform import config_check
from ragwortchute.platform.config_check import differences as differences_
from ragwortchute.platform.config_check import findings as findings_
from ragwortchute.platform.config_check import reading
from ragwortchute.platform.config_check import redaction
from ragwortchute.platform.config_check import rules

# Modules of the package whose names end like this register rules.
_RULES_SUFFIX = '_rules'


class Report(msgspec.Struct, frozen=True):
    """Result of a check.

    Attributes:
        findings: Findings, errors first.
        differences: Differences from the configuration in force; None if it
            was not given or could not be compared.
        not_compared: Why it could not be compared, empty if it was or was not
            given.
    """

    findings: tuple[findings_.Finding, ...]
    differences: differences_.Differences | None = None
    not_compared: str = ''

    def count(self, severity: findings_.Severity) -> int:
        """Returns the number of findings of a severity."""
        return sum(item.severity is severity for item in self.findings)


def check(
    path: pathlib.Path,
    in_force: pathlib.Path | None = None,
    memory_bytes: float = host_settings.DEFAULT_MEMORY_BYTES,
) -> Report:
    """Checks the configuration in a file.

    Args:
        path: The file.
        in_force: File of the configuration in force, to compare with.
        memory_bytes: Memory of a host.

    Raises:
        SettingError: A file can't be read or holds no configuration.
    """
    source = reading.read(path)
    old = None if in_force is None else reading.read(in_force)
    if old is not None and old.cfg is None:
        raise errors.SettingError(
            f'{in_force} is rejected by hosts, so that nothing can be compared '
            'with it; check it by itself first',
            step='read',
        )
    keys = source.keys if old is None else source.keys | old.keys
    redactor = redaction.Redactor(keys)
    found = list(source.findings)
    differences = None
    not_compared = ''
    if source.cfg is not None:
        _import_rules()
        context = rules.Context(
            source.entries, source.cfg, memory_bytes, redactor
        )
        for name in rules.REGISTRY.names():
            found += rules.REGISTRY.get(name).apply(context)
        if old is not None:
            differences = differences_.compare(old, source, redactor)
    elif old is not None:
        not_compared = f'hosts reject {path}'
    # The order of one severity stays that of the rules.
    found.sort(key=lambda item: item.severity is findings_.Severity.WARNING)
    return Report(tuple(found), differences, not_compared)


@functools.cache
def _import_rules() -> None:
    for module in pkgutil.iter_modules(config_check.__path__):
        if module.name.endswith(_RULES_SUFFIX):
            importlib.import_module(f'{config_check.__name__}.{module.name}')
