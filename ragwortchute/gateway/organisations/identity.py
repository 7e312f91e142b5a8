"""Decides which organisation a request belongs to, or why it is refused.

A key is looked up at the first host that reads a request. A host that gets a
relayed request takes the organisation from the host that relayed it, see
`host_tokens`. A refusal for an unknown key is final for most callers, so it
requires that the configuration in force was confirmed recently: a host that is
behind must not refuse a key that was just added.
"""

from collections import abc

import msgspec

from ragwortchute.gateway import attempts
from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import host_state
from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_messages

UNKNOWN_KEY = 'unknown-key'
KEY_WITHDRAWN = 'key-withdrawn'
# The key is not known here, but the configuration may be an old one.
UNCONFIRMED_KEY = 'unconfirmed-key'
# Another host relayed the request with a different configuration.
RELAY_MISMATCH = 'relay-mismatch'
# Route and organisation have no home region in common.
NO_COMMON_HOME = 'no-common-home'
# The request was accepted when the configuration had no organisations.
CONFIGURATION_CHANGED = 'configuration-changed'


class Caller(msgspec.Struct, frozen=True):
    """Who sent a request.

    Attributes:
        cfg: Configuration by which this was decided.
        organisation: Organisation of the caller; None if the route is public
            or the configuration has no organisations.
        key: Key that was looked up; empty if another host has done so.
    """

    cfg: model.Configuration
    organisation: model.Organisation | None = None
    key: str = ''

    def __repr__(self) -> str:
        return f'Caller({self.organisation!r})'


class Identity:
    """Identifies the organisations of requests.

    Args:
        state: Configuration in force and its keys.
        dialect: Protocol of callers and targets.
        is_confirmed: Returns whether the configuration in force was confirmed
            recently enough to refuse a request for what it lacks.
    """

    __slots__ = ('_dialect', '_is_confirmed', '_state')

    def __init__(
        self,
        state: host_state.HostState,
        dialect: dialects.Dialect,
        is_confirmed: abc.Callable[[], bool],
    ) -> None:
        self._state = state
        self._dialect = dialect
        self._is_confirmed = is_confirmed

    def identify(
        self, req: http_messages.Request, route: model.Route, *, relayed: bool
    ) -> Caller | str:
        """Returns who sent a request, or the reason to refuse it.

        If the configuration has organisations, the headers by which the caller
        identifies itself are removed from the request.

        Args:
            req: The request.
            route: Its route.
            relayed: Whether another host relayed it.
        """
        cfg = self._state.cfg
        if cfg.organisations is None:
            return RELAY_MISMATCH if req.organisation else Caller(cfg)
        key = self._dialect.credential(req)
        self._dialect.drop_identity(req)
        if relayed:
            return self._identify_relayed(cfg, req, route)
        if route.public:
            return Caller(cfg)
        organisation = self._state.keys.find(key)
        if organisation is None:
            return self._refusal(key)
        return Caller(cfg, organisation, key)

    def _identify_relayed(
        self,
        cfg: model.Configuration,
        req: http_messages.Request,
        route: model.Route,
    ) -> Caller | str:
        """Returns who sent a relayed request, or the reason to refuse it."""
        if not req.organisation:
            return Caller(cfg) if route.public else RELAY_MISMATCH
        organisation = self._state.keys.named(req.organisation)
        if organisation is None or route.public:
            return RELAY_MISMATCH
        return Caller(cfg, organisation)

    def assign(self, call: attempts.Call, caller: Caller) -> str:
        """Notes who sent a request, and what follows from it.

        Args:
            call: The request.
            caller: Who sent it.

        Returns:
            Why it can't be served, empty if it can.
        """
        call.cfg = caller.cfg
        organisation = caller.organisation
        if organisation is None:
            return ''
        call.key = caller.key
        call.organisation = organisation
        call.added_headers = (
            self._dialect.organisation_header(organisation.name),
        )
        call.priority = (
            call.route.priority
            if organisation.priority is None
            else organisation.priority
        )
        homes = common_homes(call.route.homes, organisation.homes)
        if homes is None:
            return NO_COMMON_HOME
        call.homes = homes
        return ''

    def recheck(self, call: attempts.Call) -> str:
        """Returns why a request must not be sent any more, empty if it may.

        The configuration may have changed since the request was accepted. Each
        send calls this; it takes no time unless that is so.
        """
        cfg = self._state.cfg
        if cfg is call.cfg:
            return ''
        self._follow_homes(call)
        if cfg.organisations is None:
            call.cfg = cfg
            return ''
        if call.cfg.organisations is None:
            # The headers of the caller were not removed.
            return CONFIGURATION_CHANGED
        if call.organisation is None:
            call.cfg = cfg
            return ''
        keys = self._state.keys
        name = call.organisation.name
        organisation = keys.find(call.key) if call.key else keys.named(name)
        if organisation is None or organisation.name != name:
            return KEY_WITHDRAWN if self._is_confirmed() else UNCONFIRMED_KEY
        return self.assign(call, Caller(cfg, organisation, call.key))

    def _follow_homes(self, call: attempts.Call) -> None:
        """Gives a request the homes that its route has now.

        If the route is gone, it keeps those that it was accepted with.
        """
        route = self._state.table.match(call.req.host, call.req.path)
        if route is not None and route.homes != call.route.homes:
            call.route = msgspec.structs.replace(call.route, homes=route.homes)
            call.homes = route.homes

    def may_refuse_route(self) -> bool:
        """Returns whether a request without a route may be refused for good.

        Without organisations in the configuration it always is.
        """
        return self._state.cfg.organisations is None or self._is_confirmed()

    def _refusal(self, key: str) -> str:
        if not self._is_confirmed():
            return UNCONFIRMED_KEY
        if self._state.keys.was_withdrawn(key):
            return KEY_WITHDRAWN
        return UNKNOWN_KEY


def common_homes(
    first: tuple[str, ...], second: tuple[str, ...]
) -> tuple[str, ...] | None:
    """Returns the regions that two lists of homes allow.

    Args:
        first: Regions; empty allows all.
        second: Regions; empty allows all.

    Returns:
        The regions, empty if all are allowed, None if none is.
    """
    if not (first and second):
        return first or second
    return tuple(home for home in first if home in second) or None
