"""Commands that send calls: `ragwortchute calls ...`."""

import asyncio
import pathlib
import sys
from typing import Annotated

import msgspec
from returns import result
import typer

from ragwortchute import calls
from ragwortchute import config
from ragwortchute import errors
from ragwortchute.client import caller
from ragwortchute.commands import exits
from ragwortchute.commands import options
from ragwortchute.commands import output

app = typer.Typer(help='Sends calls through the entry hosts.')

_EXIT_CODES = {
    calls.Outcome.NOT_RUN: exits.ExitCode.NEGATIVE,
    calls.Outcome.UNKNOWN: exits.ExitCode.UNKNOWN,
    calls.Outcome.RAN: exits.ExitCode.REFUSED,
}


def make_client(urls: list[str], organisation: str) -> caller.CallerClient:
    """Returns a client for callers."""
    return caller.CallerClient(urls, organisation=organisation)


@app.callback()
def group() -> None:
    """Sends calls through the entry hosts."""


@app.command()
@exits.handle_errors
def send(
    service: Annotated[str, typer.Argument(help='Name of the service.')],
    method: Annotated[str, typer.Argument(help='HTTP method.')],
    path: Annotated[str, typer.Argument(help='Path with a leading slash.')],
    caller_url: Annotated[
        list[str],
        typer.Option(
            envvar=f'{config.ENV_PREFIX}CALLER_URLS',
            help="Base URL of an entry host's listener for callers; repeat "
            'it for several hosts.',
        ),
    ] = [],  # noqa: B006 - typer copies the default
    body: Annotated[
        str, typer.Option(help='Body; @FILE reads a file, @- standard input.')
    ] = '',
    header: Annotated[
        list[str], typer.Option(help='Header as NAME: VALUE; repeatable.')
    ] = [],  # noqa: B006
    tenant: Annotated[str, typer.Option(help='Tenant of the call.')] = '',
    idempotent: Annotated[
        bool,
        typer.Option(
            '--idempotent', help='The request may run more than once.'
        ),
    ] = False,
    key: Annotated[
        str, typer.Option(help='New idempotency key; drawn by default.')
    ] = '',
    timeout_s: options.TimeoutS = 2.0,
    output_format: options.OutputFormat = output.OutputFormat.TABLE,
) -> None:
    """Sends one call and prints the response or the refusal."""
    if not caller_url:
        raise errors.SettingError(
            'no entry host given; use --caller-url or RAGWORTCHUTE_CALLER_URLS',
            step='command line',
        )
    content = _read_body(body)
    headers = [_parse_header(text) for text in header]

    async def run() -> result.Result[calls.Answer, calls.Refusal]:
        client = make_client(caller_url, tenant)
        try:
            return await client.call(
                service,
                method.upper(),
                path,
                body=content,
                headers=headers,
                timeout_s=timeout_s,
                idempotent=idempotent,
                key=key,
            )
        finally:
            await client.close()

    outcome = asyncio.run(run())
    if isinstance(outcome, result.Failure):
        refusal = outcome.failure()
        output.print_value(msgspec.to_builtins(refusal), output_format)
        raise exits.make_exit(_EXIT_CODES[refusal.outcome])
    _print_answer(outcome.unwrap(), output_format)


def _print_answer(
    answer: calls.Answer, output_format: output.OutputFormat
) -> None:
    text = answer.body.decode(errors='replace')
    if output_format is output.OutputFormat.JSON:
        output.print_json(
            {
                'status': answer.status,
                'target': answer.target,
                'headers': answer.headers,
                'body': text,
            }
        )
        return
    typer.echo(f'status {answer.status}')
    for name, value in answer.headers:
        typer.echo(f'{output.format_cell(name)}: {output.format_cell(value)}')
    typer.echo(f'\n{text}')


def _read_body(text: str) -> bytes:
    if text == '@-':
        return sys.stdin.buffer.read()
    if not text.startswith('@'):
        return text.encode()
    try:
        return pathlib.Path(text[1:]).read_bytes()
    except OSError as exc:
        raise errors.SettingError(str(exc), step='body') from exc


def _parse_header(text: str) -> tuple[str, str]:
    name, separator, value = text.partition(':')
    if not name.strip() or not separator:
        raise errors.SettingError(
            f'{text!r} is not NAME: VALUE', step='command line'
        )
    return name.strip().lower(), value.strip()
