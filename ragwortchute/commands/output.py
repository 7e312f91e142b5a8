"""Prints results as tables or JSON."""

from collections import abc
import datetime
import enum
from typing import Any

import msgspec
import typer

_GAP = '  '


class Output(enum.StrEnum):
    """Forms of the output."""

    TABLE = 'table'
    JSON = 'json'


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    buf = msgspec.json.encode(value, order='deterministic')
    typer.echo(msgspec.json.format(buf, indent=2).decode())


def print_rows(
    rows: abc.Sequence[abc.Mapping[str, Any]],
    columns: abc.Sequence[str] = (),
) -> None:
    """Prints rows as a table; columns are by default all keys."""
    names = list(columns)
    if not names:
        names = list(dict.fromkeys(key for row in rows for key in row))
    lines = [
        [name.upper().replace('_', '-') for name in names],
        *([cell(row.get(name)) for name in names] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        shown = _GAP.join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        )
        typer.echo(shown.rstrip())


def print_value(value: Any, form: Output) -> None:
    """Prints the JSON answer of a host, whatever its form.

    An object is printed as one line per key, followed by a table for each
    list of objects in it.
    """
    if form is Output.JSON:
        print_json(value)
    elif _is_table(value):
        print_rows(value)
    elif isinstance(value, dict):
        tables = {key: item for key, item in value.items() if _is_table(item)}
        width = max((len(key) for key in value), default=0)
        for key, item in value.items():
            if key not in tables:
                typer.echo(f'{key.ljust(width)}{_GAP}{cell(item)}')
        for key, item in tables.items():
            typer.echo(f'\n{key}:')
            print_rows(item)
    else:
        typer.echo(cell(value))


def cell(value: Any) -> str:
    """Returns a value as one line without control characters."""
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:g}'
    if isinstance(value, dict | list | tuple):
        text = msgspec.json.encode(value).decode()
    else:
        text = str(value)
    return ''.join(c if c.isprintable() else '?' for c in text)


def time_text(wall_s: float) -> str:
    """Returns wall-clock seconds as UTC text; `-` for 0."""
    if not wall_s:
        return '-'
    moment = datetime.datetime.fromtimestamp(wall_s, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%SZ')


def _is_table(value: Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(item, dict) for item in value)
    )
