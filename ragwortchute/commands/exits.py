"""Exit codes of the tool and their mapping from errors."""

from collections import abc
import enum
import functools
from typing import Any

import typer

from ragwortchute import errors


class ExitCode(enum.IntEnum):
    """Exit codes; 2 is also the one of the command-line parser."""

    OK = 0
    NEGATIVE = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    TIMEOUT = 6
    REFUSED = 7
    WARNINGS = 8


DESCRIPTIONS = {
    ExitCode.OK: 'done',
    ExitCode.NEGATIVE: (
        'document or configuration invalid, documents differ, call not run'
    ),
    ExitCode.USAGE: 'wrong use of the command line, or unreadable file',
    ExitCode.CONFLICT: 'somebody else changed the document; nothing written',
    ExitCode.UNAVAILABLE: 'store or host not reachable; nothing changed',
    ExitCode.UNKNOWN: 'no answer; the change or call may have taken effect',
    ExitCode.TIMEOUT: '--wait ended before the version was in force',
    ExitCode.REFUSED: 'the host or store refused the request',
    ExitCode.WARNINGS: 'the configuration has warnings, but no errors',
}


def epilog() -> str:
    """Returns the description of the exit codes for the help text."""
    descriptions = '; '.join(f'{c.value} {DESCRIPTIONS[c]}' for c in ExitCode)
    return f'Exit codes: {descriptions}.'


def exit_code_of(exc: errors.RagwortchuteError) -> ExitCode:
    """Returns the exit code for an error."""
    if isinstance(exc, errors.StoreUnavailable):
        return ExitCode.UNKNOWN if exc.maybe_applied else ExitCode.UNAVAILABLE
    if isinstance(exc, errors.PeerUnreachable):
        return ExitCode.UNAVAILABLE
    if isinstance(exc, errors.PeerTimeout):
        return ExitCode.UNKNOWN
    if isinstance(exc, errors.DocumentError):
        return ExitCode.NEGATIVE
    if isinstance(exc, errors.SettingError):
        return ExitCode.USAGE
    return ExitCode.REFUSED


def handle_errors(command: abc.Callable[..., None]) -> abc.Callable[..., None]:
    """Decorates a command to print errors and exit with their code."""

    @functools.wraps(command)
    def run(*args: Any, **kwargs: Any) -> None:
        try:
            command(*args, **kwargs)
        except errors.RagwortchuteError as exc:
            typer.echo(f'error: {exc}', err=True)
            code = exit_code_of(exc)
            if code in (ExitCode.UNKNOWN, ExitCode.UNAVAILABLE):
                typer.echo(f'result: {DESCRIPTIONS[code]}', err=True)
            raise typer.Exit(code) from exc

    return run


def make_exit(code: ExitCode, message: str = '') -> typer.Exit:
    """Prints a message to stderr and returns the exception to raise."""
    if message:
        typer.echo(message, err=True)
    return typer.Exit(code)
