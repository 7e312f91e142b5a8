"""HTTP/1.1 messages of the stand-ins, on asyncio streams."""

import asyncio
import dataclasses

MAX_LINE_BYTES = 1 << 20


@dataclasses.dataclass(slots=True)
class Message:
    """A request or a response.

    Attributes:
        start: Words of the first line.
        headers: Names in lower case and values.
        body: Body; shorter than announced if `complete` is false.
        complete: Whether the whole body has arrived.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b''
    complete: bool = True

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])

    @property
    def closes(self) -> bool:
        """Whether the connection ends after the message."""
        return self.headers.get('connection', '').lower() == 'close'


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads the first line and the headers of a message.

    Raises:
        IncompleteReadError: The connection ended before.
    """
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return Message(first.split(' ', 2), headers)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a message whose body has a length.

    Raises:
        IncompleteReadError: The connection ended before.
    """
    message = await read_head(reader)
    length = int(message.headers.get('content-length', 0))
    message.body = await reader.readexactly(length)
    return message


def encode(start: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Encodes a message with the length of its body."""
    lines = [start, *(f'{name}: {value}' for name, value in headers.items())]
    lines.append(f'content-length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body
