"""Prints results as tables or as JSON."""

from collections import abc
import datetime
import enum
from typing import Any

import msgspec
import typer

_COLUMN_SEPARATOR = '  '


class OutputFormat(enum.StrEnum):
    """Formats of the output."""

    TABLE = 'table'
    JSON = 'json'


def print_json(value: Any) -> None:
    """Prints a value as indented JSON with sorted keys."""
    buf = msgspec.json.encode(value, order='deterministic')
    typer.echo(msgspec.json.format(buf, indent=2).decode())


def print_rows(
    rows: abc.Sequence[abc.Mapping[str, Any]],
    columns: abc.Sequence[str] = (),
) -> None:
    """Prints rows as a table.

    Args:
        rows: Values by column name.
        columns: Names of the columns; by default all keys of the rows.
    """
    names = list(columns)
    if not names:
        names = list(dict.fromkeys(key for row in rows for key in row))
    lines = [
        [name.upper().replace('_', '-') for name in names],
        *([format_cell(row.get(name)) for name in names] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        text_line = _COLUMN_SEPARATOR.join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        )
        typer.echo(text_line.rstrip())


def print_value(value: Any, output_format: OutputFormat) -> None:
    """Prints a decoded JSON answer of a host.

    As a table, an object is printed with one line per key, followed by one
    table for each list of objects in it.
    """
    if output_format is OutputFormat.JSON:
        print_json(value)
    elif _is_table(value):
        print_rows(value)
    elif isinstance(value, dict):
        tables = {key: item for key, item in value.items() if _is_table(item)}
        width = max((len(key) for key in value), default=0)
        for key, item in value.items():
            if key not in tables:
                typer.echo(
                    f'{key.ljust(width)}{_COLUMN_SEPARATOR}{format_cell(item)}'
                )
        for key, item in tables.items():
            typer.echo(f'\n{key}:')
            print_rows(item)
    else:
        typer.echo(format_cell(value))


def format_cell(value: Any) -> str:
    """Returns a value as a line of text without control characters."""
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


def format_time(wall_s: float) -> str:
    """Formats a time in UTC; `-` for 0.

    Args:
        wall_s: Seconds since the Unix epoch.
    """
    if not wall_s:
        return '-'
    time = datetime.datetime.fromtimestamp(wall_s, datetime.UTC)
    return time.strftime('%Y-%m-%d %H:%M:%SZ')


def _is_table(value: Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(item, dict) for item in value)
    )
