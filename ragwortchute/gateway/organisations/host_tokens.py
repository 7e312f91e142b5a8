"""Tokens by which a host recognises requests of other hosts.

Each host draws a token at its start and publishes it with its addresses, in
its entry, which only hosts get. Others send it along with each request to the
listener for hosts. A host compares it with its own and keeps no state about
others, so that hosts that have just started are recognised, too.

A host that knows the entry of an earlier incarnation sends an old token until
heartbeats have brought the new one; its requests are answered with 404, after
which it sends a relayed request to a target itself and reads another replica.
"""

from collections import abc
import hmac

from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_messages

# Contract of deployments whose configuration may contain organisations.
CONTRACT = 'tenants'
TOKEN_BYTES = 12


def relay_headers(
    host: model.HostEntry, organisation: model.Organisation | None
) -> list[tuple[bytes, bytes]]:
    """Returns the headers to add to a request that is relayed to a host.

    Args:
        host: The host.
        organisation: Organisation of the caller, None if it needs none.
    """
    headers = token_headers(host.token)
    if organisation is not None:
        name = organisation.name.encode()
        headers.append((dialects.RELAYED_ORGANISATION, name))
    return headers


def token_headers(token: str) -> list[tuple[bytes, bytes]]:
    """Returns the header with the token of a host, none if it has none."""
    return [(dialects.HOST_TOKEN, token.encode())] if token else []


class HostGate:
    """Recognises requests of other hosts.

    Args:
        token: Token of this host, empty in a deployment without organisations.
        has_organisations: Returns whether the configuration in force has
            organisations.
    """

    __slots__ = ('_has_organisations', '_token')

    def __init__(
        self, token: str, has_organisations: abc.Callable[[], bool]
    ) -> None:
        self._token = token.encode()
        self._has_organisations = has_organisations

    def admits(
        self, req: http_messages.Request, *, reads_replica: bool
    ) -> bool:
        """Returns whether a request may be from another host.

        The headers that hosts add are removed; the organisation that the other
        host has found is noted in the request. Without a token, nobody can
        name an organisation, and requests of organisations are not relayed.

        Args:
            req: The request.
            reads_replica: Whether it reads a replica of the store, in place of
                a request of a caller that was relayed.
        """
        tokens, names = _take_headers(req)
        if not self._token:
            return reads_replica or not (names or self._has_organisations())
        if len(tokens) != 1 or not hmac.compare_digest(tokens[0], self._token):
            return False
        try:
            req.organisation = names[0].decode() if names else ''
        except UnicodeDecodeError:
            return False
        return len(names) <= 1


def _take_headers(
    req: http_messages.Request,
) -> tuple[list[bytes], list[bytes]]:
    """Removes the headers that hosts add; returns tokens and organisations."""
    taken: dict[bytes, list[bytes]] = {
        name: [] for name in dialects.HOST_HEADERS
    }
    kept = []
    for item in req.headers:
        taken.get(item[0], kept).append(
            item if item[0] not in taken else item[1]
        )
    req.headers = kept
    return taken[dialects.HOST_TOKEN], taken[dialects.RELAYED_ORGANISATION]
