"""Origin tokens, which bind request keys to one process of an entry host."""

import base64
import binascii
import enum
import hmac
import itertools
import secrets

import msgspec
from returns import result

from ragwortchute import clock as clock_lib
from ragwortchute import errors
from ragwortchute import wire

MAX_TOKEN_CHARS = 512

_VERSION_PREFIX = 'o1.'
_MAC_BYTES = 16
_MAX_NAME_BYTES = 96
_KEY_CONTEXT = b'ragwortchute origin token'


class TokenFault(enum.StrEnum):
    """Why the text of a token is rejected.

    Attributes:
        MALFORMED: The text is not a token.
        FOREIGN: The token was not signed with the key of this deployment.
    """

    MALFORMED = 'malformed'
    FOREIGN = 'foreign'


class OriginToken(msgspec.Struct, frozen=True):
    """The verified content of a token.

    Attributes:
        host: Origin of the keys that are sent with this token.
        incarnation: Incarnation of the host process that is the origin.
        region: Region of the host.
        issued_at: Time of issue in wall-clock seconds of the issuer.
        expires_at: Wall-clock second from which the token runs no request.
        token_id: Unique id, taken from the MAC of the token.
    """

    host: str
    incarnation: int
    region: str
    issued_at: float
    expires_at: float
    token_id: int

    @property
    def origin(self) -> tuple[str, int]:
        """Host and incarnation of the origin."""
        return self.host, self.incarnation


class _Payload(msgspec.Struct, frozen=True, array_like=True):
    host: str
    incarnation: int
    region: str
    issued_at: float
    expires_at: float
    serial: int


class TokenMint:
    """Issues and verifies the origin tokens of a deployment.

    Args:
        deployment_key: Secret that all hosts of the deployment share.
        clock: Source of the wall-clock time.
        lifetime_s: Lifetime of a token in seconds.
    """

    __slots__ = ('_clock', '_decoder', '_encoder', '_key', '_serials',
                 'lifetime_s')  # fmt: skip

    def __init__(
        self, deployment_key: str, clock: clock_lib.Clock, lifetime_s: float
    ) -> None:
        self._key = hmac.digest(deployment_key.encode(), _KEY_CONTEXT, 'sha256')
        self._clock = clock
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_Payload)
        # The serial number keeps tokens distinct that are issued at the same
        # instant: a refused key may run again only under a different token.
        self._serials = itertools.count(secrets.randbits(62))
        self.lifetime_s = lifetime_s

    def mint(self, member: wire.Member) -> str:
        """Returns a new token that binds keys to the given host.

        Args:
            member: The origin.

        Raises:
            PeerError: The name of the host or its region is too long.
        """
        now_s = self._clock.wall()
        if len(member.host.encode()) > _MAX_NAME_BYTES or (
            len(member.region.encode()) > _MAX_NAME_BYTES
        ):
            raise errors.PeerError(
                f'host and region names in a token are limited to '
                f'{_MAX_NAME_BYTES} bytes',
                step='mint',
                peer=member.host,
            )
        payload = self._encoder.encode(
            _Payload(
                host=member.host,
                incarnation=member.incarnation,
                region=member.region,
                issued_at=now_s,
                expires_at=now_s + self.lifetime_s,
                serial=next(self._serials),
            )
        )
        text = base64.urlsafe_b64encode(self._mac(payload) + payload)
        return _VERSION_PREFIX + text.decode().rstrip('=')

    def parse(self, text: str) -> result.Result[OriginToken, TokenFault]:
        """Verifies a token and returns its content, even if it has expired.

        Args:
            text: The token as sent by a caller.

        Returns:
            The content, or the reason why the text is rejected.
        """
        if len(text) > MAX_TOKEN_CHARS or not text.startswith(_VERSION_PREFIX):
            return result.Failure(TokenFault.MALFORMED)
        body = text[len(_VERSION_PREFIX) :]
        try:
            buf = base64.b64decode(
                body + '=' * (-len(body) % 4), altchars=b'-_', validate=True
            )
        except (binascii.Error, ValueError):
            return result.Failure(TokenFault.MALFORMED)
        mac, payload = buf[:_MAC_BYTES], buf[_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(payload)):
            return result.Failure(TokenFault.FOREIGN)
        try:
            content = self._decoder.decode(payload)
        except msgspec.DecodeError:
            return result.Failure(TokenFault.MALFORMED)
        return result.Success(
            OriginToken(
                host=content.host,
                incarnation=content.incarnation,
                region=content.region,
                issued_at=content.issued_at,
                expires_at=content.expires_at,
                token_id=int.from_bytes(mac[:8]),
            )
        )

    def expired(self, token: OriginToken) -> bool:
        """Returns whether a token has expired by the clock of this host."""
        return token.expires_at <= self._clock.wall()

    def _mac(self, payload: bytes) -> bytes:
        return hmac.digest(self._key, payload, 'sha256')[:_MAC_BYTES]
