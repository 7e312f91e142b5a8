"""Entry point of `ragwortchute`, the command-line tool."""

from typing import Annotated

import typer

import ragwortchute
from ragwortchute.commands import call_commands
from ragwortchute.commands import config_commands
from ragwortchute.commands import document_commands
from ragwortchute.commands import exits
from ragwortchute.commands import host_commands
from ragwortchute.commands import node_commands

app = typer.Typer(
    name='ragwortchute',
    no_args_is_help=True,
    pretty_exceptions_show_locals=False,  # locals include the bearer token
    epilog=exits.epilog(),
)
app.add_typer(document_commands.app, name='doc')
app.add_typer(host_commands.domain_app, name='domain')
app.add_typer(call_commands.app, name='calls')
app.add_typer(node_commands.app, name='node')
app.add_typer(config_commands.app, name='config')
app.command()(node_commands.trace)
app.command()(host_commands.status)
app.command()(host_commands.targets)
app.command()(host_commands.explain)
app.command()(host_commands.dump)


def _print_version(requested: bool) -> None:
    if requested:
        typer.echo(ragwortchute.__version__)
        raise typer.Exit


@app.callback()
def global_options(
    version: Annotated[
        bool,
        typer.Option(
            '--version', callback=_print_version, help='Print the version.'
        ),
    ] = False,
) -> None:
    """Operates a ragwortchute deployment."""


def main() -> None:
    """Parses the command line and runs the command."""
    app()


if __name__ == '__main__':
    main()
