"""Entry hosts on loopback addresses that do what a test tells them."""

import asyncio

import msgspec

from ragwortchute import calls

ANSWER = (200, [], b'done')


class ScriptedHost:
    """Answers each call with the next item of a script.

    An item is a triple of status, headers and body, a refusal, or `drop`
    (close after the request was read), `hang` or `truncate`, or a function
    that returns one of these. The last item is used again and again.

    Attributes:
        sends: Method, path and headers of each call.
        queries: Number of address queries.
        silent: True if address queries get no answer.
        called: Set when a call arrived.
        closed: Set when a caller closed a connection that hung.
    """

    def __init__(self, name, script=(ANSWER,)):
        self.name = name
        self.script = list(script)
        self.sends = []
        self.queries = 0
        self.tokens = 0
        self.others = [self]
        self.lifetime_ms = 5000
        self.any_path = False
        self.silent = False
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
        for host in self.others:
            host.tokens += 1
            token = f'{host.name}-{host.tokens}'
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
            if self.silent:
                return False
            body = msgspec.json.encode(self.addresses())
            writer.write(encode((200, [], body)))
            return True
        self.sends.append((method, path, headers))
        self.called.set()
        item = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if callable(item):
            item = await item(headers, body)
        if item == 'drop':
            return False
        if item == 'hang':
            await reader.read()
            self.closed.set()
            return False
        if item == 'truncate':
            writer.write(encode(ANSWER)[:-1])
            return False
        writer.write(encode(item))
        return True

    def seen(self, name):
        """Returns the values of a header over all calls."""
        return [headers.get(name) for _, _, headers in self.sends]


def encode(item):
    if isinstance(item, calls.Refusal):
        headers = [('Ragwortchute-Refusal', item.outcome.value)]
        item = (item.status, headers, msgspec.json.encode(item))
    status, headers, body = item
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def refusal(outcome, *, step='record', retry_after_ms=0, addresses=None):
    return calls.Refusal(
        calls.Outcome(outcome), 'test', step, 503,
        retry_after_ms=retry_after_ms, addresses=addresses,
    )  # fmt: skip
