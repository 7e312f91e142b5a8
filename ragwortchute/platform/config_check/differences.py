"""Differences between two configurations, by the names of the file.

Keys of organisations are only counted. Entries are told apart by their names,
and of several with the same name by their order.
"""

import collections
from collections import abc
from typing import Any

import msgspec

from ragwortchute.platform.config_check import reading
from ragwortchute.platform.config_check import redaction

_KEYS = 'api_keys'
_SPLIT = 'traffic_split'
# Fields of a new entry that tell an operator which one it is.
_SUMMARY_FIELDS = ('hostname', 'path_prefix', 'service', _SPLIT, 'rate_per_s')


class FieldChange(msgspec.Struct, frozen=True):
    """A field with another value.

    Attributes:
        field: Name of the field.
        old: Old value, None if there was none.
        new: New value, None if there is none.
    """

    field: str
    old: Any
    new: Any


class EntryChange(msgspec.Struct, frozen=True, omit_defaults=True):
    """An entry with other values.

    Attributes:
        name: Name of the entry.
        fields: Changed fields, keys excepted.
        keys_added: Number of keys that are new.
        keys_removed: Number of keys that are gone.
    """

    name: str
    fields: tuple[FieldChange, ...] = ()
    keys_added: int = 0
    keys_removed: int = 0


class Entry(msgspec.Struct, frozen=True, omit_defaults=True):
    """An entry that was added or removed.

    Attributes:
        name: Name of the entry.
        fields: Its most important fields.
        keys: Number of its keys, None if it is no organisation.
    """

    name: str
    fields: dict[str, Any] = {}
    keys: int | None = None


class Section(msgspec.Struct, frozen=True):
    """Differences of the entries of one kind.

    Attributes:
        added: Entries that are new.
        removed: Entries that are gone.
        changed: Entries with other values.
    """

    added: tuple[Entry, ...] = ()
    removed: tuple[Entry, ...] = ()
    changed: tuple[EntryChange, ...] = ()


class Differences(msgspec.Struct, frozen=True):
    """Differences between two configurations.

    Attributes:
        fields: Changes outside the lists, such as `limits.max_body_bytes`.
        routes: Routes.
        services: Services.
        tenants: Organisations.
    """

    fields: tuple[FieldChange, ...]
    routes: Section
    services: Section
    tenants: Section

    def sections(self) -> dict[str, Section]:
        """Returns the lists by their names in the file."""
        return {
            'routes': self.routes,
            'services': self.services,
            'tenants': self.tenants,
        }


def compare(
    old: reading.Source, new: reading.Source, redactor: redaction.Redactor
) -> Differences:
    """Returns the differences between two configurations.

    Args:
        old: The configuration in force.
        new: The configuration that was checked.
        redactor: Hides the keys of both.
    """
    before, after = old.entries, new.entries
    comparison = _Comparison(redactor)
    return Differences(
        comparison.top_fields(before, after),
        comparison.section(before.routes, after.routes),
        comparison.section(before.services, after.services),
        comparison.section(before.tenants or (), after.tenants or ()),
    )


class _Comparison:
    """Compares entries and hides keys in what it returns.

    Args:
        redactor: Hides keys.
    """

    __slots__ = ('_clean',)

    def __init__(self, redactor: redaction.Redactor) -> None:
        self._clean = redactor.clean

    def top_fields(self, old: Any, new: Any) -> tuple[FieldChange, ...]:
        """Returns the changes outside the lists."""
        before, after = _top_values(old), _top_values(new)
        return self._field_changes(before, after)

    def section(
        self, old: abc.Iterable[Any], new: abc.Iterable[Any]
    ) -> Section:
        """Returns the differences of the entries of one kind."""
        before, after = _by_name(old), _by_name(new)
        changed = (
            self._entry_change(before[key], after[key])
            for key in after
            if key in before and before[key] != after[key]
        )
        return Section(
            tuple(self._entry(after[k]) for k in after if k not in before),
            tuple(self._entry(before[k]) for k in before if k not in after),
            tuple(change for change in changed if change is not None),
        )

    def _entry(self, entry: Any) -> Entry:
        values = _values(entry)
        return Entry(
            self._clean(entry.name),
            {
                self._clean(name): self._clean(values[name])
                for name in values
                if values[name] and name.startswith(_SUMMARY_FIELDS)
            },
            len(set(entry.api_keys)) if hasattr(entry, _KEYS) else None,
        )

    def _entry_change(self, old: Any, new: Any) -> EntryChange | None:
        """Returns how an entry changed, None if only the order of keys did."""
        old_keys = set(getattr(old, _KEYS, ()))
        new_keys = set(getattr(new, _KEYS, ()))
        change = EntryChange(
            self._clean(new.name),
            self._field_changes(_values(old), _values(new)),
            len(new_keys - old_keys),
            len(old_keys - new_keys),
        )
        empty = EntryChange(change.name)
        return None if change == empty else change

    def _field_changes(
        self, old: dict[str, Any], new: dict[str, Any]
    ) -> tuple[FieldChange, ...]:
        return tuple(
            FieldChange(
                self._clean(name),
                self._clean(old.get(name)),
                self._clean(new.get(name)),
            )
            for name in dict.fromkeys([*old, *new])
            if old.get(name) != new.get(name)
        )


def _top_values(entries: Any) -> dict[str, Any]:
    values = {'config_version': entries.config_version}
    # Callers need a key if and only if there is a list, also an empty one.
    values['tenants'] = 'absent' if entries.tenants is None else 'present'
    for name, value in msgspec.structs.asdict(entries.limits).items():
        values[f'limits.{name}'] = value
    return values


def _values(entry: Any) -> dict[str, Any]:
    """Returns the fields of an entry, without its name and keys."""
    values = msgspec.structs.asdict(entry)
    values.pop('name')
    values.pop(_KEYS, None)
    for part in values.pop(_SPLIT, ()):
        field = f'{_SPLIT}[{part.service}].weight'
        values[field] = values.get(field, 0.0) + part.weight
    return values


def _by_name(entries: abc.Iterable[Any]) -> dict[tuple[str, int], Any]:
    """Returns entries by name and by how many of that name came before."""
    counts: collections.Counter[str] = collections.Counter()
    found = {}
    for entry in entries:
        found[entry.name, counts[entry.name]] = entry
        counts[entry.name] += 1
    return found
