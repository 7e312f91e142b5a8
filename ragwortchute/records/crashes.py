"""Detection of requests that crash the targets that run them."""

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

# A request is blocked for `BLOCK_S` once it crashed this many targets.
BLOCK_TARGETS = 2
BLOCK_S = 600.0
MAX_SUSPECTS = 2048
MAX_BLOCKED = 2048

# This many crashed targets within the window are taken for an outage, such as a
# lost failure domain, unless a single request crashed half of them.
OUTAGE_TARGETS = 4
OUTAGE_WINDOW_S = 1.0
_MAX_TARGETS = 16

K = TypeVar('K')
V = TypeVar('V')

_KEY_CONTEXT = b'ragwortchute crash guard'
_DIGEST_BYTES = 16
_MAX_CALL_IDS = 4

# The loss of a failure domain breaks hundreds of connections at the same time.
# A token bucket limits the notices: a burst is sent immediately, so that other
# hosts recognise a resend of the request; after it, notices of 80 bytes to 13
# hosts stay below 2 KB/s.
_NOTICE_BURST = 8
_NOTICE_INTERVAL_S = 0.5
_MAX_NOTICES = 128


class _Suspect(msgspec.Struct, eq=False):
    """A request digest that crashed at least one target.

    Attributes:
        since_s: Monotonic time from which `BLOCK_S` counts: that of the latest
            crash, up to the one that blocked the digest.
        first_crash_s: Monotonic time of the first crash.
        targets: Names of the crashed targets; at most `_MAX_TARGETS`.
        call_ids: Latest calls of this host that crashed a target; at most
            `_MAX_CALL_IDS`.
    """

    since_s: float
    first_crash_s: float
    targets: tuple[str, ...] = ()
    call_ids: tuple[str, ...] = ()


class DigestCrashGuard(records.CrashGuard):
    """Blocks a request digest after it crashed two different targets.

    Hosts of a region send each other notices about crashes, which carry the
    digest. It is keyed with the deployment key: a plain hash would reveal a
    request to anyone who can guess its content.

    Args:
        clock: Clock for the expiry of blocks and the rate of notices.
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
        self._key = hmac.digest(deployment_key.encode(), _KEY_CONTEXT, 'sha256')
        self._suspects: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )
        self._blocked: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )
        self._crash_times_s: dict[str, float] = {}
        self._queued_notices: collections.OrderedDict[
            tuple[bytes, str], wire.CrashSuspect
        ] = collections.OrderedDict()
        self._bucket_level = float(_NOTICE_BURST)
        self._bucket_updated_s = clock.monotonic()
        self._notices_queued = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts receiving and sending notices."""
        self._transport.on(wire.CrashSuspect, self._on_crash_suspect)
        self._task = asyncio.create_task(self._send_notices())

    async def close(self) -> None:
        """Stops sending notices; queued ones are dropped."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait({self._task})

    def check(self, call: calls.Call) -> calls.Refusal | None:
        """Returns a refusal if the request is blocked, else None.

        The outcome is `unknown` if an earlier attempt of the same call crashed
        a target, because that target may have run the request. Otherwise it is
        `not-run`.
        """
        if not self._blocked:
            return None
        digest = self._digest(call)
        suspect = self._blocked.get(digest)
        if suspect is None:
            return None
        remaining_s = suspect.since_s + BLOCK_S - self._clock.monotonic()
        if remaining_s <= 0:
            del self._blocked[digest]
            return None
        attempted = call.call_id in suspect.call_ids
        return calls.Refusal(
            outcome=calls.Outcome.UNKNOWN
            if attempted
            else calls.Outcome.NOT_RUN,
            reason='crashes-targets',
            step='crash-guard',
            status=503,
            detail=f'the request broke {BLOCK_TARGETS} targets',
            retry_after_ms=-1,
        )

    def report_crash(
        self, call: calls.Call, target: str, started_s: float
    ) -> None:
        """Counts a crashed target and notifies the hosts of the region."""
        digest = self._digest(call)
        suspect = self._count_crash(digest, target, started_s)
        recent = suspect.call_ids[-(_MAX_CALL_IDS - 1) :]
        suspect.call_ids = (*recent, call.call_id)
        self._queue_notice(
            wire.CrashSuspect(
                service=call.service,
                digest=digest,
                target=target,
                cleared=False,
                age_ms=int((self._clock.monotonic() - started_s) * 1000),
            )
        )

    def report_answer(self, call: calls.Call) -> None:
        """Clears the request on this host and the hosts of the region."""
        if not self._suspects and not self._blocked:
            return
        digest = self._digest(call)
        if not self._clear_digest(digest):
            return
        self._queue_notice(
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

    def _count_crash(
        self, digest: bytes, target: str, started_s: float
    ) -> _Suspect:
        """Counts a target unless its attempt began before the first crash.

        Identical requests may have been in flight on several targets when
        those failed for another reason. Only a request that was sent again
        after a crash, and then crashed another target, is evidence.

        Args:
            digest: Digest of the request.
            target: Name of the crashed target.
            started_s: Start of the attempt in monotonic seconds.
        """
        now_s = self._clock.monotonic()
        suspect = self._blocked.get(digest) or self._suspects.pop(digest, None)
        if suspect is None or suspect.since_s + BLOCK_S <= now_s:
            self._blocked.pop(digest, None)
            suspect = _Suspect(now_s, now_s)
        known = suspect.targets
        counts = not known or started_s >= suspect.first_crash_s
        if counts and target not in known and len(known) < _MAX_TARGETS:
            suspect.targets += (target,)
        self._crash_times_s[target] = now_s
        if digest in self._blocked:
            self._lift_outage_blocks(now_s)
            return suspect
        suspect.since_s = now_s
        if len(suspect.targets) >= BLOCK_TARGETS:
            logging.warning(
                'records: request blocked, digest=%s targets=%s',
                digest.hex(),
                ','.join(suspect.targets),
            )
            _put_bounded(self._blocked, digest, suspect, MAX_BLOCKED)
        else:
            _put_bounded(self._suspects, digest, suspect, MAX_SUSPECTS)
        self._lift_outage_blocks(now_s)
        return suspect

    def _lift_outage_blocks(self, now_s: float) -> None:
        """Lifts blocks of requests that merely coincided with an outage.

        Args:
            now_s: Current monotonic time in seconds.
        """
        start_s = now_s - OUTAGE_WINDOW_S
        self._crash_times_s = {
            t: s for t, s in self._crash_times_s.items() if s >= start_s
        }
        crashed_targets = len(self._crash_times_s)
        if crashed_targets < OUTAGE_TARGETS:
            return
        for digest, suspect in list(self._blocked.items()):
            is_minority = len(suspect.targets) * 2 < crashed_targets
            if is_minority and suspect.since_s >= start_s:
                del self._blocked[digest]
                logging.info(
                    'records: block lifted, digest=%s broken_targets=%d',
                    digest.hex(),
                    crashed_targets,
                )

    def _clear_digest(self, digest: bytes) -> bool:
        """Forgets a digest; returns whether it was suspected or blocked."""
        known = self._suspects.pop(digest, None) is not None
        return self._blocked.pop(digest, None) is not None or known

    async def _on_crash_suspect(
        self, sender: str, message: wire.CrashSuspect
    ) -> None:
        if message.cleared:
            self._clear_digest(message.digest)
        else:
            started_s = self._clock.monotonic() - message.age_ms / 1000
            self._count_crash(message.digest, message.target, started_s)

    def _queue_notice(self, notice: wire.CrashSuspect) -> None:
        """Queues a notice; one that clears a digest replaces its others."""
        if notice.cleared:
            for name in [
                n for n in self._queued_notices if n[0] == notice.digest
            ]:
                del self._queued_notices[name]
        _put_bounded(
            self._queued_notices,
            (notice.digest, notice.target),
            notice,
            _MAX_NOTICES,
        )
        self._notices_queued.set()

    async def _send_notices(self) -> None:
        while True:
            await self._notices_queued.wait()
            while self._queued_notices:
                await self._take_bucket_token()
                if self._queued_notices:
                    _, notice = self._queued_notices.popitem(last=False)
                    await self._broadcast(notice)
            self._notices_queued.clear()

    async def _take_bucket_token(self) -> None:
        now_s = self._clock.monotonic()
        gained = (now_s - self._bucket_updated_s) / _NOTICE_INTERVAL_S
        self._bucket_level = min(
            float(_NOTICE_BURST), self._bucket_level + gained
        )
        self._bucket_updated_s = now_s
        if self._bucket_level < 1.0:
            await self._clock.sleep(
                (1.0 - self._bucket_level) * _NOTICE_INTERVAL_S
            )
            self._bucket_level = 1.0
            self._bucket_updated_s = self._clock.monotonic()
        self._bucket_level -= 1.0

    async def _broadcast(self, notice: wire.CrashSuspect) -> None:
        # Only hosts of this region are notified: the serving set of a service
        # lies within the region, and data of a call must not leave its home
        # regions, one of which is this region.
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


def _put_bounded(
    table: collections.OrderedDict[K, V], key: K, value: V, limit: int
) -> None:
    """Adds an item as the newest and drops the oldest beyond a limit.

    Args:
        table: Items from oldest to newest.
        key: Key of the item.
        value: The item.
        limit: Largest number of items.
    """
    table[key] = value
    table.move_to_end(key)
    while len(table) > limit:
        table.popitem(last=False)
