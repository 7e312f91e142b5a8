"""Commands for configurations: `ragwortchute config ...`."""

import pathlib
from typing import Annotated

import msgspec
import typer

from ragwortchute.commands import exits
from ragwortchute.commands import options
from ragwortchute.commands import output
from ragwortchute.gateway import host_settings
from ragwortchute.platform.config_check import checking
from ragwortchute.platform.config_check import findings
from ragwortchute.platform.config_check import rendering

_BYTES_PER_MB = 1e6
_MAX_MEMORY_MB = 1e9
_EXAMPLES = """Examples:

\b
$ ragwortchute config check main.json
$ ragwortchute config check main.json --against in-force.json
$ ragwortchute config check main.json --memory-mb 512 --json
"""

app = typer.Typer(
    help='Checks configurations of the platform.', no_args_is_help=True
)


@app.callback()
def _config() -> None:
    """Checks configurations of the platform."""


@app.command(epilog=_EXAMPLES)
@exits.handle_errors
def check(
    file: Annotated[
        pathlib.Path,
        typer.Argument(
            help='`spec` of the configuration as JSON; - is standard input.'
        ),
    ],
    against: Annotated[
        pathlib.Path | None,
        typer.Option(
            help='`spec` of the configuration in force, to show differences.'
        ),
    ] = None,
    memory_mb: Annotated[
        float,
        typer.Option(
            min=1.0,
            max=_MAX_MEMORY_MB,
            help='Memory of the smallest host, in MB of 1e6 bytes.',
        ),
    ] = host_settings.DEFAULT_MEMORY_BYTES / _BYTES_PER_MB,
    output_format: options.OutputFormat = output.OutputFormat.TABLE,
    as_json: Annotated[
        bool, typer.Option('--json', help='The same as --output json.')
    ] = False,
) -> None:
    """Checks a configuration before it is written to the store.

    Exits with 0 if there are no findings, 8 if there are only warnings, 1 if
    there are errors, and 2 if a file cannot be read. Differences do not change
    the exit code. Keys of organisations are never shown.
    """
    report = checking.check(file, against, memory_mb * _BYTES_PER_MB)
    error_count = report.count(findings.Severity.ERROR)
    warning_count = report.count(findings.Severity.WARNING)
    if as_json or output_format is output.OutputFormat.JSON:
        output.print_json(
            {
                'valid': not error_count,
                'errors': error_count,
                'warnings': warning_count,
                **msgspec.structs.asdict(report),
            }
        )
    else:
        for line in rendering.render(report):
            typer.echo(line)
    if error_count:
        raise exits.make_exit(exits.ExitCode.NEGATIVE)
    if warning_count:
        raise exits.make_exit(exits.ExitCode.WARNINGS)
