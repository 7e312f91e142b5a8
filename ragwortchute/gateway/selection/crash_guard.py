"""Detection of requests that crash the targets that execute them.

A caller may send such a request again and again, through any host, and crash
one target after the other. A host that sees a crash reports it to the hosts
that own the digest of the request. The owners count the crashed targets and,
at a threshold, tell all hosts to refuse the request.
"""

import abc
import collections

import msgspec
import xxhash

from ragwortchute.gateway import eventlog
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.peers import shares

# A request is refused after it has crashed this many targets.
BLOCK_AFTER_TARGETS = 2
BLOCK_S = 120.0
# Crashes that are further apart are not counted together.
CRASH_WINDOW_S = 60.0
# The second owner covers a lost datagram and a host that is down.
OWNERS_PER_DIGEST = 2
MAX_SUSPECTS = 2048
MAX_BLOCKED = 2048


class CrashNotice(msgspec.Struct, frozen=True, array_like=True):
    """Message between hosts on a request that crashes targets.

    Attributes:
        digest: Digest of the request.
        target: Name of a target that crashed while it executed the request.
            Empty if the message tells hosts to refuse the request.
        sent_age_s: Time since the request was sent to the target, in seconds.
        crash_age_s: Time since the target crashed, in seconds.
    """

    digest: int
    target: str = ''
    sent_age_s: float = 0.0
    crash_age_s: float = 0.0


class HostNotifier(abc.ABC):
    """Interface to the other hosts."""

    @abc.abstractmethod
    def alive_names(self, now_s: float) -> list[str]:
        """Returns the names of the live hosts, this one included."""

    @abc.abstractmethod
    def send_crash_notice(self, names: list[str], notice: CrashNotice) -> None:
        """Sends a notice to hosts, without a guarantee of delivery."""

    @abc.abstractmethod
    def send_answer_notice(self, names: list[str], key: int) -> None:
        """Tells hosts that a target has answered a request.

        Args:
            names: Names of the hosts.
            key: Digest of the request.
        """


class _Suspect(msgspec.Struct):
    """A request during whose execution at least one target crashed.

    Attributes:
        first_crash_s: Loop time of the first crash, in seconds.
        last_crash_s: Loop time of the last crash, in seconds.
        targets: Names of the targets that crashed.
    """

    first_crash_s: float
    last_crash_s: float
    targets: set[str]


class CrashGuard:
    """Blocks requests that have crashed `BLOCK_AFTER_TARGETS` targets.

    Args:
        me: Name of this host.
        hosts: The other hosts.
        log: Event log.
    """

    __slots__ = ('_blocked', '_hosts', '_log', '_me', '_suspects')

    def __init__(
        self, me: str, hosts: HostNotifier, log: eventlog.EventLog
    ) -> None:
        self._me = me
        self._hosts = hosts
        self._log = log
        self._suspects: collections.OrderedDict[int, _Suspect] = (
            collections.OrderedDict()
        )
        self._blocked: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def blocked_s(self, req: http_messages.Request, now_s: float) -> float:
        """Returns how long a request remains blocked; 0 if it is not blocked.

        Args:
            req: The request.
            now_s: Loop time in seconds.
        """
        if not self._blocked:
            return 0.0
        return max(0.0, self._blocked.get(digest(req), 0.0) - now_s)

    def report_crash(
        self,
        req: http_messages.Request,
        target: str,
        sent_s: float,
        lost_s: float,
        now_s: float,
    ) -> None:
        """Reports that a target crashed while it executed a request.

        Args:
            req: The request.
            target: Name of the target.
            sent_s: Loop time at which the request was sent, in seconds.
            lost_s: Loop time at which the connection broke, in seconds.
            now_s: Loop time in seconds.
        """
        notice = CrashNotice(
            digest(req), target, now_s - sent_s, now_s - lost_s
        )
        self._log.event(
            'crash-suspect', digest=f'{notice.digest:x}', target=target
        )
        owners = self._other_owners(notice.digest, now_s)
        self._hosts.send_crash_notice(owners, notice)
        # This host counts crashes as well: it may be cut off from the owners.
        self.handle_notice(notice, now_s)

    def note_answer(self, req: http_messages.Request, now_s: float) -> None:
        """Clears the suspicion of a request that a target has answered.

        The owners of its digest are told if this host suspected it, too.

        Args:
            req: The request.
            now_s: Loop time in seconds.
        """
        if not self._suspects:
            return
        key = digest(req)
        if self._suspects.pop(key, None) is not None:
            owners = self._other_owners(key, now_s)
            self._hosts.send_answer_notice(owners, key)

    def handle_answer_notice(self, key: int) -> None:
        """Clears a suspicion because another host received an answer."""
        self._suspects.pop(key, None)

    def handle_notice(self, notice: CrashNotice, now_s: float) -> None:
        """Handles a notice of this or another host."""
        if not notice.target:
            self._block(notice.digest, now_s)
        elif self._count_crash(notice, now_s):
            self._block(notice.digest, now_s)
            others = set(self._hosts.alive_names(now_s)) - {self._me}
            self._hosts.send_crash_notice(
                sorted(others), CrashNotice(notice.digest)
            )

    def _other_owners(self, key: int, now_s: float) -> list[str]:
        """Returns the other hosts that count the crashes of a request."""
        names = frozenset(self._hosts.alive_names(now_s))
        owners = shares.owners(f'{key:x}', names, OWNERS_PER_DIGEST)
        return sorted(owners - {self._me})

    def _count_crash(self, notice: CrashNotice, now_s: float) -> bool:
        """Counts a crash; tells whether the request must be blocked now.

        A crash does not count if its request was sent before the first crash:
        several targets that execute equal requests may all go down in one
        outage without the request being the cause.
        """
        crashed_s = now_s - notice.crash_age_s
        sent_s = now_s - notice.sent_age_s
        suspect = self._suspects.pop(notice.digest, None)
        if suspect is None or crashed_s - suspect.last_crash_s > CRASH_WINDOW_S:
            suspect = _Suspect(crashed_s, crashed_s, set())
        if not suspect.targets or sent_s >= suspect.first_crash_s:
            suspect.targets.add(notice.target)
            suspect.last_crash_s = max(suspect.last_crash_s, crashed_s)
        _put_bounded(self._suspects, notice.digest, suspect, MAX_SUSPECTS)
        blocked = self._blocked.get(notice.digest, 0.0) > now_s
        return len(suspect.targets) >= BLOCK_AFTER_TARGETS and not blocked

    def _block(self, key: int, now_s: float) -> None:
        blocked = self._blocked.get(key, 0.0) > now_s
        _put_bounded(self._blocked, key, now_s + BLOCK_S, MAX_BLOCKED)
        if not blocked:
            self._log.event('request-blocked', digest=f'{key:x}', for_s=BLOCK_S)


def digest(req: http_messages.Request) -> int:
    """Returns a hash of a request that does not depend on its identity.

    It covers the method, host name, request target and body.
    """
    hashed = xxhash.xxh3_64()
    for part in (req.method, req.host, req.target):
        hashed.update(part.encode('latin-1') + b'\0')
    for body_part in req.body_parts:
        hashed.update(body_part)
    return hashed.intdigest()


def _put_bounded(
    table: collections.OrderedDict, key: int, value: object, limit: int
) -> None:
    """Stores an item as the newest and drops the oldest beyond the limit."""
    table[key] = value
    table.move_to_end(key)
    while len(table) > limit:
        table.popitem(last=False)
