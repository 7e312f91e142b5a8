"""Cached address answers of entry hosts."""

import asyncio
import collections
from collections import abc

import msgspec

from ragwortchute import calls
from ragwortchute import clock as clock_lib
from ragwortchute.client import protocol
from ragwortchute.client import transport as transport_lib

MAX_CACHED = 1024

_QUERY_TIMEOUT_S = 0.5


class _Cached(msgspec.Struct):
    answer: calls.AddressAnswer
    expires_s: float


class AddressBook:
    """Asks known hosts for addresses and keeps the answers for their life.

    Args:
        urls: Base URLs of known entry hosts; any of them can be asked.
        transport: Sends the queries.
        clock: Source of time.
    """

    def __init__(
        self,
        urls: abc.Sequence[str],
        transport: transport_lib.HttpTransport,
        clock: clock_lib.Clock,
    ) -> None:
        self._urls = collections.deque(urls)
        self._transport = transport
        self._clock = clock
        self._cached: collections.OrderedDict[str, _Cached] = (
            collections.OrderedDict()
        )
        self._queries: dict[str, asyncio.Task[calls.AddressAnswer | None]] = {}

    async def get(
        self, request: protocol.Request, *, refresh: bool = False
    ) -> calls.AddressAnswer | None:
        """Returns the addresses for a request, or None if nobody answers.

        When nobody answers, the last answer is returned even if it is too
        old: its hosts may still be there.

        Args:
            request: The request.
            refresh: True to ask even if an answer is cached.
        """
        path = protocol.address_path(request)
        cached = self._find(request)
        now_s = self._clock.monotonic()
        if cached is not None and cached.expires_s > now_s and not refresh:
            return cached.answer
        task = self._queries.get(path)
        if task is None:
            # One query serves all calls that wait for the same addresses.
            task = asyncio.create_task(self._query(request))
            self._queries[path] = task
            task.add_done_callback(lambda _: self._queries.pop(path, None))
        left_s = max(0.0, request.deadline_s - now_s)
        try:
            answer = await asyncio.wait_for(asyncio.shield(task), left_s)
        except TimeoutError:
            answer = None
        if answer is not None:
            return answer
        return cached.answer if cached is not None else None

    def put(
        self, request: protocol.Request, answer: calls.AddressAnswer
    ) -> None:
        """Keeps an answer for all requests that it holds for."""
        path = protocol.address_path(request)
        if answer.any_path:
            # An older answer for the path alone would be found first.
            self._cached.pop(path, None)
            path = protocol.address_path(request, any_path=True)
        self._cached[path] = _Cached(
            answer, self._clock.monotonic() + answer.lifetime_ms / 1000
        )
        self._cached.move_to_end(path)
        while len(self._cached) > MAX_CACHED:
            self._cached.popitem(last=False)

    def _find(self, request: protocol.Request) -> _Cached | None:
        exact = self._cached.get(protocol.address_path(request))
        if exact is not None:
            return exact
        return self._cached.get(protocol.address_path(request, any_path=True))

    async def close(self) -> None:
        """Cancels queries."""
        tasks = list(self._queries.values())
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    async def _query(
        self, request: protocol.Request
    ) -> calls.AddressAnswer | None:
        path = protocol.address_path(request)
        for url in self._candidates(request):
            try:
                response = await self._transport.send(
                    'GET', url.rstrip('/') + path, timeout_s=_QUERY_TIMEOUT_S
                )
                answer = msgspec.json.decode(
                    response.body, type=calls.AddressAnswer
                )
            except (transport_lib.SendFailed, msgspec.DecodeError):
                answer = None
            if answer is not None and response.status == 200 and answer.hosts:
                self.put(request, answer)
                return answer
            if self._urls[0] == url:
                # The next query starts with another host.
                self._urls.rotate(-1)
        return None

    def _candidates(self, request: protocol.Request) -> list[str]:
        urls = list(self._urls)
        cached = self._find(request)
        if cached is not None:
            urls += [address.url for address in cached.answer.hosts]
        return list(dict.fromkeys(urls))
