"""Recognition of requests that crash the targets that run them."""

import asyncio
import collections
import hashlib
import hmac
from typing import TypeVar

from absl import logging
import msgspec

from ragwortchute import calls
from ragwortchute import clock as clock_lib
from ragwortchute import errors
from ragwortchute import membership as membership_lib
from ragwortchute import peers
from ragwortchute import records
from ragwortchute import wire

BLOCK_TARGETS = 2
BLOCK_S = 600.0
MAX_SUSPECTS = 2048
MAX_BLOCKED = 2048

# Targets that break within a second from this number on are an outage, such
# as a lost failure domain, unless one request broke half of them.
OUTAGE_TARGETS = 4
OUTAGE_WINDOW_S = 1.0
_MAX_TARGETS = 16

K = TypeVar('K')
V = TypeVar('V')

_CONTEXT = b'ragwortchute crash guard'
_DIGEST_BYTES = 16
_MAX_CALL_IDS = 4

# A lost failure domain breaks hundreds of connections at once. The first
# notices leave at once, so that a resend elsewhere is recognised; the rest
# keeps below 2 KB/s to 13 hosts (80 bytes each).
_BURST = 8
_NOTICE_INTERVAL_S = 0.5
_MAX_NOTICES = 128


class _Suspect(msgspec.Struct, eq=False):
    """A digest that broke at least one target.

    Attributes:
        since_s: When the last target broke, in monotonic seconds.
        targets: Targets that broke; at most `_MAX_TARGETS`.
        call_ids: Latest calls of this host that broke a target.
    """

    since_s: float
    targets: tuple[str, ...] = ()
    call_ids: tuple[str, ...] = ()


class DigestCrashGuard(records.CrashGuard):
    """Blocks a request digest after it broke two different targets.

    Digests are keyed with the deployment key, so that a notice does not
    reveal a request that can be guessed.

    Args:
        clock: Source of time.
        transport: Carries notices to the hosts of the region.
        membership: This host and the hosts of its region.
        deployment_key: Secret that all hosts of the deployment share.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        transport: peers.Transport,
        membership: membership_lib.Membership,
        deployment_key: str,
    ) -> None:
        self._clock = clock
        self._transport = transport
        self._membership = membership
        self._key = hmac.digest(deployment_key.encode(), _CONTEXT, 'sha256')
        self._suspects: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )
        self._blocked: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )
        self._breaks: dict[str, float] = {}
        self._notices: collections.OrderedDict[
            tuple[bytes, str], wire.CrashSuspect
        ] = collections.OrderedDict()
        self._credit = float(_BURST)
        self._credit_s = clock.monotonic()
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begins to take and to send notices."""
        self._transport.on(wire.CrashSuspect, self._on_suspect)
        self._task = asyncio.create_task(self._send_notices())

    async def close(self) -> None:
        """Ends the sending of notices."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait({self._task})

    def check(self, call: calls.Call) -> calls.Refusal | None:
        """Returns a refusal if the request broke two targets.

        The outcome is `unknown` if an attempt of this same send broke a
        target, because that target may have run the request.
        """
        if not self._blocked:
            return None
        digest = self._digest(call)
        suspect = self._blocked.get(digest)
        if suspect is None:
            return None
        left_s = suspect.since_s + BLOCK_S - self._clock.monotonic()
        if left_s <= 0:
            del self._blocked[digest]
            return None
        tried = call.call_id in suspect.call_ids
        return calls.Refusal(
            outcome=calls.Outcome.UNKNOWN if tried else calls.Outcome.NOT_RUN,
            reason='crashes-targets',
            step='crash-guard',
            status=503,
            detail=f'the request broke {BLOCK_TARGETS} targets',
            retry_after_ms=-1,
        )

    def broke(self, call: calls.Call, target: str) -> None:
        """Counts a target that broke and tells the hosts of the region."""
        digest = self._digest(call)
        suspect = self._count(digest, target)
        kept = suspect.call_ids[-(_MAX_CALL_IDS - 1) :]
        suspect.call_ids = (*kept, call.call_id)
        self._notify(
            wire.CrashSuspect(
                service=call.service,
                digest=digest,
                target=target,
                cleared=False,
            )
        )

    def answered(self, call: calls.Call) -> None:
        """Clears the request here and on the hosts of the region."""
        if not self._suspects and not self._blocked:
            return
        digest = self._digest(call)
        if not self._clear(digest):
            return
        self._notify(
            wire.CrashSuspect(
                service=call.service, digest=digest, target='', cleared=True
            )
        )

    def _digest(self, call: calls.Call) -> bytes:
        digest = hashlib.blake2b(key=self._key, digest_size=_DIGEST_BYTES)
        for part in (
            call.service.encode(),
            call.method.encode(),
            call.path.encode(),
            call.body,
        ):
            digest.update(len(part).to_bytes(8))
            digest.update(part)
        return digest.digest()

    def _count(self, digest: bytes, target: str) -> _Suspect:
        now_s = self._clock.monotonic()
        suspect = self._blocked.get(digest) or self._suspects.pop(digest, None)
        if suspect is None or suspect.since_s + BLOCK_S <= now_s:
            self._blocked.pop(digest, None)
            suspect = _Suspect(now_s)
        known = suspect.targets
        if target not in known and len(known) < _MAX_TARGETS:
            suspect.targets += (target,)
        self._breaks[target] = now_s
        if digest in self._blocked:
            self._forgive(now_s)
            return suspect
        suspect.since_s = now_s
        if len(suspect.targets) >= BLOCK_TARGETS:
            logging.warning(
                'records: request blocked, digest=%s targets=%s',
                digest.hex(),
                ','.join(suspect.targets),
            )
            _put(self._blocked, digest, suspect, MAX_BLOCKED)
        else:
            _put(self._suspects, digest, suspect, MAX_SUSPECTS)
        self._forgive(now_s)
        return suspect

    def _forgive(self, now_s: float) -> None:
        """Lifts blocks of requests that only met an outage of targets."""
        start_s = now_s - OUTAGE_WINDOW_S
        self._breaks = {t: s for t, s in self._breaks.items() if s >= start_s}
        broken = len(self._breaks)
        if broken < OUTAGE_TARGETS:
            return
        for digest, suspect in list(self._blocked.items()):
            few = len(suspect.targets) * 2 < broken
            if few and suspect.since_s >= start_s:
                del self._blocked[digest]
                logging.info(
                    'records: block lifted, digest=%s broken_targets=%d',
                    digest.hex(),
                    broken,
                )

    def _clear(self, digest: bytes) -> bool:
        known = self._suspects.pop(digest, None) is not None
        return self._blocked.pop(digest, None) is not None or known

    async def _on_suspect(
        self, sender: str, message: wire.CrashSuspect
    ) -> None:
        if message.cleared:
            self._clear(message.digest)
        else:
            self._count(message.digest, message.target)

    def _notify(self, notice: wire.CrashSuspect) -> None:
        if notice.cleared:
            for name in [n for n in self._notices if n[0] == notice.digest]:
                del self._notices[name]
        _put(
            self._notices,
            (notice.digest, notice.target),
            notice,
            _MAX_NOTICES,
        )
        self._wake.set()

    async def _send_notices(self) -> None:
        while True:
            await self._wake.wait()
            while self._notices:
                await self._take_credit()
                if self._notices:
                    _, notice = self._notices.popitem(last=False)
                    await self._announce(notice)
            self._wake.clear()

    async def _take_credit(self) -> None:
        now_s = self._clock.monotonic()
        gained = (now_s - self._credit_s) / _NOTICE_INTERVAL_S
        self._credit = min(float(_BURST), self._credit + gained)
        self._credit_s = now_s
        if self._credit < 1.0:
            await self._clock.sleep((1.0 - self._credit) * _NOTICE_INTERVAL_S)
            self._credit = 1.0
            self._credit_s = self._clock.monotonic()
        self._credit -= 1.0

    async def _announce(self, notice: wire.CrashSuspect) -> None:
        # All hosts of a serving set are in this region, and a call is only
        # here if its home regions include it; other regions get nothing.
        me = self._membership.me
        await asyncio.gather(
            *(
                self._send(member.host, notice)
                for member in self._membership.live_members()
                if member.region == me.region and member.host != me.host
            )
        )

    async def _send(self, host: str, notice: wire.CrashSuspect) -> None:
        try:
            await self._transport.send(host, notice)
        except errors.PeerError as exc:
            logging.info('records: crash notice not sent: %s', exc)


def _put(
    table: collections.OrderedDict[K, V], key: K, value: V, limit: int
) -> None:
    """Adds an item and drops the oldest beyond the limit."""
    table[key] = value
    table.move_to_end(key)
    while len(table) > limit:
        table.popitem(last=False)
