"""Commands that query and control entry hosts through their operators' API."""

import asyncio
from collections import abc
import contextlib
from typing import Annotated
from typing import Any

import typer

from ragwortchute import clock
from ragwortchute import errors
from ragwortchute.commands import exits
from ragwortchute.commands import operator_client
from ragwortchute.commands import options
from ragwortchute.commands import output
from ragwortchute.commands import waiting

domain_app = typer.Typer(help='Takes failure domains out and in.')

Domain = Annotated[str, typer.Argument(help='Name of the failure domain.')]
_DEFAULT_WAIT_S = 30.0
_STATUS_COLUMNS = (
    'host',
    'region',
    'failure_domain',
    'ready',
    'leaving',
    'epoch',
    'leader',
    'members',
    'documents',
    'out',
)


@exits.handle_errors
def status(
    operator_url: options.OperatorUrls = [],  # noqa: B006 - typer copies the default
    operator_token: options.OperatorToken = '',
    wait: Annotated[
        list[str],
        typer.Option(
            metavar='NAME=VERSION',
            help='Wait until this version of a document, or a later one, is '
            'in force on every host given; may be repeated.',
        ),
    ] = [],  # noqa: B006
    timeout_s: options.TimeoutS = _DEFAULT_WAIT_S,
    output_format: options.OutputFormat = output.OutputFormat.TABLE,
) -> None:
    """Shows the state of entry hosts."""
    wanted = [waiting.parse_wanted_version(text) for text in wait]
    if not operator_url:
        raise _missing_url_error()

    async def run() -> tuple[bool, list[waiting.HostState]]:
        async with contextlib.AsyncExitStack() as stack:
            clients = [
                await stack.enter_async_context(
                    operator_client.OperatorClient(url, operator_token)
                )
                for url in operator_url
            ]
            if not wanted:
                return True, await waiting.query_hosts(clients)
            return await waiting.wait(
                clients,
                wanted,
                clock_=clock.SystemClock(),
                timeout_s=timeout_s,
                progress=lambda line: typer.echo(line, err=True),
            )

    in_force, states = asyncio.run(run())
    _print_host_states(states, output_format)
    unqueried = waiting.unqueried_members(states)
    if unqueried:
        typer.echo(
            f'note: not asked, but in the view: {", ".join(unqueried)}',
            err=True,
        )
    if not in_force:
        raise exits.make_exit(
            exits.ExitCode.TIMEOUT,
            f'error: not in force on every host after {timeout_s:g} s',
        )
    if any(state.refused for state in states):
        raise exits.make_exit(exits.ExitCode.REFUSED)
    if any(state.status is None for state in states):
        raise exits.make_exit(exits.ExitCode.UNAVAILABLE)


@domain_app.command('out')
@exits.handle_errors
def domain_out(
    failure_domain: Domain,
    operator_url: options.OperatorUrl = '',
    operator_token: options.OperatorToken = '',
    output_format: options.OutputFormat = output.OutputFormat.TABLE,
) -> None:
    """Takes a failure domain out of service, even if the store is down."""
    _order(failure_domain, 'out', operator_url, operator_token, output_format)


@domain_app.command('in')
@exits.handle_errors
def domain_in(
    failure_domain: Domain,
    operator_url: options.OperatorUrl = '',
    operator_token: options.OperatorToken = '',
    output_format: options.OutputFormat = output.OutputFormat.TABLE,
) -> None:
    """Returns a failure domain to service; needs the store."""
    _order(failure_domain, 'in', operator_url, operator_token, output_format)


@domain_app.command('list')
@exits.handle_errors
def domain_list(
    operator_url: options.OperatorUrl = '',
    operator_token: options.OperatorToken = '',
    output_format: options.OutputFormat = output.OutputFormat.TABLE,
) -> None:
    """Lists the failure domains and their states on one host."""
    found = _run_with_client(
        operator_url, operator_token, lambda client: client.status()
    )
    rows = [
        {
            'failure_domain': name,
            'state': domain.state,
            'damped_until': domain.damped_until
            if output_format is output.OutputFormat.JSON
            else output.format_time(domain.damped_until),
        }
        for name, domain in sorted(found.domains.items())
    ]
    if output_format is output.OutputFormat.JSON:
        output.print_json(rows)
    else:
        output.print_rows(rows, ('failure_domain', 'state', 'damped_until'))


@exits.handle_errors
def targets(
    service: Annotated[
        str, typer.Option(help='Only the targets of this service.')
    ] = '',
    operator_url: options.OperatorUrl = '',
    operator_token: options.OperatorToken = '',
    output_format: options.OutputFormat = output.OutputFormat.TABLE,
) -> None:
    """Shows the targets and their states on one host."""
    query = {'service': service} if service else None
    _query_and_print(
        '/targets', query, operator_url, operator_token, output_format
    )


@exits.handle_errors
def explain(
    service: Annotated[str, typer.Argument(help='Name of the service.')],
    method: Annotated[str, typer.Argument(help='HTTP method.')],
    path: Annotated[str, typer.Argument(help='Path with a leading slash.')],
    tenant: Annotated[str, typer.Option(help='Tenant of the call.')] = '',
    operator_url: options.OperatorUrl = '',
    operator_token: options.OperatorToken = '',
    output_format: options.OutputFormat = output.OutputFormat.TABLE,
) -> None:
    """Shows how one host would handle a call, without running it."""
    query = {
        'service': service,
        'method': method.upper(),
        'path': path,
        'tenant': tenant,
    }
    _query_and_print(
        '/explain', query, operator_url, operator_token, output_format
    )


@exits.handle_errors
def dump(
    operator_url: options.OperatorUrl = '',
    operator_token: options.OperatorToken = '',
) -> None:
    """Prints the whole state of one host as JSON."""
    _query_and_print(
        '/dump', None, operator_url, operator_token, output.OutputFormat.JSON
    )


def _query_and_print(
    path: str,
    query: abc.Mapping[str, str] | None,
    url: str,
    token: str,
    output_format: output.OutputFormat,
) -> None:
    found = _run_with_client(url, token, lambda client: client.get(path, query))
    output.print_value(found, output_format)


def _order(
    failure_domain: str,
    state: str,
    url: str,
    token: str,
    output_format: output.OutputFormat,
) -> None:
    answer = _run_with_client(
        url, token, lambda client: client.order(failure_domain, state)
    )
    if output_format is output.OutputFormat.JSON:
        output.print_json(answer)
        return
    typer.echo(f'order accepted: {failure_domain} {state}')
    if answer:
        output.print_value(answer, output_format)


def _run_with_client(
    url: str,
    token: str,
    run: abc.Callable[[operator_client.OperatorClient], abc.Awaitable[Any]],
) -> Any:
    if not url:
        raise _missing_url_error()

    async def body() -> Any:
        async with operator_client.OperatorClient(url, token) as client:
            return await run(client)

    return asyncio.run(body())


def _print_host_states(
    states: list[waiting.HostState], output_format: output.OutputFormat
) -> None:
    if output_format is output.OutputFormat.JSON:
        output.print_json(states)
        return
    output.print_rows([_status_row(state) for state in states], _STATUS_COLUMNS)
    for state in states:
        if state.status is None:
            typer.echo(f'error: {state.url}: {state.error}', err=True)


def _status_row(state: waiting.HostState) -> dict[str, Any]:
    if state.status is None:
        ready = 'refused' if state.refused else 'no answer'
        return {'host': state.url, 'ready': ready}
    found = state.status
    view = found.view
    versions = sorted(found.documents.items())
    return {
        'host': found.host,
        'region': found.region,
        'failure_domain': found.failure_domain,
        'ready': found.ready,
        'leaving': found.leaving,
        'epoch': view.epoch if view else None,
        'leader': view.leader if view else None,
        'members': len(view.members) if view else 0,
        'documents': ' '.join(
            f'{name}={doc.version}' for name, doc in versions
        ),
        'out': ' '.join(
            name
            for name, domain in sorted(found.domains.items())
            if domain.state == 'out'
        ),
    }


def _missing_url_error() -> errors.SettingError:
    return errors.SettingError(
        'no entry host given; use --operator-url or RAGWORTCHUTE_OPERATOR_URL',
        step='command line',
    )
