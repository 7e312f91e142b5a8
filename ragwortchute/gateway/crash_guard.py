"""Recognition of requests that crash the targets that run them.

Load: a request that crashes each target, sent again by its caller at any
host. Hosts report a crash to the hosts that own the request's digest; those
count the targets and tell all hosts to refuse the request.
"""

import abc
import collections

import msgspec
import xxhash

from ragwortchute.gateway import eventlog
from ragwortchute.gateway import http_server
from ragwortchute.gateway import pacing

BLOCK_TARGETS = 2
BLOCK_S = 120.0
# Crashes that lie further apart are not counted together.
SUSPECT_S = 60.0
# A second owner covers a datagram that is lost and a host that is gone.
OWNERS = 2
MAX_SUSPECTS = 2048
MAX_BLOCKED = 2048


class CrashNotice(msgspec.Struct, frozen=True, array_like=True):
    """What hosts tell each other of a request that crashes targets.

    Attributes:
        digest: Digest of the request.
        target: Target that crashed while it ran the request; empty if the
            request is to be refused.
        sent_age_s: Time since the request was sent to the target.
        crash_age_s: Time since the target crashed.
    """

    digest: int
    target: str = ''
    sent_age_s: float = 0.0
    crash_age_s: float = 0.0


class Hosts(abc.ABC):
    """The other hosts, as far as the guard needs them."""

    @abc.abstractmethod
    def names(self, now_s: float) -> list[str]:
        """Returns the names of the hosts that are alive, this one included."""

    @abc.abstractmethod
    def tell(self, names: list[str], notice: CrashNotice) -> None:
        """Sends a notice to hosts; it may be lost."""


class _Suspect(msgspec.Struct):
    """A request that ran on at least one target that crashed.

    Attributes:
        first_s: Loop time of the first crash.
        last_s: Loop time of the last crash.
        targets: Names of the targets.
    """

    first_s: float
    last_s: float
    targets: set[str]


class CrashGuard:
    """Refuses a request after it has crashed two targets.

    Args:
        me: Name of this host.
        hosts: The other hosts.
        log: Takes log lines.
    """

    __slots__ = ('_blocked', '_hosts', '_log', '_me', '_suspects')

    def __init__(self, me: str, hosts: Hosts, log: eventlog.EventLog) -> None:
        self._me = me
        self._hosts = hosts
        self._log = log
        self._suspects: collections.OrderedDict[int, _Suspect] = (
            collections.OrderedDict()
        )
        self._blocked: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def blocked_s(self, req: http_server.Request, now_s: float) -> float:
        """Returns for how long a request is refused; 0 if it may run."""
        if not self._blocked:
            return 0.0
        return max(0.0, self._blocked.get(digest(req), 0.0) - now_s)

    def crashed(
        self,
        req: http_server.Request,
        target: str,
        sent_s: float,
        lost_s: float,
        now_s: float,
    ) -> None:
        """Reports that a target crashed while it ran a request.

        Args:
            req: The request.
            target: Name of the target.
            sent_s: Loop time at which the request was sent to the target.
            lost_s: Loop time at which the connection broke.
            now_s: Loop time.
        """
        notice = CrashNotice(
            digest(req), target, now_s - sent_s, now_s - lost_s
        )
        names = frozenset(self._hosts.names(now_s))
        owners = pacing.owners(f'{notice.digest:x}', names, OWNERS)
        self._log.event(
            'crash-suspect', digest=f'{notice.digest:x}', target=target
        )
        self._hosts.tell(sorted(owners - {self._me}), notice)
        # This host counts too: it may be cut off from the owners.
        self.received(notice, now_s)

    def answered(self, req: http_server.Request) -> None:
        """Takes over that a target has answered a request."""
        if self._suspects:
            self._suspects.pop(digest(req), None)

    def received(self, notice: CrashNotice, now_s: float) -> None:
        """Takes over a notice of another host."""
        if not notice.target:
            self._block(notice.digest, now_s)
        elif self._count(notice, now_s):
            self._block(notice.digest, now_s)
            others = set(self._hosts.names(now_s)) - {self._me}
            self._hosts.tell(sorted(others), CrashNotice(notice.digest))

    def _count(self, notice: CrashNotice, now_s: float) -> bool:
        """Counts a crash; tells whether the request is to be refused now.

        A request that was sent before the first crash does not count: equal
        requests that run on several targets in an outage prove nothing.
        """
        crashed_s = now_s - notice.crash_age_s
        sent_s = now_s - notice.sent_age_s
        suspect = self._suspects.pop(notice.digest, None)
        if suspect is None or crashed_s - suspect.last_s > SUSPECT_S:
            suspect = _Suspect(crashed_s, crashed_s, set())
        if not suspect.targets or sent_s >= suspect.first_s:
            suspect.targets.add(notice.target)
            suspect.last_s = max(suspect.last_s, crashed_s)
        _keep(self._suspects, notice.digest, suspect, MAX_SUSPECTS)
        known = self._blocked.get(notice.digest, 0.0) > now_s
        return len(suspect.targets) >= BLOCK_TARGETS and not known

    def _block(self, key: int, now_s: float) -> None:
        known = self._blocked.get(key, 0.0) > now_s
        _keep(self._blocked, key, now_s + BLOCK_S, MAX_BLOCKED)
        if not known:
            self._log.event('request-blocked', digest=f'{key:x}', for_s=BLOCK_S)


def digest(req: http_server.Request) -> int:
    """Returns what equal requests have in common, with any identity."""
    hashed = xxhash.xxh3_64()
    for part in (req.method, req.host, req.target):
        hashed.update(part.encode('latin-1') + b'\0')
    hashed.update(req.body)
    return hashed.intdigest()


def _keep(
    table: collections.OrderedDict, key: int, value: object, limit: int
) -> None:
    """Adds an item and drops the oldest beyond the limit."""
    table[key] = value
    table.move_to_end(key)
    while len(table) > limit:
        table.popitem(last=False)
