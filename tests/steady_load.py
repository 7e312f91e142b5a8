"""Callers that send requests at a steady rate."""

import asyncio


async def send(call, requests_per_s, seconds):
    """Starts calls at a steady rate and waits until all have ended.

    Args:
        call: Coroutine function that sends one request.
        requests_per_s: Calls that are started per second.
        seconds: How long calls are started.
    """
    tasks = []
    for _ in range(int(seconds * requests_per_s)):
        tasks.append(asyncio.create_task(call()))
        await asyncio.sleep(1 / requests_per_s)
    await asyncio.gather(*tasks)
