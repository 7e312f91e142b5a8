"""Scripted entry hosts on loopback addresses."""

import asyncio

import msgspec

from ragwortchute import calls

ANSWER = (200, [], b'done')


class ScriptedHost:
    """Answers each call with the next response of a script.

    A response is one of: a tuple of status, headers and body; a refusal; `drop`
    to close the connection after reading the request; `hang` to send nothing;
    `truncate` to send all but the last byte; an async function that returns one
    of these. The last response is repeated.

    Attributes:
        sends: Method, path and headers of each received call.
        queries: Number of received address queries.
        advertised: Hosts in the answers to address queries.
        ignores_queries: True to close the connection of an address query.
        called: Set when a call was received.
        closed: Set when the caller closed the connection of a hanging call.
    """

    def __init__(self, name, script=(ANSWER,)):
        self.name = name
        self.script = list(script)
        self.sends = []
        self.queries = 0
        self.token_count = 0
        self.advertised = [self]
        self.lifetime_ms = 5000
        self.any_path = False
        self.ignores_queries = False
        self.called = asyncio.Event()
        self.closed = asyncio.Event()
        self.server = None
        self.writers = set()
        self.url = ''

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.url = f'http://127.0.0.1:{port}'
        return self

    async def stop(self):
        self.server.close()
        for writer in self.writers:
            writer.close()

    def addresses(self):
        hosts = []
        for host in self.advertised:
            host.token_count += 1
            token = f'{host.name}-{host.token_count}'
            hosts.append(calls.Address(host.name, host.url, 'd', 'r', token))
        return calls.AddressAnswer(
            tuple(hosts), self.lifetime_ms, any_path=self.any_path
        )

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode().split('\r\n')
        method, path, _ = head[0].split(' ')
        headers = {}
        for line in filter(None, head[1:]):
            name, _, value = line.partition(': ')
            headers[name.lower()] = value
        length = int(headers.get('content-length', 0))
        body = await reader.readexactly(length)
        if path.startswith('/addresses?'):
            self.queries += 1
            if self.ignores_queries:
                return False
            body = msgspec.json.encode(self.addresses())
            writer.write(encode((200, [], body)))
            return True
        self.sends.append((method, path, headers))
        self.called.set()
        response = (
            self.script.pop(0) if len(self.script) > 1 else self.script[0]
        )
        if callable(response):
            response = await response(headers, body)
        if response == 'drop':
            return False
        if response == 'hang':
            await reader.read()
            self.closed.set()
            return False
        if response == 'truncate':
            writer.write(encode(ANSWER)[:-1])
            return False
        writer.write(encode(response))
        return True

    def header_values(self, name):
        """Returns the value of a header in each call, or None if absent."""
        return [headers.get(name) for _, _, headers in self.sends]


def encode(response):
    if isinstance(response, calls.Refusal):
        headers = [('Ragwortchute-Refusal', response.outcome.value)]
        response = (response.status, headers, msgspec.json.encode(response))
    status, headers, body = response
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def refusal(outcome, *, step='record', retry_after_ms=0, addresses=None):
    return calls.Refusal(
        calls.Outcome(outcome), 'test', step, 503,
        retry_after_ms=retry_after_ms, addresses=addresses,
    )  # fmt: skip
