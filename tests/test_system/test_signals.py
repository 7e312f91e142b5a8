"""Signals that reach a host process while it starts."""

import asyncio
import pathlib
import signal

from benchmarks.soak import run as runs

# A library that is among the first to be imported.
LIBRARY = 'msgspec'
START_TIMEOUT_S = 5.0
HANGUPS = 300
INTERVAL_S = 0.003


def has_imported(pid):
    """Returns whether a process has begun to import its modules."""
    return LIBRARY in pathlib.Path(f'/proc/{pid}/maps').read_text()


async def until_importing(pid):
    for _ in range(int(START_TIMEOUT_S / INTERVAL_S)):
        if has_imported(pid):
            return
        await asyncio.sleep(INTERVAL_S)
    raise AssertionError('the process imports no modules')


class TestStart:
    """A process must not end by a signal that asks it to read its settings.

    Until its handler was set, SIGHUP ended it (soak, seed 1104, beside load).
    """

    async def test_hangups_do_not_end_it(self, tmp_path):
        run = runs.Soak(1, str(tmp_path), [], 1)
        try:
            await run.start()
            host = run.hosts[0]
            host.signal(signal.SIGTERM)
            await host.wait_ended()
            await host.start()
            await until_importing(host.process.pid)
            for _ in range(HANGUPS):
                host.signal(signal.SIGHUP)
                await asyncio.sleep(INTERVAL_S)
            assert host.process.returncode is None
            assert await run.call(host, runs.READ) == 200
        finally:
            await run.stop()


class TestEnd:
    """A signal that comes as a process exits must not end it (issue 33).

    Closing the event loop gives signals their default action back (soak, seed
    3337).
    """

    async def test_further_signals_leave_the_exit_code(self, tmp_path):
        run = runs.Soak(1, str(tmp_path), [], 1)
        try:
            await run.start()
            host = run.hosts[0]
            host.signal(signal.SIGTERM)
            while host.process.returncode is None:
                host.signal(signal.SIGTERM)
                host.signal(signal.SIGHUP)
                await asyncio.sleep(INTERVAL_S)
            assert host.process.returncode == 0
        finally:
            await run.stop()
