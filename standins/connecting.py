"""Connections of the stand-ins for callers."""

import asyncio

CONNECT_TIMEOUT_S = 1.0
RETRY_S = 0.05


async def connect(
    ip: str, port: int, limit: int = 1 << 16
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
    """Opens a connection; returns None after a pause if that fails.

    Args:
        ip: Address of the host.
        port: Port of the host.
        limit: Length of the buffer for reading in bytes.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await asyncio.open_connection(ip, port, limit=limit)
    except (OSError, TimeoutError):
        await asyncio.sleep(RETRY_S)
        return None
