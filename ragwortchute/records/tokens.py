"""Origin tokens, which bind request keys to one process of one host."""

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

_VERSION = 'o1.'
_MAC_BYTES = 16
_MAX_NAME_BYTES = 96
_CONTEXT = b'ragwortchute origin token'


class TokenFault(enum.StrEnum):
    """Why a token can't be used."""

    MALFORMED = 'malformed'
    FOREIGN = 'foreign'


class OriginToken(msgspec.Struct, frozen=True):
    """The content of a token.

    Attributes:
        host: Origin of the keys that are sent with this token.
        incarnation: The process of that host.
        region: Region of the host.
        issued_at: Wall-clock seconds at the issuer.
        expires_at: Wall-clock seconds after which the token runs nothing.
        token_id: Distinguishes tokens; equal only for the same token.
    """

    host: str
    incarnation: int
    region: str
    issued_at: float
    expires_at: float
    token_id: int

    @property
    def origin(self) -> tuple[str, int]:
        """Host and incarnation."""
        return self.host, self.incarnation


class _Payload(msgspec.Struct, frozen=True, array_like=True):
    host: str
    incarnation: int
    region: str
    issued_at: float
    expires_at: float
    number: int


class TokenMint:
    """Makes and reads the tokens of a deployment.

    Args:
        deployment_key: Secret that all hosts of the deployment share.
        clock: Source of the wall-clock time.
        lifetime_s: Life of a token in seconds.
    """

    __slots__ = ('_clock', '_decoder', '_encoder', '_key', '_numbers',
                 'lifetime_s')  # fmt: skip

    def __init__(
        self, deployment_key: str, clock: clock_lib.Clock, lifetime_s: float
    ) -> None:
        self._key = hmac.digest(deployment_key.encode(), _CONTEXT, 'sha256')
        self._clock = clock
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_Payload)
        # A key may be sent again under a new token of the same origin, so
        # two tokens must differ even if issued at the same instant.
        self._numbers = itertools.count(secrets.randbits(62))
        self.lifetime_s = lifetime_s

    def mint(self, member: wire.Member) -> str:
        """Returns a new token for keys whose origin is the given host.

        Raises:
            PeerError: The name of the host or region is too long.
        """
        now_s = self._clock.wall()
        if len(member.host.encode()) > _MAX_NAME_BYTES or (
            len(member.region.encode()) > _MAX_NAME_BYTES
        ):
            raise errors.PeerError(
                f'host and region names of a token are limited to '
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
                number=next(self._numbers),
            )
        )
        text = base64.urlsafe_b64encode(self._mac(payload) + payload)
        return _VERSION + text.decode().rstrip('=')

    def parse(self, text: str) -> result.Result[OriginToken, TokenFault]:
        """Returns the content of a token, whether or not it has expired.

        Returns:
            The content, or `MALFORMED` if the text is no token, or `FOREIGN`
            if it was not made with the key of this deployment.
        """
        if len(text) > MAX_TOKEN_CHARS or not text.startswith(_VERSION):
            return result.Failure(TokenFault.MALFORMED)
        body = text[len(_VERSION) :]
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
        """Tells whether a token is past its life on this host's clock."""
        return token.expires_at <= self._clock.wall()

    def _mac(self, payload: bytes) -> bytes:
        return hmac.digest(self._key, payload, 'sha256')[:_MAC_BYTES]
