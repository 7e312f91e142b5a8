"""Runs a case and turns its result into an exit code.

An error of the case itself must not look like a broken rule, so a broken rule
has a code of its own here, which run.sh turns into 1.
"""

import asyncio
from collections import abc
import os
import pathlib
import resource
import signal
import sys
import traceback

import deployment

BROKEN = 10
HELD = 0
COULD_NOT_RUN = 2

# Returns whether the rule was broken, None if the case couldn't run.
Play = abc.Callable[
    [deployment.Record, bool], abc.Coroutine[None, None, bool | None]
]


def run(play: Play, descriptors: int = 1024) -> int:
    """Plays a case; returns the exit code.

    Args:
        play: Plays it, with or without its disruption.
        descriptors: Descriptors that it needs.
    """
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    if most != resource.RLIM_INFINITY and most < descriptors:
        print(f'needs {descriptors} descriptors', file=sys.stderr)
        return COULD_NOT_RUN
    resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, most))
    # The end of the time of run.sh: processes are ended on the way out.
    signal.signal(signal.SIGTERM, _stop)
    record = deployment.Record(pathlib.Path('record.txt'))
    try:
        broken = asyncio.run(play(record, os.environ.get('TROUBLE') != '0'))
    except Exception:
        traceback.print_exc()
        return COULD_NOT_RUN
    if broken is None:
        return COULD_NOT_RUN
    return BROKEN if broken else HELD


def _stop(number: int, frame: object) -> None:
    raise SystemExit(COULD_NOT_RUN)
