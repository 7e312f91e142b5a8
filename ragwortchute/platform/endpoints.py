"""HTTP endpoints of the platform: address look-ups and readiness checks."""

from urllib import parse

import msgspec

from ragwortchute.gateway import application
from ragwortchute.gateway.http import http_messages

RESOLVE_PATH = '/resolve'
READY_PATH = '/ready'


class _Addresses(msgspec.Struct):
    addresses: list[str]
    ttl_s: float


class Endpoints:
    """Serves address look-ups and readiness checks.

    Args:
        gateway: This host.
    """

    def __init__(self, gateway: application.Gateway) -> None:
        self._gateway = gateway

    async def resolve(
        self, req: http_messages.Request
    ) -> http_messages.Response:
        """Serves `GET /resolve?name=HOST&region=REGION&zone=ZONE`.

        Responds with 503 while there are no addresses or the configuration and
        targets are not complete.
        """
        if req.path != RESOLVE_PATH:
            return http_messages.Response(404)
        query = dict(parse.parse_qsl(req.target.partition('?')[2]))
        addresses = self._gateway.addresses(
            query.get('name', '').lower(),
            query.get('region', ''),
            query.get('zone', ''),
        )
        if not addresses or not self._gateway.state.complete:
            return http_messages.Response(503)
        body = msgspec.json.encode(
            _Addresses(addresses, application.ADDRESS_TTL_S)
        )
        headers = [(b'content-type', b'application/json')]
        return http_messages.Response(200, headers, body)

    async def ready(self, req: http_messages.Request) -> http_messages.Response:
        """Serves `GET /ready`: 200 if new callers are accepted, else 503."""
        if req.path != READY_PATH:
            return http_messages.Response(404)
        return http_messages.Response(200 if self._gateway.ready else 503)
