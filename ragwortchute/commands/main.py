"""Entry point of the tool `ragwortchute`."""

from typing import Annotated

import typer

import ragwortchute
from ragwortchute.commands import call_commands
from ragwortchute.commands import document_commands
from ragwortchute.commands import exits
from ragwortchute.commands import host_commands
from ragwortchute.commands import node_commands

app = typer.Typer(
    name='ragwortchute',
    no_args_is_help=True,
    pretty_exceptions_show_locals=False,  # they would show the bearer token
    epilog=exits.epilog(),
)
app.add_typer(document_commands.app, name='doc')
app.add_typer(host_commands.domain_app, name='domain')
app.add_typer(call_commands.app, name='calls')
app.add_typer(node_commands.app, name='node')
app.command()(node_commands.trace)
app.command()(host_commands.status)
app.command()(host_commands.targets)
app.command()(host_commands.explain)
app.command()(host_commands.dump)


def _print_version(wanted: bool) -> None:
    if wanted:
        typer.echo(ragwortchute.__version__)
        raise typer.Exit


@app.callback()
def options_of_all(
    version: Annotated[
        bool,
        typer.Option(
            '--version', callback=_print_version, help='Print the version.'
        ),
    ] = False,
) -> None:
    """Operates a ragwortchute deployment."""


def main() -> None:
    """Runs the tool."""
    app()


if __name__ == '__main__':
    main()
