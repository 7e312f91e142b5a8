"""Computes readable differences between two documents."""

from collections import abc
from typing import Any

import msgspec

from ragwortchute.documents import loading

# Set by each write, so they don't describe a change of the content.
_WRITER_FIELDS = frozenset({'author', 'change_id'})
_MAX_VALUE_CHARS = 200


class Change(msgspec.Struct, frozen=True):
    """One difference.

    Attributes:
        path: Path of the value. Entries of a list are denoted by their names
            if they have names, such as `targets[wash-till-3].slots`.
        old: Old value as compact JSON; empty if it did not exist.
        new: New value as compact JSON; empty if it was removed.
    """

    path: str
    old: str
    new: str

    def __str__(self) -> str:
        if not self.old:
            return f'+ {self.path}: {_truncate(self.new)}'
        if not self.new:
            return f'- {self.path}: {_truncate(self.old)}'
        return f'~ {self.path}: {_truncate(self.old)} -> {_truncate(self.new)}'


def diff(
    old: loading.Document | None, new: loading.Document | None
) -> tuple[Change, ...]:
    """Returns the differences between two versions of a document.

    The fields that each write sets (`change_id`, `author`) are ignored.

    Args:
        old: Old version; None if there is none.
        new: New version; None if there is none.
    """
    before = msgspec.to_builtins(old) if old is not None else {}
    after = msgspec.to_builtins(new) if new is not None else {}
    for field in _WRITER_FIELDS:
        before.pop(field, None)
        after.pop(field, None)
    changes: list[Change] = []
    _compare('', before, after, changes)
    return tuple(changes)


def render(changes: abc.Iterable[Change]) -> str:
    """Returns the differences as text, one per line."""
    return '\n'.join(str(change) for change in changes)


def _compare(path: str, old: Any, new: Any, changes: list[Change]) -> None:
    if type(old) is type(new) and old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        _compare_mappings(path, old, new, changes)
    elif _are_named_entries(old) and _are_named_entries(new):
        _compare_named(path, old, new, changes)
    else:
        changes.append(Change(path, _to_json(old), _to_json(new)))


def _compare_mappings(
    path: str,
    old: dict[str, Any],
    new: dict[str, Any],
    changes: list[Change],
) -> None:
    for key in [*old, *(key for key in new if key not in old)]:
        item_path = f'{path}.{key}' if path else key
        _compare_key(item_path, key, old, new, changes)


def _compare_named(
    path: str,
    old: list[dict[str, Any]],
    new: list[dict[str, Any]],
    changes: list[Change],
) -> None:
    before = {item['name']: item for item in old}
    after = {item['name']: item for item in new}
    for key in [*before, *(key for key in after if key not in before)]:
        _compare_key(f'{path}[{key}]', key, before, after, changes)
    # The order matters: the first route that matches applies.
    kept_before = [key for key in before if key in after]
    kept_after = [key for key in after if key in before]
    if kept_before != kept_after:
        changes.append(
            Change(
                f'{path} (order)', _to_json(kept_before), _to_json(kept_after)
            )
        )


def _compare_key(
    item_path: str,
    key: str,
    old: dict[str, Any],
    new: dict[str, Any],
    changes: list[Change],
) -> None:
    if key not in new:
        changes.append(Change(item_path, _to_json(old[key]), ''))
    elif key not in old:
        changes.append(Change(item_path, '', _to_json(new[key])))
    else:
        _compare(item_path, old[key], new[key], changes)


def _are_named_entries(items: Any) -> bool:
    return isinstance(items, list | tuple) and all(
        isinstance(item, dict) and 'name' in item for item in items
    )


def _to_json(value: Any) -> str:
    return msgspec.json.encode(value, order='deterministic').decode()


def _truncate(text: str) -> str:
    if len(text) <= _MAX_VALUE_CHARS:
        return text
    return f'{text[:_MAX_VALUE_CHARS]}...'
