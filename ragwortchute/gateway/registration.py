"""The list of hosts in the store, through which hosts find each other.

Load: all hosts start at one moment, or are restarted one after the other. A
host that is in the list already needs one cheap reading.
"""

import asyncio

import msgspec

from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.gateway import application
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import model

MIN_RETRY_S = 0.5
# Values of a host that its other hosts connect by.
_ADDRESSES = ('failure_domain', 'caller_address', 'ip', 'peer_port')


class _Listed(msgspec.Struct, frozen=True):
    """An entry of the list, with its version in the store."""

    entry: model.HostEntry
    version: int


async def register(
    gateway: application.Gateway,
    store: stores.Store,
    prefix: str,
    log: eventlog.EventLog,
) -> None:
    """Writes this host into the store and announces it to the hosts there.

    Args:
        gateway: This host.
        store: The object API.
        prefix: Prefix of the names of host entries.
        log: Takes log lines.
    """
    loop = asyncio.get_running_loop()
    membership = gateway.membership
    while True:
        try:
            entries = await _find_hosts(store, prefix, membership.me, log)
            break
        except errors.StoreError as exc:
            log.event('register-failed', error=str(exc))
            await asyncio.sleep(MIN_RETRY_S + gateway.rng.random())
    membership.learn(entries, loop.time())
    membership.announce_start(loop.time())
    gateway.registered.set()


async def _find_hosts(
    store: stores.Store,
    prefix: str,
    me: model.HostEntry,
    log: eventlog.EventLog,
) -> list[model.HostEntry]:
    """Returns the hosts in the store, after this one is among them.

    The first reading may be seconds old: if it has this host, that was written
    in an earlier life, and heartbeats tell of hosts that came since. Otherwise
    the entry is written before the changes since then are read, so that of two
    hosts that start at the same moment, one finds the other.
    """
    answer = await store.watch(
        prefix, after_revision=0, timeout_s=0, may_be_stale=True
    )
    listed = _decode(answer.objects, log)
    since = answer.revision
    while not _is_listed(me, listed):
        mine = listed.get(me.name)
        try:
            await store.put(
                prefix + me.name,
                msgspec.json.encode(me),
                expected_version=mine.version if mine else 0,
            )
        except errors.VersionConflict as exc:
            log.event('register-conflict', error=str(exc))
        try:
            answer = await store.watch(
                prefix, after_revision=since, timeout_s=0
            )
        except errors.HistoryGone:
            log.event('history-gone', prefix=prefix, revision=since)
            since = 0
            continue
        if not since:
            listed = {}
        for name in answer.removed:
            listed.pop(name, None)
        listed.update(_decode(answer.objects, log))
        # Changes may leave out what was just written; then all is read.
        since = 0
    return [one.entry for one in listed.values()]


def _is_listed(me: model.HostEntry, listed: dict[str, _Listed]) -> bool:
    mine = listed.get(me.name)
    return mine is not None and _same_addresses(mine.entry, me)


def _decode(
    objects: tuple[stores.StoredObject, ...], log: eventlog.EventLog
) -> dict[str, _Listed]:
    listed = {}
    for obj in objects:
        try:
            entry = msgspec.json.decode(obj.value, type=model.HostEntry)
        except msgspec.DecodeError as exc:
            log.event('host-malformed', name=obj.name, error=str(exc))
            continue
        listed[entry.name] = _Listed(entry, obj.version)
    return listed


def _same_addresses(old: model.HostEntry, new: model.HostEntry) -> bool:
    return all(getattr(old, name) == getattr(new, name) for name in _ADDRESSES)
