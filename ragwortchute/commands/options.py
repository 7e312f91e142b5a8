"""Types of the options that several commands share."""

import pathlib
from typing import Annotated

import typer

from ragwortchute import config
from ragwortchute.commands import output

OutputFormat = Annotated[
    output.OutputFormat,
    typer.Option(
        '--output', envvar=f'{config.ENV_PREFIX}OUTPUT', help='Output format.'
    ),
]
StoreUrl = Annotated[
    str,
    typer.Option(
        envvar=f'{config.ENV_PREFIX}STORE_URL',
        help='Base URL of the object API.',
    ),
]
Author = Annotated[
    str,
    typer.Option(
        envvar=f'{config.ENV_PREFIX}AUTHOR',
        help='Name kept with the change; the login name by default.',
    ),
]
OperatorUrl = Annotated[
    str,
    typer.Option(
        envvar=f'{config.ENV_PREFIX}OPERATOR_URL',
        help="Base URL of an entry host's listener for operators.",
    ),
]
OperatorUrls = Annotated[
    list[str],
    typer.Option(
        '--operator-url',
        envvar=f'{config.ENV_PREFIX}OPERATOR_URL',
        help='Listener for operators; repeat it for several hosts. The '
        'variable takes several URLs with spaces between them.',
    ),
]
OperatorToken = Annotated[
    str,
    typer.Option(
        envvar=f'{config.ENV_PREFIX}OPERATOR_TOKEN',
        help='Bearer token; the variable keeps it out of process lists.',
    ),
]
TimeoutS = Annotated[
    float, typer.Option(min=0.0, help='Longest wait in seconds.')
]
DocumentFile = Annotated[
    pathlib.Path,
    typer.Argument(
        help='File in YAML, or JSON if it ends in .json; - is standard input.',
    ),
]
