"""Entry point of `ragwortchuted`, the daemon of an entry host."""

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

_EXIT_INVALID_SETTINGS = 2
_EXIT_START_FAILED = 1


def main() -> None:
    """Parses the command line and runs the daemon."""
    _command()


def _add_setting_options(command: Any) -> Any:
    for setting in reversed(config.SETTINGS):
        unit = f' [{setting.unit}]' if setting.unit else ''
        option = click.option(
            setting.flag,
            setting.name,
            default=None,
            help=f'{setting.help}{unit}; {setting.variable}',
        )
        command = option(command)
    return command


@click.command(context_settings={'show_default': False})
@_add_setting_options
def _command(**flags: str | None) -> None:
    """Runs an entry host until it receives SIGTERM or SIGINT."""
    try:
        cfg = config.from_environment(flags)
    except errors.SettingError as exc:
        click.echo(f'ragwortchuted: {exc}', err=True)
        sys.exit(_EXIT_INVALID_SETTINGS)
    # absl buffers log lines until its own flags are parsed.
    absl_flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(cfg.log_level)
    sys.exit(uvloop.run(_run(cfg)))


async def _run(cfg: config.Settings) -> int:
    """Runs the host until a signal arrives; returns the exit code."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    try:
        host = application.EntryHost(cfg)
        await host.start()
        serving.freeze_startup_objects()
    except (errors.RagwortchuteError, OSError) as exc:
        logging.error('host: start failed, cause=%s', exc)
        return _EXIT_START_FAILED
    await stop_requested.wait()
    await host.stop()
    return 0


if __name__ == '__main__':
    main()
