"""Commands for hosts on the platform: settings files and logs."""

import json
import pathlib
from typing import Annotated

import typer

from ragwortchute import errors
from ragwortchute.commands import exits
from ragwortchute.platform import settings

app = typer.Typer(help='Checks hosts on the platform.', no_args_is_help=True)


@app.command()
@exits.handle_errors
def check(
    file: Annotated[pathlib.Path, typer.Argument(help='Settings file.')],
) -> None:
    """Parses a settings file as a host does and prints the result."""
    try:
        text = file.read_text(encoding='utf-8')
    except OSError as exc:
        raise errors.SettingError(str(exc), step='read') from exc
    node = settings.parse(text, 0)
    me = node.gateway.me
    typer.echo(f'host            {me.name}')
    typer.echo(f'failure domain  {me.failure_domain} in {me.region}')
    typer.echo(f'callers         {me.caller_address}')
    typer.echo(f'hosts           {me.ip}:{me.peer_port}')
    typer.echo(f'store           {node.store_ip}:{node.store_port}')


@exits.handle_errors
def trace(
    request_id: Annotated[str, typer.Argument(help='Id of the request.')],
    files: Annotated[list[pathlib.Path], typer.Argument(help='Log files.')],
) -> None:
    """Prints the log lines of one request in chronological order."""
    lines: list[tuple[float, str]] = []
    for file in files:
        try:
            text = file.read_text(encoding='utf-8', errors='replace')
        except OSError as exc:
            raise errors.SettingError(str(exc), step='read') from exc
        lines += find_request_lines(text, request_id)
    if not lines:
        typer.echo(f'no log line of request {request_id!r}', err=True)
        raise typer.Exit(exits.ExitCode.NEGATIVE)
    for _, line in sorted(lines):
        typer.echo(line)


def find_request_lines(text: str, request_id: str) -> list[tuple[float, str]]:
    """Returns the times and log lines of one request.

    Args:
        text: Log of one or more hosts; text before the JSON of a line is
            removed.
        request_id: Id of the request.
    """
    found = []
    for line in text.splitlines():
        start = line.find('{"t":')
        if start < 0 or request_id not in line:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            # The last line of a log may be truncated.
            continue
        if fields.get('id') == request_id:
            found.append((float(fields['t']), line[start:]))
    return found
