"""Registry of the rules that the check of a configuration applies.

A rule is a function that yields faults. Its decorator gives it an identifier,
which findings name, and a severity.
"""

from collections import abc
from typing import Any

import msgspec

from ragwortchute import registry
from ragwortchute.gateway import model
from ragwortchute.gateway import routing
from ragwortchute.gateway.organisations import key_index
from ragwortchute.gateway.resources import limits as host_limits
from ragwortchute.platform.config_check import findings
from ragwortchute.platform.config_check import redaction

_MAX_LISTED = 5


class Context:
    """A configuration that the gateway can decode, as rules need it.

    Args:
        entries: Entries by the names of the file.
        cfg: What the gateway makes of them.
        memory_bytes: Memory of a host.
        redactor: Hides keys.

    Attributes:
        entries: Entries by the names of the file.
        cfg: What the gateway makes of them. Its routes have the order of the
            file.
        table: Index of its routes, as in the gateway.
        keys: Index of its keys, as in the gateway.
        host_limits: Limits of a host with this memory.
        memory_bytes: Memory of a host.
        redactor: Hides keys.
        show: Returns a value for a message.
    """

    __slots__ = (
        'cfg',
        'entries',
        'host_limits',
        'keys',
        'memory_bytes',
        'redactor',
        'show',
        'table',
    )

    def __init__(
        self,
        entries: Any,
        cfg: model.Configuration,
        memory_bytes: float,
        redactor: redaction.Redactor,
    ) -> None:
        self.entries = entries
        self.cfg = cfg
        self.table = routing.RouteTable(cfg.routes)
        self.keys = key_index.KeyIndex(cfg.organisations)
        self.host_limits = host_limits.derive(memory_bytes, 0)
        self.memory_bytes = memory_bytes
        self.redactor = redactor
        self.show = redactor.show

    def routes(self) -> abc.Iterator[tuple[str, Any, model.Route]]:
        """Yields path, entry and decoded form of each route."""
        pairs = zip(self.entries.routes, self.cfg.routes, strict=True)
        for index, (entry, route) in enumerate(pairs):
            yield f'routes[{index}]', entry, route

    def organisations(
        self,
    ) -> abc.Iterator[tuple[str, Any, model.Organisation]]:
        """Yields path, entry and decoded form of each organisation in use.

        Of several with the same name, the last is in use.
        """
        organisations = self.cfg.organisations or {}
        last = _last_indexes(self.entries.tenants or ())
        for name, index in last.items():
            yield (
                f'tenants[{index}]',
                self.entries.tenants[index],
                organisations[name],
            )

    def replaced_entries(self, section: str) -> abc.Iterator[findings.Fault]:
        """Yields a fault for each entry that a later one replaces.

        Args:
            section: Name of the list in the file.
        """
        entries = getattr(self.entries, section) or ()
        last = _last_indexes(entries)
        for index, entry in enumerate(entries):
            if last[entry.name] != index:
                yield findings.Fault(
                    f'{section}[{index}].name',
                    f'has no effect: {section}[{last[entry.name]}] has the '
                    f'same name {self.show(entry.name)}, and the last one '
                    'applies',
                )

    def listed(self, values: abc.Collection[Any]) -> str:
        """Returns the first of several values for a message."""
        shown = [self.show(value) for value in list(values)[:_MAX_LISTED]]
        more = len(values) - len(shown)
        return ', '.join(shown) + (f' and {more} more' if more else '')


def _last_indexes(entries: abc.Iterable[Any]) -> dict[str, int]:
    """Returns the index of the last entry of each name."""
    return {entry.name: index for index, entry in enumerate(entries)}


Check = abc.Callable[[Context], abc.Iterator[findings.Fault]]


class Rule(msgspec.Struct, frozen=True):
    """A rule.

    Attributes:
        name: Identifier.
        severity: Severity of its findings.
        check: Yields the faults.
    """

    name: str
    severity: findings.Severity
    check: Check

    def apply(self, context: Context) -> abc.Iterator[findings.Finding]:
        """Yields the findings of the rule."""
        for fault in self.check(context):
            yield findings.make(self.severity, self.name, fault)


REGISTRY: registry.Registry[Rule] = registry.Registry('rule')


def error(name: str) -> abc.Callable[[Check], Check]:
    """Returns a decorator that registers a rule whose findings are errors."""
    return _register(name, findings.Severity.ERROR)


def warning(name: str) -> abc.Callable[[Check], Check]:
    """Returns a decorator that registers a rule whose findings are warnings."""
    return _register(name, findings.Severity.WARNING)


def _register(
    name: str, severity: findings.Severity
) -> abc.Callable[[Check], Check]:
    def decorate(check: Check) -> Check:
        REGISTRY.register(name)(Rule(name, severity, check))
        return check

    return decorate
