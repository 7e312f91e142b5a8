"""Renders the result of a check as text for people."""

import collections
from collections import abc
import json
from typing import Any

from ragwortchute.platform.config_check import checking
from ragwortchute.platform.config_check import differences as differences_
from ragwortchute.platform.config_check import findings
from ragwortchute.platform.config_check import redaction

# Findings of one rule that are shown one by one.
MAX_SHOWN_PER_RULE = 20


def render(report: checking.Report) -> abc.Iterator[str]:
    """Yields the lines of a report."""
    yield from _render_findings(report.findings)
    if report.differences is not None:
        yield from _render_differences(report.differences)
    if report.not_compared:
        yield f'not compared with the version in force: {report.not_compared}'
    error_count = report.count(findings.Severity.ERROR)
    warning_count = report.count(findings.Severity.WARNING)
    if report.findings:
        yield f'{error_count} errors, {warning_count} warnings'
    else:
        yield 'no findings'


def _render_findings(
    found: abc.Iterable[findings.Finding],
) -> abc.Iterator[str]:
    counts: collections.Counter[str] = collections.Counter()
    for item in found:
        counts[item.rule] += 1
        if counts[item.rule] > MAX_SHOWN_PER_RULE:
            continue
        path = item.path or '(whole file)'
        allowed = f'; allowed: {item.allowed}' if item.allowed else ''
        yield (
            f'{item.severity.value}: {path}: {item.message}{allowed} '
            f'[{item.rule}]'
        )
    for rule, count in counts.items():
        if count > MAX_SHOWN_PER_RULE:
            yield (
                f'... {count - MAX_SHOWN_PER_RULE} more of [{rule}]; '
                '--output json shows all'
            )


def _render_differences(
    differences: differences_.Differences,
) -> abc.Iterator[str]:
    lines = [f'  ~ {_render_change(item)}' for item in differences.fields]
    for name, section in differences.sections().items():
        rows = list(_render_section(section))
        if rows:
            lines += [f'  {name}:', *rows]
    if not lines:
        yield 'no differences from the version in force'
        return
    yield 'differences from the version in force:'
    yield from lines


def _render_section(section: differences_.Section) -> abc.Iterator[str]:
    for sign, entries in (('+', section.added), ('-', section.removed)):
        for entry in entries:
            details = [f'{k} {_text(v)}' for k, v in entry.fields.items()]
            if entry.keys is not None:
                details.append(f'{entry.keys} keys')
            yield f'    {sign} {_text(entry.name)}: {", ".join(details)}'
    for change in section.changed:
        yield f'    ~ {_text(change.name)}:'
        for item in change.fields:
            yield f'        {_render_change(item)}'
        if change.keys_added or change.keys_removed:
            yield (
                f'        api_keys: {change.keys_added} added, '
                f'{change.keys_removed} removed'
            )


def _render_change(change: differences_.FieldChange) -> str:
    return f'{change.field}: {_text(change.old)} -> {_text(change.new)}'


def _text(value: Any) -> str:
    """Returns a value on one line, without control characters."""
    if value is None:
        return 'none'
    if isinstance(value, float):
        return redaction.format_number(value)
    if isinstance(value, str):
        text = value
    else:
        text = json.dumps(value, ensure_ascii=False)
    return ''.join(c if c.isprintable() else '?' for c in text)
