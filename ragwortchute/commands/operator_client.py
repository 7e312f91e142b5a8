"""HTTP client for an entry host's listener for operators."""

from collections import abc
import types
from typing import Any
from urllib import parse

import aiohttp
import msgspec
import yarl

from ragwortchute import errors
from ragwortchute import operators
from ragwortchute.stores import http

TIMEOUT_S = 5.0
_MAX_DETAIL_CHARS = 300


class Refused(errors.PeerError):
    """The host answered with an error status."""


class OperatorClient:
    """Client of one entry host, used as an asynchronous context manager.

    Args:
        url: Base URL of the listener.
        token: Bearer token.
        timeout_s: Longest wait for an answer in seconds.
    """

    def __init__(
        self, url: str, token: str, *, timeout_s: float = TIMEOUT_S
    ) -> None:
        self.url, self._peer = http.parse_base_url(url)
        self._token = token
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> 'OperatorClient':
        headers = {'Authorization': f'Bearer {self._token}'}
        self._session = aiohttp.ClientSession(
            headers=headers, timeout=self._timeout
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._session is not None:
            await self._session.close()

    async def status(self) -> operators.HostStatus:
        """Returns the status of the host.

        Raises:
            PeerUnreachable: The host did not answer.
            Refused: The host answered with an error or malformed JSON.
        """
        buf = await self._send('GET', '/status')
        return self._decode(buf, operators.HostStatus)

    async def get(
        self, path: str, query: abc.Mapping[str, str] | None = None
    ) -> Any:
        """Returns the decoded JSON answer to a GET request.

        Raises:
            PeerUnreachable: The host did not answer.
            Refused: The host answered with an error or malformed JSON.
        """
        if query:
            path = f'{path}?{parse.urlencode(query)}'
        return self._decode(await self._send('GET', path), Any)

    async def order(self, failure_domain: str, state: str) -> Any:
        """Orders the state `out` or `in` for a failure domain.

        Raises:
            PeerUnreachable: The connection failed; nothing was sent.
            PeerTimeout: The host did not answer; the order may be in force.
            Refused: The host answered with an error.
        """
        name = parse.quote(failure_domain, safe='')
        buf = await self._send('POST', f'/domains/{name}/{state}')
        return self._decode(buf, Any) if buf else {}

    async def _send(self, method: str, path: str) -> bytes:
        assert self._session is not None
        try:
            async with self._session.request(
                method,
                yarl.URL(self.url + path, encoded=True),
                allow_redirects=False,
            ) as resp:
                buf = await resp.read()
                status = resp.status
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as exc:
            raise self._unreachable(f'no connection: {exc}') from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            message = f'no answer: {str(exc) or type(exc).__name__}'
            if method == 'GET':
                raise self._unreachable(message) from exc
            raise errors.PeerTimeout(
                message, step='operator', peer=self._peer
            ) from exc
        if status >= 300:
            raise Refused(
                f'status {status} for {method} {path}: {_detail(buf)}',
                step='operator',
                peer=self._peer,
            )
        return buf

    def _decode(self, buf: bytes, kind: Any) -> Any:
        try:
            return msgspec.json.decode(buf, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise Refused(
                f'malformed answer: {exc}', step='operator', peer=self._peer
            ) from exc

    def _unreachable(self, message: str) -> errors.PeerUnreachable:
        return errors.PeerUnreachable(message, step='operator', peer=self._peer)


def _detail(buf: bytes) -> str:
    """Returns the detail of a problem (RFC 9457), or the body; truncated."""
    try:
        detail = msgspec.json.decode(buf, type=dict)['detail']
    except (msgspec.MsgspecError, UnicodeDecodeError, KeyError):
        detail = buf.decode(errors='replace')
    return str(detail)[:_MAX_DETAIL_CHARS]
