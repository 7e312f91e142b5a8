"""The daemon of an entry host, `ragwortchuted`."""

import asyncio
import signal
import sys
from typing import Any

from absl import flags as absl_flags
from absl import logging
import click
import uvloop

from ragwortchute import application
from ragwortchute import config
from ragwortchute import errors
from ragwortchute import serving

_EXIT_SETTINGS = 2
_EXIT_START = 1


def main() -> None:
    """Runs the daemon; the entry point of the program."""
    _command()


def _options(function: Any) -> Any:
    for setting in reversed(config.SETTINGS):
        unit = f' [{setting.unit}]' if setting.unit else ''
        option = click.option(
            setting.flag,
            setting.name,
            default=None,
            help=f'{setting.help}{unit}; {setting.variable}',
        )
        function = option(function)
    return function


@click.command(context_settings={'show_default': False})
@_options
def _command(**flags: str | None) -> None:
    """Runs an entry host until it gets SIGTERM or SIGINT."""
    try:
        cfg = config.from_environment(flags)
    except errors.SettingError as exc:
        click.echo(f'ragwortchuted: {exc}', err=True)
        sys.exit(_EXIT_SETTINGS)
    # absl holds logs back until its own flags are parsed.
    absl_flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(cfg.log_level)
    sys.exit(uvloop.run(_run(cfg)))


async def _run(cfg: config.Settings) -> int:
    """Runs the host; returns the exit code."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    try:
        host = application.EntryHost(cfg)
        await host.start()
        serving.settle_memory()
    except (errors.RagwortchuteError, OSError) as exc:
        logging.error('host: not started, cause=%s', exc)
        return _EXIT_START
    await stop.wait()
    await host.stop()
    return 0


if __name__ == '__main__':
    main()
