"""Readable differences of two documents."""

from collections import abc
from typing import Any

import msgspec

from ragwortchute.documents import loading

# Set by each write, so they tell nothing about the content.
_WRITER_FIELDS = frozenset({'author', 'change_id'})
_SHOWN_CHARS = 200


class Change(msgspec.Struct, frozen=True):
    """One difference.

    Attributes:
        path: Where; entries of lists with names are given by their name,
            such as `targets[wash-till-3].slots`.
        old: Value before, as compact JSON; empty if it did not exist.
        new: Value after, as compact JSON; empty if it was removed.
    """

    path: str
    old: str
    new: str

    def __str__(self) -> str:
        if not self.old:
            return f'+ {self.path}: {_cut(self.new)}'
        if not self.new:
            return f'- {self.path}: {_cut(self.old)}'
        return f'~ {self.path}: {_cut(self.old)} -> {_cut(self.new)}'


def diff(
    old: loading.Document | None, new: loading.Document | None
) -> tuple[Change, ...]:
    """Returns the differences of two versions of a document.

    The fields that each write sets (`change_id`, `author`) are left out.
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
    """Returns one line per difference."""
    return '\n'.join(str(change) for change in changes)


def _compare(path: str, old: Any, new: Any, changes: list[Change]) -> None:
    if type(old) is type(new) and old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        _compare_mappings(path, old, new, changes)
    elif _named(old) and _named(new):
        _compare_named(path, old, new, changes)
    else:
        changes.append(Change(path, _json(old), _json(new)))


def _compare_mappings(
    path: str,
    old: dict[str, Any],
    new: dict[str, Any],
    changes: list[Change],
) -> None:
    for key in [*old, *(key for key in new if key not in old)]:
        where = f'{path}.{key}' if path else key
        _compare_entries(where, key, old, new, changes)


def _compare_named(
    path: str,
    old: list[dict[str, Any]],
    new: list[dict[str, Any]],
    changes: list[Change],
) -> None:
    before = {item['name']: item for item in old}
    after = {item['name']: item for item in new}
    for key in [*before, *(key for key in after if key not in before)]:
        _compare_entries(f'{path}[{key}]', key, before, after, changes)
    # The order of routes decides which one matches.
    kept_before = [key for key in before if key in after]
    kept_after = [key for key in after if key in before]
    if kept_before != kept_after:
        changes.append(
            Change(f'{path} (order)', _json(kept_before), _json(kept_after))
        )


def _compare_entries(
    where: str,
    key: str,
    old: dict[str, Any],
    new: dict[str, Any],
    changes: list[Change],
) -> None:
    if key not in new:
        changes.append(Change(where, _json(old[key]), ''))
    elif key not in old:
        changes.append(Change(where, '', _json(new[key])))
    else:
        _compare(where, old[key], new[key], changes)


def _named(items: Any) -> bool:
    return isinstance(items, list | tuple) and all(
        isinstance(item, dict) and 'name' in item for item in items
    )


def _json(value: Any) -> str:
    return msgspec.json.encode(value, order='deterministic').decode()


def _cut(text: str) -> str:
    if len(text) <= _SHOWN_CHARS:
        return text
    return f'{text[:_SHOWN_CHARS]}...'
