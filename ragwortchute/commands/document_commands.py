"""Commands that manage documents: `ragwortchute doc ...`."""

import asyncio
from collections import abc
import getpass
import pathlib
import sys
from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec
from returns import result
import typer
import yaml

from ragwortchute import clock
from ragwortchute import documents
from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.commands import exits
from ragwortchute.commands import options
from ragwortchute.commands import output
from ragwortchute.documents import diffing
from ragwortchute.documents import loading
from ragwortchute.documents import parsing
from ragwortchute.stores import applying
from ragwortchute.stores import http  # noqa: F401 - registers the client
from ragwortchute.stores import writing

T = TypeVar('T')

app = typer.Typer(help='Checks, shows and changes documents.')

Change = Annotated[
    str, typer.Option('--change', help='Change id of a version in the history.')
]
Replace = Annotated[
    bool,
    typer.Option(
        '--replace',
        help='Apply over any version, whatever change id the file holds.',
    ),
]
ExpectedVersion = Annotated[
    int | None,
    typer.Option(min=0, help='Version to replace; 0 if it must be new.'),
]
DryRun = Annotated[
    bool,
    typer.Option(
        '--dry-run', help='Check and show the changes; write nothing.'
    ),
]
DeploymentFile = Annotated[
    pathlib.Path | None,
    typer.Option(
        exists=True,
        dir_okay=False,
        help='Deployment document to check against; else that of the store.',
    ),
]
Name = Annotated[str, typer.Argument(help='Service, or _deployment.')]


@app.command()
@exits.handle_errors
def check(
    files: Annotated[
        list[pathlib.Path],
        typer.Argument(help='Files; - is standard input.'),
    ],
    deployment: DeploymentFile = None,
    store_url: options.StoreUrl = '',
    output_format: options.OutputFormat = output.OutputFormat.TABLE,
) -> None:
    """Checks files; without a store or --deployment against themselves."""
    known = _read_deployment(deployment, store_url)
    rows = []
    for path in files:
        text, fmt = _read_file(path)
        loaded = loading.load(text, fmt=fmt, deployment=known)
        if isinstance(loaded, result.Failure):
            rows += [
                {
                    'file': str(path),
                    'path': p.path,
                    'problem': _problem_message(p),
                }
                for p in loaded.failure()
            ]
    if output_format is output.OutputFormat.JSON:
        output.print_json({'valid': not rows, 'problems': rows})
    elif rows:
        output.print_rows(rows)
    else:
        typer.echo(f'{len(files)} valid')
    if rows:
        raise exits.make_exit(exits.ExitCode.NEGATIVE)


@app.command()
@exits.handle_errors
def get(
    name: Name,
    store_url: options.StoreUrl = '',
    change: Change = '',
    output_format: Annotated[
        parsing.Format, typer.Option('--output', help='Text format.')
    ] = parsing.Format.YAML,
) -> None:
    """Prints a document that can be edited and applied.

    The printed change id identifies the version on which the file is based. An
    earlier version, selected by --change, is printed without a change id, so
    that it can be applied again.
    """

    async def read(store: stores.Store) -> loading.Document:
        if change:
            found = await _read_change(_make_writer(store), name, change)
            return msgspec.structs.replace(found, change_id='')
        return _require_existing(await _make_writer(store).read(name), name)

    document = _run_with_store(store_url, read)
    plain = msgspec.json.decode(msgspec.json.encode(document))
    if output_format is parsing.Format.JSON:
        output.print_json(plain)
        return
    typer.echo(yaml.safe_dump(plain, sort_keys=False).rstrip())


@app.command('apply')
@exits.handle_errors
def apply_(
    file: options.DocumentFile,
    store_url: options.StoreUrl = '',
    author: options.Author = '',
    expected_version: ExpectedVersion = None,
    replace: Replace = False,
    dry_run: DryRun = False,
    output_format: options.OutputFormat = output.OutputFormat.TABLE,
) -> None:
    """Checks a file and puts it in force."""
    text, fmt = _read_file(file)
    req = applying.Request(
        text=text,
        fmt=fmt,
        author=author or _login_name(),
        expected_version=expected_version,
        replace=replace,
        dry_run=dry_run,
    )

    async def run(store: stores.Store) -> applying.Outcome:
        return await applying.apply(store, _make_writer(store), req)

    outcome = _run_with_store(store_url, run)
    if isinstance(outcome, result.Failure):
        raise _print_refusal(outcome.failure(), output_format)
    applied = outcome.unwrap()
    if output_format is output.OutputFormat.JSON:
        output.print_json(applied)
        return
    if applied.changes:
        typer.echo(diffing.render(applied.changes))
    for note in applied.notes:
        typer.echo(f'note: {note}')
    typer.echo(_summary(applied, dry_run))


@app.command()
@exits.handle_errors
def diff(
    file: options.DocumentFile,
    store_url: options.StoreUrl = '',
    change: Change = '',
    output_format: options.OutputFormat = output.OutputFormat.TABLE,
) -> None:
    """Shows what a file would change; exits with 1 if it differs.

    Compares with the version in force, or with an earlier one by --change.
    """
    text, fmt = _read_file(file)
    loaded = loading.load(text, fmt=fmt)
    if isinstance(loaded, result.Failure):
        raise _print_refusal(loaded.failure(), output_format)
    new = loaded.unwrap()
    name = loading.document_name(new)

    async def read(store: stores.Store) -> loading.Document | None:
        if change:
            return await _read_change(_make_writer(store), name, change)
        return (await _make_writer(store).read(name)).document

    changes = diffing.diff(_run_with_store(store_url, read), new)
    if output_format is output.OutputFormat.JSON:
        output.print_json(changes)
    elif changes:
        typer.echo(diffing.render(changes))
    if changes:
        raise exits.make_exit(exits.ExitCode.NEGATIVE)


@app.command()
@exits.handle_errors
def history(
    name: Name,
    store_url: options.StoreUrl = '',
    output_format: options.OutputFormat = output.OutputFormat.TABLE,
) -> None:
    """Lists the last versions of a document, newest first."""

    async def read(
        store: stores.Store,
    ) -> abc.Sequence[writing.HistoryEntry]:
        return await _make_writer(store).history(name)

    entries = _run_with_store(store_url, read)
    found = [_decode(name, entry) for entry in entries]
    rows = [
        {
            'version': entry.version,
            'change': entry.change_id,
            'author': entry.author,
            'written': output.format_time(entry.written_at),
            'changes': len(diffing.diff(older, newer)) if older else None,
        }
        for entry, newer, older in zip(
            entries, found, [*found[1:], None], strict=False
        )
    ]
    if output_format is output.OutputFormat.JSON:
        output.print_json(rows)
    else:
        output.print_rows(
            rows, ('version', 'change', 'author', 'written', 'changes')
        )


def _make_writer(store: stores.Store) -> writing.DocumentWriter:
    return writing.DocumentWriter(store, wall=clock.SystemClock().wall)


def _run_with_store(
    url: str, run: abc.Callable[[stores.Store], abc.Awaitable[T]]
) -> T:
    """Opens the store, runs a function with it and closes it.

    Raises:
        SettingError: The URL is empty.
    """
    if not url:
        raise errors.SettingError(
            'no object API given; use --store-url or RAGWORTCHUTE_STORE_URL',
            step='command line',
        )

    async def body() -> T:
        store = stores.REGISTRY.get('http')(url)
        try:
            return await run(store)
        finally:
            await store.close()

    return asyncio.run(body())


def _read_file(path: pathlib.Path) -> tuple[bytes, parsing.Format]:
    if str(path) == '-':
        return sys.stdin.buffer.read(), parsing.Format.YAML
    try:
        return path.read_bytes(), parsing.format_of(path)
    except OSError as exc:
        raise errors.SettingError(str(exc), step='read') from exc


def _read_deployment(
    path: pathlib.Path | None, store_url: str
) -> documents.DeploymentDocument | None:
    if path is not None:
        text, fmt = _read_file(path)
        loaded = loading.load(text, fmt=fmt, name=documents.DEPLOYMENT_NAME)
        if isinstance(loaded, result.Failure):
            raise loaded.failure()[0]
        document: Any = loaded.unwrap()
        return document
    if not store_url:
        return None
    return _run_with_store(
        store_url, lambda store: applying.read_deployment(_make_writer(store))
    )


async def _read_change(
    writer: writing.DocumentWriter, name: str, change: str
) -> loading.Document:
    entries = await writer.history(name)
    for entry in entries:
        if entry.change_id == change:
            return _decode(name, entry)
    known = ', '.join(entry.change_id for entry in entries) or 'none'
    raise errors.DocumentError(
        name, f'no change {change!r} in the history; known: {known}'
    )


def _decode(name: str, entry: writing.HistoryEntry) -> loading.Document:
    return writing.decode(
        stores.StoredObject(
            loading.object_name(name), entry.version, entry.value
        )
    )


def _require_existing(current: writing.Current, name: str) -> loading.Document:
    if current.document is None:
        raise errors.DocumentError(name, 'no such document in the store')
    return current.document


def _print_refusal(
    failure: loading.Problems | writing.Conflict,
    output_format: output.OutputFormat,
) -> typer.Exit:
    if isinstance(failure, writing.Conflict):
        return _print_conflict(failure, output_format)
    rows = [{'path': p.path, 'problem': _problem_message(p)} for p in failure]
    if output_format is output.OutputFormat.JSON:
        output.print_json({'valid': False, 'problems': rows})
    else:
        output.print_rows(rows)
    return exits.make_exit(exits.ExitCode.NEGATIVE)


def _print_conflict(
    conflict: writing.Conflict, output_format: output.OutputFormat
) -> typer.Exit:
    if output_format is output.OutputFormat.JSON:
        output.print_json(conflict)
    elif conflict.changes:
        typer.echo('differences from the version in force to the file:')
        typer.echo(diffing.render(conflict.changes))
    found = 'there is no version in force'
    if conflict.current is not None:
        found = (
            f'version {conflict.current_version} is in force, change '
            f'{conflict.current.change_id} by {conflict.current.author}'
        )
    if conflict.maybe_applied:
        return exits.make_exit(
            exits.ExitCode.UNKNOWN,
            f'error: {found}; an answer was lost, so this change may have '
            f'been in force before it',
        )
    return exits.make_exit(
        exits.ExitCode.CONFLICT,
        f'error: {found}, which the file is not based on; nothing was written',
    )


def _summary(applied: applying.Applied, dry_run: bool) -> str:
    shown = f'{applied.name} version {applied.version}'
    if not applied.changes:
        return f'{shown} is unchanged'
    if dry_run:
        return f'{shown} is still in force; nothing was written'
    if applied.superseded:
        return f'{shown} was written and has already been replaced'
    return (
        f'{shown} is written, change {applied.change_id}; see it arrive by '
        f'`ragwortchute status --wait {applied.name}={applied.version}`'
    )


def _problem_message(problem: errors.DocumentError) -> str:
    return problem.args[0].removeprefix(f'{problem.path}: ')


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return 'unknown'
