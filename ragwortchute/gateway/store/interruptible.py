"""Waits that an event ends early."""

import asyncio
from collections import abc
from typing import TypeVar

T = TypeVar('T')


async def result_unless_set(
    coro: abc.Coroutine[object, object, T], event: asyncio.Event
) -> T | None:
    """Returns the result of a coroutine, None if an event is set before.

    The coroutine is cancelled if the event is set before its end.
    """
    loop = asyncio.get_running_loop()
    task = loop.create_task(coro)
    wake = loop.create_task(event.wait())
    try:
        await asyncio.wait((task, wake), return_when=asyncio.FIRST_COMPLETED)
    finally:
        wake.cancel()
        if not task.done():
            task.cancel()
        elif not task.cancelled():
            task.exception()  # marks it as retrieved
    return task.result() if task.done() else None
