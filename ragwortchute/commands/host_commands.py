"""Commands on entry hosts: status, failure domains, targets, dump."""

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
_WAIT_S = 30.0
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


@exits.handled
def status(
    operator_url: options.OperatorUrls = [],  # noqa: B006 - typer copies it
    operator_token: options.OperatorToken = '',
    wait: Annotated[
        list[str],
        typer.Option(
            metavar='NAME=VERSION',
            help='Wait until this version of a document, or a later one, is '
            'in force on every host given; may be repeated.',
        ),
    ] = [],  # noqa: B006
    timeout_s: options.TimeoutS = _WAIT_S,
    form: options.Form = output.Output.TABLE,
) -> None:
    """Shows the state of entry hosts."""
    wanted = [waiting.parse_wanted(text) for text in wait]
    if not operator_url:
        raise _no_url()

    async def run() -> tuple[bool, list[waiting.HostState]]:
        async with contextlib.AsyncExitStack() as stack:
            clients = [
                await stack.enter_async_context(
                    operator_client.OperatorClient(url, operator_token)
                )
                for url in operator_url
            ]
            if not wanted:
                return True, await waiting.ask(clients)
            return await waiting.wait(
                clients,
                wanted,
                clock_=clock.SystemClock(),
                timeout_s=timeout_s,
                progress=lambda line: typer.echo(line, err=True),
            )

    done, states = asyncio.run(run())
    _print_states(states, form)
    others = waiting.not_asked(states)
    if others:
        typer.echo(
            f'note: not asked, but in the view: {", ".join(others)}', err=True
        )
    if not done:
        raise exits.stop(
            exits.ExitCode.TIMEOUT,
            f'error: not in force on every host after {timeout_s:g} s',
        )
    if any(state.refused for state in states):
        raise exits.stop(exits.ExitCode.REFUSED)
    if any(state.status is None for state in states):
        raise exits.stop(exits.ExitCode.UNAVAILABLE)


@domain_app.command('out')
@exits.handled
def domain_out(
    failure_domain: Domain,
    operator_url: options.OperatorUrl = '',
    operator_token: options.OperatorToken = '',
    form: options.Form = output.Output.TABLE,
) -> None:
    """Takes a failure domain out; works while the store is down."""
    _order(failure_domain, 'out', operator_url, operator_token, form)


@domain_app.command('in')
@exits.handled
def domain_in(
    failure_domain: Domain,
    operator_url: options.OperatorUrl = '',
    operator_token: options.OperatorToken = '',
    form: options.Form = output.Output.TABLE,
) -> None:
    """Takes a failure domain in again; needs the store."""
    _order(failure_domain, 'in', operator_url, operator_token, form)


@domain_app.command('list')
@exits.handled
def domain_list(
    operator_url: options.OperatorUrl = '',
    operator_token: options.OperatorToken = '',
    form: options.Form = output.Output.TABLE,
) -> None:
    """Lists the failure domains as one host sees them."""
    found = _with_client(
        operator_url, operator_token, lambda client: client.status()
    )
    rows = [
        {
            'failure_domain': name,
            'state': domain.state,
            'damped_until': domain.damped_until
            if form is output.Output.JSON
            else output.time_text(domain.damped_until),
        }
        for name, domain in sorted(found.domains.items())
    ]
    if form is output.Output.JSON:
        output.print_json(rows)
    else:
        output.print_rows(rows, ('failure_domain', 'state', 'damped_until'))


@exits.handled
def targets(
    service: Annotated[
        str, typer.Option(help='Only the targets of this service.')
    ] = '',
    operator_url: options.OperatorUrl = '',
    operator_token: options.OperatorToken = '',
    form: options.Form = output.Output.TABLE,
) -> None:
    """Shows the targets as one host sees them."""
    query = {'service': service} if service else None
    _show('/targets', query, operator_url, operator_token, form)


@exits.handled
def explain(
    service: Annotated[str, typer.Argument(help='Name of the service.')],
    method: Annotated[str, typer.Argument(help='HTTP method.')],
    path: Annotated[str, typer.Argument(help='Path with a leading slash.')],
    tenant: Annotated[str, typer.Option(help='Tenant of the call.')] = '',
    operator_url: options.OperatorUrl = '',
    operator_token: options.OperatorToken = '',
    form: options.Form = output.Output.TABLE,
) -> None:
    """Shows what one host would do with a call, without running it."""
    query = {
        'service': service,
        'method': method.upper(),
        'path': path,
        'tenant': tenant,
    }
    _show('/explain', query, operator_url, operator_token, form)


@exits.handled
def dump(
    operator_url: options.OperatorUrl = '',
    operator_token: options.OperatorToken = '',
) -> None:
    """Prints the whole state of one host as JSON."""
    _show('/dump', None, operator_url, operator_token, output.Output.JSON)


def _show(
    path: str,
    query: abc.Mapping[str, str] | None,
    url: str,
    token: str,
    form: output.Output,
) -> None:
    found = _with_client(url, token, lambda client: client.get(path, query))
    output.print_value(found, form)


def _order(
    failure_domain: str,
    state: str,
    url: str,
    token: str,
    form: output.Output,
) -> None:
    answer = _with_client(
        url, token, lambda client: client.order(failure_domain, state)
    )
    if form is output.Output.JSON:
        output.print_json(answer)
        return
    typer.echo(f'order accepted: {failure_domain} {state}')
    if answer:
        output.print_value(answer, form)


def _with_client(
    url: str,
    token: str,
    run: abc.Callable[[operator_client.OperatorClient], abc.Awaitable[Any]],
) -> Any:
    if not url:
        raise _no_url()

    async def body() -> Any:
        async with operator_client.OperatorClient(url, token) as client:
            return await run(client)

    return asyncio.run(body())


def _print_states(states: list[waiting.HostState], form: output.Output) -> None:
    if form is output.Output.JSON:
        output.print_json(states)
        return
    output.print_rows([_row(state) for state in states], _STATUS_COLUMNS)
    for state in states:
        if state.status is None:
            typer.echo(f'error: {state.url}: {state.error}', err=True)


def _row(state: waiting.HostState) -> dict[str, Any]:
    if state.status is None:
        ready = 'refused' if state.refused else 'no answer'
        return {'host': state.url, 'ready': ready}
    found = state.status
    view = found.view
    held = sorted(found.documents.items())
    return {
        'host': found.host,
        'region': found.region,
        'failure_domain': found.failure_domain,
        'ready': found.ready,
        'leaving': found.leaving,
        'epoch': view.epoch if view else None,
        'leader': view.leader if view else None,
        'members': len(view.members) if view else 0,
        'documents': ' '.join(f'{name}={doc.version}' for name, doc in held),
        'out': ' '.join(
            name
            for name, domain in sorted(found.domains.items())
            if domain.state == 'out'
        ),
    }


def _no_url() -> errors.SettingError:
    return errors.SettingError(
        'no entry host; give --operator-url or RAGWORTCHUTE_OPERATOR_URL',
        step='command line',
    )
