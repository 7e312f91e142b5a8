"""Documents in force and the entry hosts that callers are sent to."""

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

_DEFAULT_SET_SIZE = 4
# The serving set costs about 50 us to compute, too much for each call.
_REASON_LIFE_S = 0.02
# A host that joins a serving set needs proofs that targets are warm or the
# right to send to cold ones; calls sent to it before waited for a slot until
# their deadline. After this time they wait, as elsewhere.
_JOIN_S = 10.0


class HostDirectory(callers.Directory):
    """What the listener for callers needs to know.

    Args:
        membership: Hosts of all regions and the serving sets of this one.
        tokens: Makes the origin tokens of address answers.
        domain_out: Tells whether a failure domain takes no work.
        rng: Spreads callers over the hosts of a serving set.
        clock: Source of time.
        lifetime_ms: How long callers keep an address answer.

    Attributes:
        loaded: Whether the documents in force are known.
        stopping: Whether a planned stop began.
        has_slots: Tells whether this host may send to a target of a service.
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
        self._joined_s: dict[str, float] = {}
        self._serving: set[str] = set()
        self._membership = membership
        self._tokens = tokens
        self._domain_out = domain_out
        self._rng = rng
        self._clock = clock
        self._reasons: dict[str, str] = {}
        self._reasons_until_s = float('-inf')
        self._lifetime_ms = lifetime_ms
        self._services: dict[str, documents.ServiceDocument] = {}
        self._versions: dict[str, int] = {}

    @property
    def region(self) -> str:
        """Region of this host."""
        return self._membership.me.region

    @property
    def ready(self) -> bool:
        """Whether documents are in force and calls can be served."""
        return self.loaded() and self._membership.view is not None

    @property
    def leaving(self) -> bool:
        """Whether a planned stop began."""
        return self.stopping

    @property
    def services(self) -> abc.Mapping[str, documents.ServiceDocument]:
        """Service documents in force by service."""
        return self._services

    def apply(self, document: object, version: int) -> None:
        """Takes over a document that came into force."""
        if isinstance(document, documents.ServiceDocument):
            self._services[document.service] = document
            self._versions[document.service] = version
            return
        self._versions[documents.DEPLOYMENT_NAME] = version

    def document(self, service: str) -> documents.ServiceDocument | None:
        """Returns the document in force, or None."""
        return self._services.get(service)

    def match(
        self,
        document: documents.ServiceDocument,
        method: str,
        path: str,
        tenant: str,
    ) -> matching.Match | None:
        """Returns the rules for a call, or None if no route matches."""
        return matching.match(document, method, path, tenant)

    def refusal_reason(self, service: str) -> str:
        """Returns why this host takes no new work of a service, or ''.

        The reason may be 20 ms old.
        """
        now_s = self._clock.monotonic()
        if now_s >= self._reasons_until_s:
            self._reasons.clear()
            self._reasons_until_s = now_s + _REASON_LIFE_S
        reason = self._reasons.get(service)
        if reason is None:
            reason = self._reasons[service] = self._find_reason(service)
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
            self._serving.discard(service)
            self._joined_s.pop(service, None)
            return 'wrong-host'
        if len(hosts) > 1 and self._is_joining(service):
            return 'joining'
        return ''

    def _is_joining(self, service: str) -> bool:
        """Tells whether this host is new in a serving set and has no slots."""
        if service in self._serving:
            return False
        now_s = self._clock.monotonic()
        since_s = self._joined_s.setdefault(service, now_s)
        if self.has_slots(service) or now_s - since_s >= _JOIN_S:
            self._serving.add(service)
            return False
        return True

    def addresses(
        self, service: str, tenant: str, method: str = '', path: str = ''
    ) -> calls.AddressAnswer:
        """Returns the entry hosts for a call, those of its home regions.

        The serving set of this region comes first, in random order so that
        callers spread over it, then that of the other regions.
        """
        document = self._services.get(service)
        homes = self._homes(document, method, path, tenant)
        members = [
            member
            for member in self._candidates(service, document)
            if not homes or member.region in homes
        ]
        return calls.AddressAnswer(
            hosts=tuple(self._address(member) for member in members),
            lifetime_ms=self._lifetime_ms,
            versions=dict(self._versions),
            any_path=_same_homes(document, tenant),
        )

    def remote_set(self, service: str, size: int) -> list[wire.Member]:
        """Returns the hosts of other regions that serve a service."""
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
        size = document.hosts_per_service if document else _DEFAULT_SET_SIZE
        local = self._membership.serving_set(service, size)
        if self.stopping or service in self._joined_s.keys() - self._serving:
            me = self._membership.me.host
            local = [member for member in local if member.host != me]
        remote = self.remote_set(service, size)
        return [*self._shuffled(local), *self._shuffled(remote)]

    def _shuffled(self, members: list[wire.Member]) -> list[wire.Member]:
        return self._rng.sample(members, len(members))

    def _homes(
        self,
        document: documents.ServiceDocument | None,
        method: str,
        path: str,
        tenant: str,
    ) -> tuple[str, ...]:
        if document is None or not path:
            return ()
        match = matching.match(document, method, path, tenant)
        return match.homes if match else ()

    def _address(self, member: wire.Member) -> calls.Address:
        return calls.Address(
            host=member.host,
            url=member.caller_url,
            failure_domain=member.failure_domain,
            region=member.region,
            origin_token=self._tokens.mint(member),
        )


def _same_homes(
    document: documents.ServiceDocument | None, tenant: str
) -> bool:
    """Tells whether all routes have the same home regions for a tenant."""
    if document is None:
        return False
    homes = {
        frozenset(route.tenant_homes.get(tenant, route.homes))
        for route in document.routes
    }
    return len(homes) <= 1
