"""Sends HTTP requests once and reports whether a byte may have been sent."""

import asyncio
from collections import abc

import aiohttp
import msgspec
import yarl

# Responses are returned undecoded, so the client requests no encoding.
_SKIPPED_AUTO_HEADERS = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)


class Response(msgspec.Struct, frozen=True):
    """A complete response.

    Attributes:
        status: HTTP status.
        headers: Headers, names in lower case.
        body: The complete body.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class SendFailed(Exception):
    """No complete response to a request was received.

    Attributes:
        maybe_sent: False only if no byte of the request can have been sent.
        timed_out: True if the timeout expired after connecting.
    """

    def __init__(
        self, message: str, *, maybe_sent: bool, timed_out: bool = False
    ) -> None:
        super().__init__(message)
        self.maybe_sent = maybe_sent
        self.timed_out = timed_out


class _ConnectionBroken(Exception):
    """Replaces the errors on which aiohttp would resend a request."""


class _Attempt:
    """Tells whether a request was assigned a connection."""

    __slots__ = ('connected',)

    def __init__(self) -> None:
        self.connected = False


class HttpTransport:
    """Sends each request once, without redirects or automatic resends.

    Args:
        connect_timeout_s: Maximum wait for a connection, in seconds.
        max_response_bytes: Maximum size of a response body, in bytes.
    """

    def __init__(
        self,
        *,
        connect_timeout_s: float = 0.5,
        max_response_bytes: int = 8 << 20,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._max_response_bytes = max_response_bytes
        self._session: aiohttp.ClientSession | None = None

    async def send(
        self,
        method: str,
        url: str,
        *,
        headers: abc.Iterable[tuple[str, str]] = (),
        body: bytes = b'',
        timeout_s: float,
    ) -> Response:
        """Sends a request once and returns the complete response.

        Args:
            method: HTTP method.
            url: Encoded URL.
            headers: Request headers.
            body: The complete body.
            timeout_s: Maximum time until the complete response, in seconds.

        Raises:
            SendFailed: No complete response was received in time.
        """
        attempt = _Attempt()
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._get_session().request(
                    method,
                    yarl.URL(url, encoded=True),
                    headers=list(headers),
                    data=body or None,
                    allow_redirects=False,
                    trace_request_ctx=attempt,
                ) as response,
            ):
                return Response(
                    response.status,
                    [
                        (k.decode('latin-1').lower(), v.decode('latin-1'))
                        for k, v in response.raw_headers
                    ],
                    await self._read_body(response),
                )
        except TimeoutError as exc:
            raise SendFailed(
                f'no response from {url} in {timeout_s:.3f} s',
                maybe_sent=attempt.connected,
                timed_out=attempt.connected,
            ) from exc
        except (
            aiohttp.ClientError,
            _ConnectionBroken,
            OSError,
            ValueError,
        ) as exc:
            raise SendFailed(
                f'no response from {url}: {exc!r}', maybe_sent=attempt.connected
            ) from exc

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        buf = bytearray()
        async for chunk in response.content.iter_any():
            buf += chunk
            if len(buf) > self._max_response_bytes:
                raise ValueError(
                    f'response is larger than {self._max_response_bytes} bytes'
                )
        return bytes(buf)

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            trace = aiohttp.TraceConfig()
            trace.on_connection_create_end.append(_mark_connected)
            trace.on_connection_reuseconn.append(_mark_connected)
            self._session = aiohttp.ClientSession(
                auto_decompress=False,
                connector=aiohttp.TCPConnector(limit=0),
                cookie_jar=aiohttp.DummyCookieJar(),
                middlewares=(_prevent_resend,),
                skip_auto_headers=_SKIPPED_AUTO_HEADERS,
                timeout=aiohttp.ClientTimeout(
                    total=None, connect=self._connect_timeout_s
                ),
                trace_configs=[trace],
            )
        return self._session


async def _mark_connected(session: object, ctx: object, _: object) -> None:
    ctx.trace_request_ctx.connected = True


async def _prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp resends GET, PUT and DELETE automatically when a kept-alive
    # connection breaks. The resend would still be marked as a first send.
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError) as exc:
        raise _ConnectionBroken(repr(exc)) from exc
