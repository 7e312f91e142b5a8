"""Service documents in force and the entry hosts that serve them."""

from collections import abc
import random

from ragwortchute import callers
from ragwortchute import calls
from ragwortchute import clock as clock_lib
from ragwortchute import documents
from ragwortchute import membership as membership_lib
from ragwortchute import wire
from ragwortchute.documents import matching
from ragwortchute.membership import rendezvous
from ragwortchute.records import tokens as tokens_lib

_DEFAULT_SERVING_SET_SIZE = 4
# Computing the serving set takes about 50 us, too long to do for each call.
_REASON_CACHE_S = 0.02
# A host that joins a serving set has no slots until it knows that targets are
# warm or may send to cold ones. Calls that it accepted before then waited for a
# slot until their deadline, so it refuses them. After this time it accepts
# calls without slots too, and they wait as on any other host.
_MAX_JOIN_S = 10.0


class HostDirectory(callers.Directory):
    """Finds routes, refusal reasons and entry hosts for calls.

    Args:
        membership: Hosts of all regions, and the serving sets of this region.
        tokens: Issues the origin tokens of address answers.
        domain_out: Returns whether a failure domain is out of service.
        rng: Shuffles the hosts of a serving set in address answers.
        clock: Source of time.
        lifetime_ms: Milliseconds for which callers may cache an address
            answer.

    Attributes:
        loaded: Returns whether the documents in force are known.
        stopping: Whether a planned stop has begun.
        has_slots: Returns whether this host may send to a target of a service.
    """

    def __init__(
        self,
        *,
        membership: membership_lib.Membership,
        tokens: tokens_lib.TokenMint,
        domain_out: abc.Callable[[str], bool],
        rng: random.Random,
        clock: clock_lib.Clock,
        lifetime_ms: int,
    ) -> None:
        self.loaded: abc.Callable[[], bool] = lambda: False
        self.stopping = False
        self.has_slots: abc.Callable[[str], bool] = lambda service: True
        self._join_started_s: dict[str, float] = {}
        self._joined_services: set[str] = set()
        self._membership = membership
        self._tokens = tokens
        self._domain_out = domain_out
        self._rng = rng
        self._clock = clock
        self._reason_cache: dict[str, str] = {}
        self._reason_cache_expires_s = float('-inf')
        self._lifetime_ms = lifetime_ms
        self._services: dict[str, documents.ServiceDocument] = {}
        self._versions: dict[str, int] = {}

    @property
    def region(self) -> str:
        """Region of this host."""
        return self._membership.me.region

    @property
    def ready(self) -> bool:
        """Whether documents and view are known, so calls can be served."""
        return self.loaded() and self._membership.view is not None

    @property
    def leaving(self) -> bool:
        """Whether a planned stop has begun."""
        return self.stopping

    @property
    def services(self) -> abc.Mapping[str, documents.ServiceDocument]:
        """Service documents in force by service name."""
        return self._services

    def apply(self, document: object, version: int) -> None:
        """Stores a document that came into force, and its version."""
        if isinstance(document, documents.ServiceDocument):
            self._services[document.service] = document
            self._versions[document.service] = version
            return
        self._versions[documents.DEPLOYMENT_NAME] = version

    def document(self, service: str) -> documents.ServiceDocument | None:
        """Returns the service document in force, or None."""
        return self._services.get(service)

    def match(
        self,
        document: documents.ServiceDocument,
        method: str,
        path: str,
        organisation: str,
    ) -> matching.Match | None:
        """Returns the route and rules for a call, or None if none matches."""
        return matching.match(document, method, path, organisation)

    def refusal_reason(self, service: str) -> str:
        """Returns why this host refuses new calls of a service, or ''.

        The result is cached for 20 ms.
        """
        now_s = self._clock.monotonic()
        if now_s >= self._reason_cache_expires_s:
            self._reason_cache.clear()
            self._reason_cache_expires_s = now_s + _REASON_CACHE_S
        reason = self._reason_cache.get(service)
        if reason is None:
            reason = self._reason_cache[service] = self._find_reason(service)
        return reason

    def _find_reason(self, service: str) -> str:
        me = self._membership.me
        if self._domain_out(me.failure_domain):
            return 'domain-out'
        document = self._services[service]
        hosts = self._membership.serving_set(
            service, document.hosts_per_service
        )
        if all(member.host != me.host for member in hosts):
            self._joined_services.discard(service)
            self._join_started_s.pop(service, None)
            return 'wrong-host'
        if len(hosts) > 1 and self._is_joining(service):
            return 'joining'
        return ''

    def _is_joining(self, service: str) -> bool:
        """Returns whether this host joins a serving set but has no slots."""
        if service in self._joined_services:
            return False
        now_s = self._clock.monotonic()
        started_s = self._join_started_s.setdefault(service, now_s)
        if self.has_slots(service) or now_s - started_s >= _MAX_JOIN_S:
            self._joined_services.add(service)
            return False
        return True

    def addresses(
        self, service: str, organisation: str, method: str = '', path: str = ''
    ) -> calls.AddressAnswer:
        """Returns the entry hosts for a call, limited to its home regions.

        The serving set of this region comes first, then those of the other
        regions. Both are shuffled to distribute callers over the hosts.
        """
        document = self._services.get(service)
        homes = self._home_regions(document, method, path, organisation)
        members = [
            member
            for member in self._candidates(service, document)
            if not homes or member.region in homes
        ]
        return calls.AddressAnswer(
            hosts=tuple(self._make_address(member) for member in members),
            lifetime_ms=self._lifetime_ms,
            versions=dict(self._versions),
            any_path=_has_uniform_homes(document, organisation),
        )

    def remote_set(self, service: str, size: int) -> list[wire.Member]:
        """Returns the hosts of other regions that serve a service.

        Args:
            service: Name of the service.
            size: Number of hosts per region.
        """
        regions: dict[str, list[wire.Member]] = {}
        for member in self._membership.live_members():
            if member.region == self.region:
                continue
            if not self._domain_out(member.failure_domain):
                regions.setdefault(member.region, []).append(member)
        return [
            member
            for members in regions.values()
            for member in rendezvous.spread(service, members, size)
        ]

    def _candidates(
        self, service: str, document: documents.ServiceDocument | None
    ) -> list[wire.Member]:
        size = (
            document.hosts_per_service
            if document
            else _DEFAULT_SERVING_SET_SIZE
        )
        local = self._membership.serving_set(service, size)
        if (
            self.stopping
            or service in self._join_started_s.keys() - self._joined_services
        ):
            me = self._membership.me.host
            local = [member for member in local if member.host != me]
        remote = self.remote_set(service, size)
        return [*self._shuffled(local), *self._shuffled(remote)]

    def _shuffled(self, members: list[wire.Member]) -> list[wire.Member]:
        return self._rng.sample(members, len(members))

    def _home_regions(
        self,
        document: documents.ServiceDocument | None,
        method: str,
        path: str,
        organisation: str,
    ) -> tuple[str, ...]:
        if document is None or not path:
            return ()
        match = matching.match(document, method, path, organisation)
        return match.homes if match else ()

    def _make_address(self, member: wire.Member) -> calls.Address:
        return calls.Address(
            host=member.host,
            url=member.caller_url,
            failure_domain=member.failure_domain,
            region=member.region,
            origin_token=self._tokens.mint(member),
        )


def _has_uniform_homes(
    document: documents.ServiceDocument | None, organisation: str
) -> bool:
    """Returns whether all routes have the same homes for an organisation."""
    if document is None:
        return False
    homes = {
        frozenset(route.tenant_homes.get(organisation, route.homes))
        for route in document.routes
    }
    return len(homes) <= 1
