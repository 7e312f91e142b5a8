"""Registration in the host list of the store, by which hosts find each other.

Load: hundreds of hosts start at the same time, or are restarted one after the
other, and each call to the store is billed. So only a few hosts of each failure
domain are listed. The others announce themselves to these, and all hosts learn
of each other by heartbeats.
"""

import asyncio
import math
import random

import msgspec

from ragwortchute import decoding
from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.gateway import application
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import model

MIN_RETRY_S = 0.5
# Hosts of each failure domain that are listed: the first live ones by name.
LISTED_PER_DOMAIN = 2
LISTED_CHECK_S = 5.0
# Longest wait for replies of the listed hosts, and pause between announcements.
REPLY_TIMEOUT_S = 1.0
ANNOUNCE_INTERVAL_S = 0.25
REPLY_CHECK_S = 0.02
# Hosts that find no other write their entries after a random delay of at most
# `SPREAD_S`. It is distributed so that about as many hosts write before the
# first entry can be seen in a stale read, whether few or many hosts start.
SPREAD_S = 3.0
_DELAY_SCALE = 0.2  # share of `SPREAD_S`
# Fields of an entry that must be up to date for others to reach the host.
_ADDRESS_FIELDS = ('failure_domain', 'caller_address', 'ip', 'peer_port')


class _HostRecord(msgspec.Struct, frozen=True):
    """Entry of the host list and its version in the store.

    Attributes:
        entry: The entry, None if it is malformed.
        version: Version of the object.
    """

    entry: model.HostEntry | None
    version: int


class Registration:
    """Finds the other hosts and keeps the host list usable.

    Args:
        gateway: This host.
        store: Client of the object API.
        prefix: Prefix of the names of host entries.
        log: Event log.
        spread_s: Longest delay in seconds before this host writes its entry if
            it finds no other.
    """

    def __init__(
        self,
        gateway: application.Gateway,
        store: stores.Store,
        prefix: str,
        log: eventlog.EventLog,
        spread_s: float = SPREAD_S,
    ) -> None:
        self._gateway = gateway
        self._membership = gateway.membership
        self._store = store
        self._prefix = prefix
        self._log = log
        self._spread_s = spread_s
        self._loop = asyncio.get_running_loop()
        self._listed: dict[str, _HostRecord] = {}
        self._revision = 0

    async def run(self) -> None:
        """Joins the other hosts and keeps the host list usable."""
        await self.join()
        while True:
            await asyncio.sleep(LISTED_CHECK_S)
            await self.check_listed()

    async def join(self) -> None:
        """Finds the other hosts and announces this one to them.

        Retries until the store answers or another host replies.
        """
        if not await self._read_first():
            return
        if self._listed:
            await self._wait_for_replies(REPLY_TIMEOUT_S)
        self._gateway.peers_searched = bool(self._listed)
        if not self._is_listed() and not self._has_joined():
            await self._list_if_alone()
        self._finish()

    async def check_listed(self) -> None:
        """Writes the entry of this host if it should be listed and is not.

        Hosts are found as long as one of the listed hosts is alive.
        """
        if self._gateway.leaving or self._is_listed():
            return
        if not self._membership.precedes_in_domain(
            LISTED_PER_DOMAIN, self._loop.time()
        ):
            return
        try:
            await self._write_entry()
        except errors.StoreError as exc:
            self._log.event('register-failed', error=str(exc))

    async def _read_first(self) -> bool:
        """Reads the host list for the first time.

        The answer may be seconds old. That suffices if a host replies.

        Returns:
            False if other hosts replied while the store did not.
        """
        while True:
            try:
                await self._read(may_be_stale=True)
                return True
            except errors.StoreError as exc:
                self._log.event('register-failed', error=str(exc))
            self._gateway.peers_searched = True
            await asyncio.sleep(MIN_RETRY_S + self._gateway.rng.random())
            if self._has_joined():
                self._finish()
                return False

    async def _list_if_alone(self) -> None:
        """Writes the entry of this host unless another one is found first."""
        delay_s = delay_before_entry_s(self._gateway.rng, self._spread_s)
        await self._wait_for_replies(delay_s)
        while not self._has_joined():
            try:
                await self._read(may_be_stale=True)
                await self._wait_for_replies(REPLY_TIMEOUT_S)
                if self._has_joined() or self._is_listed():
                    return
                await self._write_entry()
                # Of two hosts that write at the same time, at least one finds
                # the other.
                await self._read(may_be_stale=False)
                self._membership.announce_start(self._loop.time())
                if self._is_listed():
                    return
            except errors.StoreError as exc:
                self._log.event('register-failed', error=str(exc))
            await asyncio.sleep(MIN_RETRY_S + self._gateway.rng.random())

    def _finish(self) -> None:
        self._gateway.peers_searched = True
        self._gateway.registered.set()
        self._log.event(
            'joined',
            listed=self._is_listed(),
            hosts=len(self._gateway.hosts()),
        )

    async def _wait_for_replies(self, timeout_s: float) -> None:
        """Announces this host to the known hosts until one replies.

        Args:
            timeout_s: Longest wait in seconds.
        """
        end_s = self._loop.time() + timeout_s
        announced_s = float('-inf')
        while not self._has_joined():
            now_s = self._loop.time()
            if now_s >= end_s:
                return
            if now_s - announced_s >= ANNOUNCE_INTERVAL_S:
                announced_s = now_s
                self._membership.announce_start(now_s)
            await asyncio.sleep(REPLY_CHECK_S)

    def _has_joined(self) -> bool:
        return self._membership.joined(self._loop.time())

    def _is_listed(self) -> bool:
        own = self._listed.get(self._membership.me.name)
        return (
            own is not None
            and own.entry is not None
            and _has_same_addresses(own.entry, self._membership.me)
        )

    async def _write_entry(self) -> None:
        """Writes the entry of this host.

        Raises:
            StoreError: The store does not answer.
        """
        me = self._membership.me
        own = self._listed.get(me.name)
        try:
            stored = await self._store.put(
                self._prefix + me.name,
                msgspec.json.encode(me),
                expected_version=own.version if own else 0,
            )
        except errors.VersionConflict as exc:
            # The list that was read is outdated.
            self._log.event('register-conflict', error=str(exc))
            await self._read(may_be_stale=False)
            return
        self._listed[me.name] = _HostRecord(me, stored.version)

    async def _read(self, *, may_be_stale: bool) -> None:
        """Reads the host list, or its changes if it has been read before.

        Raises:
            StoreError: The store does not answer.
        """
        # Changes cannot be read in the cheaper stale mode.
        revision = 0 if may_be_stale else self._revision
        try:
            answer = await self._watch(revision, may_be_stale)
        except errors.HistoryGone:
            self._log.event(
                'history-gone', prefix=self._prefix, revision=revision
            )
            revision = 0
            answer = await self._watch(revision, may_be_stale=False)
        if not revision:
            self._listed = {}
        for name in answer.removed:
            self._listed.pop(name, None)
        for obj in answer.objects:
            self._listed[obj.name] = self._decode(obj)
        self._revision = answer.revision
        self._membership.note_listed(
            [record.entry for record in self._listed.values() if record.entry],
            self._loop.time(),
        )

    async def _watch(
        self, revision: int, may_be_stale: bool
    ) -> stores.WatchAnswer:
        return await self._store.watch(
            self._prefix,
            after_revision=revision,
            timeout_s=0,
            may_be_stale=may_be_stale,
        )

    def _decode(self, obj: stores.StoredObject) -> _HostRecord:
        try:
            entry = decoding.decode_json(obj.value, model.HostEntry)
        except errors.DecodeFailed as exc:
            self._log.event('host-malformed', name=obj.name, error=str(exc))
            entry = None
        return _HostRecord(entry, obj.version)


def delay_before_entry_s(rng: random.Random, spread_s: float) -> float:
    """Returns the delay before a host writes its entry, in seconds.

    The first hosts to write suppress the entries of the others. With this
    distribution, the number of hosts whose delay ends within a given time of
    the first one does not grow with the number of hosts that start.

    Args:
        rng: Source of randomness.
        spread_s: Longest delay in seconds.
    """
    if not spread_s:
        return 0.0
    delay_s = spread_s * (1 + _DELAY_SCALE * math.log(1.0 - rng.random()))
    return max(0.0, delay_s)


def _has_same_addresses(old: model.HostEntry, new: model.HostEntry) -> bool:
    return all(
        getattr(old, name) == getattr(new, name) for name in _ADDRESS_FIELDS
    )
