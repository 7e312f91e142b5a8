"""Cache of the address answers of entry hosts."""

import asyncio
import collections
from collections import abc

import msgspec

from ragwortchute import calls
from ragwortchute import clock as clock_lib
from ragwortchute.client import protocol
from ragwortchute.client import transport as transport_lib

MAX_CACHE_ENTRIES = 1024

_QUERY_TIMEOUT_S = 0.5


class _CacheEntry(msgspec.Struct):
    answer: calls.AddressAnswer
    expires_s: float


class AddressCache:
    """Queries entry hosts for addresses and caches the answers.

    Args:
        urls: Base URLs of known entry hosts; each of them answers queries.
        transport: Transport of the queries.
        clock: Clock of the lifetimes and deadlines.
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
        self._entries: collections.OrderedDict[str, _CacheEntry] = (
            collections.OrderedDict()
        )
        self._queries: dict[str, asyncio.Task[calls.AddressAnswer | None]] = {}

    async def get(
        self, request: protocol.Request, *, refresh: bool = False
    ) -> calls.AddressAnswer | None:
        """Returns the addresses for a request, or None if none are known.

        If no host answers the query, an expired answer is returned, because its
        hosts may still be reachable.

        Args:
            request: The request.
            refresh: True to query even if an unexpired answer is cached.
        """
        path = protocol.address_path(request)
        entry = self._lookup(request)
        now_s = self._clock.monotonic()
        if entry is not None and entry.expires_s > now_s and not refresh:
            return entry.answer
        query = self._queries.get(path)
        if query is None:
            # All calls that wait for the same addresses share one query.
            query = asyncio.create_task(self._query(request))
            self._queries[path] = query
            query.add_done_callback(lambda _: self._queries.pop(path, None))
        remaining_s = max(0.0, request.deadline_s - now_s)
        try:
            answer = await asyncio.wait_for(asyncio.shield(query), remaining_s)
        except TimeoutError:
            answer = None
        if answer is not None:
            return answer
        return entry.answer if entry is not None else None

    def put(
        self, request: protocol.Request, answer: calls.AddressAnswer
    ) -> None:
        """Caches an answer for all requests that it is valid for."""
        path = protocol.address_path(request)
        if answer.any_path:
            # An older answer for this path only would take precedence.
            self._entries.pop(path, None)
            path = protocol.address_path(request, any_path=True)
        self._entries[path] = _CacheEntry(
            answer, self._clock.monotonic() + answer.lifetime_ms / 1000
        )
        self._entries.move_to_end(path)
        while len(self._entries) > MAX_CACHE_ENTRIES:
            self._entries.popitem(last=False)

    def _lookup(self, request: protocol.Request) -> _CacheEntry | None:
        exact = self._entries.get(protocol.address_path(request))
        if exact is not None:
            return exact
        return self._entries.get(protocol.address_path(request, any_path=True))

    async def close(self) -> None:
        """Cancels the queries in progress."""
        queries = list(self._queries.values())
        for query in queries:
            query.cancel()
        if queries:
            await asyncio.wait(queries)

    async def _query(
        self, request: protocol.Request
    ) -> calls.AddressAnswer | None:
        path = protocol.address_path(request)
        for url in self._query_urls(request):
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
                # The next query starts with a different host.
                self._urls.rotate(-1)
        return None

    def _query_urls(self, request: protocol.Request) -> list[str]:
        urls = list(self._urls)
        entry = self._lookup(request)
        if entry is not None:
            urls += [address.url for address in entry.answer.hosts]
        return list(dict.fromkeys(urls))
