"""Shows values of a configuration without the keys of organisations.

A key may stand anywhere in a faulty file: in a field of another type, as the
name of a field, or in the name of an organisation. Values that contain one are
hidden; fields that the gateway does not know are never shown.
"""

from collections import abc
from typing import Any

from ragwortchute.platform.config_check import field_errors

HIDDEN = '[hidden]'
# A shorter key is only looked for as a whole text: it would occur in many
# values that have nothing to do with it.
MIN_PART_CHARS = 6
_MAX_SHOWN_CHARS = 80
# Parts of the names of unknown fields that are taken to hold keys.
_KEY_WORDS = ('key', 'secret', 'token', 'credential')


class Redactor:
    """Hides values that contain a key.

    Args:
        keys: All keys, including those in fields of a wrong type.
    """

    __slots__ = ('_keys', '_part_lengths')

    def __init__(self, keys: abc.Iterable[str] = ()) -> None:
        # The gateway converts host names to lower case, keys in them as well.
        self._keys = {key.casefold() for key in keys if key}
        lengths = {len(key) for key in self._keys}
        self._part_lengths = sorted(n for n in lengths if n >= MIN_PART_CHARS)

    def hides(self, text: str) -> bool:
        """Returns whether a text is or contains a key."""
        folded = text.casefold()
        return folded in self._keys or any(
            folded[start : start + length] in self._keys
            for length in self._part_lengths
            for start in range(len(folded) - length + 1)
        )

    def clean(self, value: Any) -> Any:
        """Returns a value for JSON, with texts that contain a key hidden."""
        if isinstance(value, str):
            return HIDDEN if self.hides(value) else value
        if isinstance(value, list):
            return [self.clean(item) for item in value]
        if isinstance(value, bool) or value is None:
            return value
        digits = format_number(value)
        is_key = len(digits) >= MIN_PART_CHARS and self.hides(digits)
        return HIDDEN if is_key else value

    def show(self, value: Any) -> str:
        """Returns a value for a message: quoted, escaped and shortened."""
        cleaned = self.clean(value)
        if cleaned == HIDDEN:
            return HIDDEN
        if isinstance(value, float):
            return format_number(value)
        text = repr(cleaned)
        if len(text) <= _MAX_SHOWN_CHARS:
            return text
        return f'{text[:_MAX_SHOWN_CHARS]}...'


def find_keys(tree: Any, tenant_type: Any) -> set[str]:
    """Returns all texts of a configuration that may be keys.

    Args:
        tree: Decoded configuration of any shape, numbers as texts.
        tenant_type: Type of the entry of an organisation.
    """
    found: set[str] = set()
    tenants = tree.get('tenants') if isinstance(tree, dict) else None
    for tenant in tenants if isinstance(tenants, list) else [tenants]:
        if not isinstance(tenant, dict):
            found.update(_texts(tenant))
            continue
        for name, value in tenant.items():
            if _may_hold_keys(name, tenant_type):
                found.update(_texts(value))
    return found


def _may_hold_keys(name: str, tenant_type: Any) -> bool:
    if name == 'api_keys':
        return True
    if name in field_errors.fields_of(tenant_type):
        return False
    return (
        any(word in name.lower() for word in _KEY_WORDS)
        or field_errors.closest_field(name, tenant_type) == 'api_keys'
    )


def _texts(value: Any) -> abc.Iterator[str]:
    """Yields all texts of a value, names of fields included.

    A faulty value may be nested more deeply than functions can call themselves.
    """
    pending = [value]
    while pending:
        item = pending.pop()
        if isinstance(item, str):
            yield item
        elif isinstance(item, list):
            pending += item
        elif isinstance(item, dict):
            pending += [*item, *item.values()]


def format_number(value: float) -> str:
    """Returns a number as digits, without those that say nothing."""
    return str(int(value)) if value == int(value) else str(value)
