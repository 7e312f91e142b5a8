"""Client of the platform's object API over HTTP.

Protocol:
    GET  /objects/<name>             value; header `Object-Version`; 404
    GET  /objects?prefix=P           JSON list of objects
    POST /objects/<name>             value with header `Expected-Version`;
                                     header `Object-Version`; 412 with the
                                     header `Object-Version` on a conflict
    GET  /watch?prefix=P&after=R&timeout_ms=T   JSON `WatchAnswer`

Writes use POST because aiohttp resends a PUT by itself when an idle
connection turns out to be closed.
"""

from collections import abc
from typing import TypeVar
from urllib import parse

import aiohttp
import msgspec
import yarl

from ragwortchute import errors
from ragwortchute import progress as progress_
from ragwortchute import stores

T = TypeVar('T')

TIMEOUT_S = 5.0  # the object API usually takes milliseconds, but may be slow
CONNECT_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 8

VERSION_HEADER = 'Object-Version'
EXPECTED_HEADER = 'Expected-Version'

_OK = 200
_NOT_FOUND = 404
_PRECONDITION_FAILED = 412
_SERVER_ERROR = 500


@stores.REGISTRY.register('http')
class HttpStore(stores.Store):
    """Client of an object API; the first call opens a connection.

    Args:
        url: Base URL, such as `http://10.0.0.1:8500`.
        timeout_s: Timeout of a request in seconds; that of a watch is longer
            by its waiting time.

    Raises:
        SettingError: `url` is not a base URL.
    """

    def __init__(self, url: str, *, timeout_s: float = TIMEOUT_S) -> None:
        self._url, self._peer = parse_base_url(url)
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def get(self, name: str) -> stores.StoredObject | None:
        """See base class."""
        reply = await self._send('GET', self._object_path(name))
        if reply.status == _NOT_FOUND:
            return None
        self._expect_ok(reply, name)
        return stores.StoredObject(name, self._version(reply), reply.body)

    async def list(self, prefix: str) -> list[stores.StoredObject]:
        """See base class."""
        path = f'/objects?{parse.urlencode({"prefix": prefix})}'
        reply = await self._send('GET', path)
        self._expect_ok(reply, prefix)
        return self._decode(reply, list[stores.StoredObject])

    async def put(
        self, name: str, value: bytes, *, expected_version: int
    ) -> stores.StoredObject:
        """See base class."""
        reply = await self._send(
            'POST',
            self._object_path(name),
            body=value,
            headers={EXPECTED_HEADER: str(expected_version)},
        )
        if reply.status == _PRECONDITION_FAILED:
            current = self._version(reply)
            raise errors.VersionConflict(
                f'{name!r} has version {current}, not {expected_version}',
                current_version=current,
            )
        self._expect_ok(reply, name, write=True)
        version = self._version(reply, write=True)
        return stores.StoredObject(name, version, value)

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        timeout_s: float,
        may_be_stale: bool = False,
        progress: progress_.Progress | None = None,
    ) -> stores.WatchAnswer:
        """See base class."""
        query = {
            'prefix': prefix,
            'after': after_revision,
            'timeout_ms': round(timeout_s * 1000),
        }
        path = f'/watch?{parse.urlencode(query)}'
        reply = await self._send('GET', path, extra_timeout_s=timeout_s)
        self._expect_ok(reply, prefix)
        return self._decode(reply, stores.WatchAnswer)

    async def close(self) -> None:
        """See base class."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _send(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: abc.Mapping[str, str] | None = None,
        extra_timeout_s: float = 0.0,
    ) -> '_Reply':
        """Sends a request and reads the complete answer.

        Args:
            method: HTTP method.
            path: Path and query, percent-encoded.
            body: Body of the request, if any.
            headers: Headers of the request, if any.
            extra_timeout_s: Seconds to add to the timeout.

        Raises:
            StoreUnavailable: No complete answer was received. `maybe_applied`
                is set for a write unless no connection could be opened.
        """
        timeout = aiohttp.ClientTimeout(
            total=self._timeout_s + extra_timeout_s,
            sock_connect=CONNECT_TIMEOUT_S,
        )
        write = method == 'POST'
        try:
            async with self._get_session().request(
                method,
                # Without `encoded`, yarl would resolve dot segments in names.
                yarl.URL(self._url + path, encoded=True),
                data=body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as resp:
                content = await resp.read()
                version = resp.headers.get(VERSION_HEADER, '')
                return _Reply(resp.status, version, content)
        except aiohttp.ClientConnectorError as exc:
            raise self._unavailable(f'connection failed: {exc}', False) from exc
        except aiohttp.ServerTimeoutError as exc:
            connecting = isinstance(exc, aiohttp.ConnectionTimeoutError)
            raise self._unavailable(
                'no answer in time', write and not connecting
            ) from exc
        except TimeoutError as exc:
            raise self._unavailable('no answer in time', write) from exc
        except (aiohttp.ClientError, OSError) as exc:
            shown = str(exc) or type(exc).__name__
            raise self._unavailable(
                f'incomplete answer: {shown}', write
            ) from exc

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
            )
        return self._session

    def _object_path(self, name: str) -> str:
        return f'/objects/{parse.quote(name)}'

    def _expect_ok(
        self, reply: '_Reply', name: str, *, write: bool = False
    ) -> None:
        if reply.status == _OK:
            return
        message = f'status {reply.status} for {name!r}'
        if reply.status >= _SERVER_ERROR:
            raise self._unavailable(message, write)
        raise errors.StoreError(message, step='store', peer=self._peer)

    def _version(self, reply: '_Reply', *, write: bool = False) -> int:
        text = reply.version
        if not (text.isascii() and text.isdigit()):
            raise self._unavailable(
                f'answer without a valid {VERSION_HEADER}: {text!r}', write
            )
        return int(text)

    def _decode(self, reply: '_Reply', kind: type[T]) -> T:
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise self._unavailable(f'malformed answer: {exc}', False) from exc

    def _unavailable(
        self, message: str, maybe_applied: bool
    ) -> errors.StoreUnavailable:
        return errors.StoreUnavailable(
            message, maybe_applied=maybe_applied, peer=self._peer
        )


def parse_base_url(text: str) -> tuple[str, str]:
    """Returns a base URL without trailing slashes, and its `host:port`.

    Args:
        text: Base URL with the scheme `http` or `https`.

    Raises:
        SettingError: The text is not a base URL.
    """
    try:
        url = yarl.URL(text)
        valid = bool(url.scheme in ('http', 'https') and url.host)
    except ValueError:
        valid = False
    if not valid or url.query_string or url.fragment:
        raise errors.SettingError(
            f'{text!r} is not a base URL such as http://10.0.0.1:8500',
            step='url',
        )
    return text.rstrip('/'), url.authority


class _Reply(msgspec.Struct, frozen=True):
    """A complete answer.

    Attributes:
        status: Status code.
        version: Value of the header `Object-Version`, or an empty string.
        body: Body of the answer.
    """

    status: int
    version: str
    body: bytes
