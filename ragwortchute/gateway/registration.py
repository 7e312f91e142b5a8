"""Registration in the host list of the store, by which hosts are discovered.

Load: all hosts start at the same time, or are restarted one after the other. A
host that is already listed reads the list once, in the cheaper stale mode.
"""

import asyncio

import msgspec

from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.gateway import application
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import model

MIN_RETRY_S = 0.5
# Fields of an entry that must be up to date for others to reach the host.
_ADDRESS_FIELDS = ('failure_domain', 'caller_address', 'ip', 'peer_port')


class _HostRecord(msgspec.Struct, frozen=True):
    """Entry of the host list and its version in the store."""

    entry: model.HostEntry
    version: int


async def register(
    gateway: application.Gateway,
    store: stores.Store,
    prefix: str,
    log: eventlog.EventLog,
) -> None:
    """Adds this host to the host list and announces it to the listed hosts.

    Retries until the store answers.

    Args:
        gateway: This host.
        store: Client of the object API.
        prefix: Prefix of the names of host entries.
        log: Event log.
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
    membership.add_entries(entries, loop.time())
    membership.announce_start(loop.time())
    gateway.registered.set()


async def _find_hosts(
    store: stores.Store,
    prefix: str,
    me: model.HostEntry,
    log: eventlog.EventLog,
) -> list[model.HostEntry]:
    """Returns the entries of the host list, which then includes this host.

    The first read may be seconds old. If it lists this host, an earlier
    incarnation wrote the entry, and heartbeats will tell of hosts that were
    added since. Otherwise the entry is written before the changes since that
    read are fetched, so that of two hosts that start at the same time, at least
    one finds the other.

    Raises:
        StoreError: The store does not answer.
    """
    answer = await store.watch(
        prefix, after_revision=0, timeout_s=0, may_be_stale=True
    )
    listed = _decode(answer.objects, log)
    read_revision = answer.revision
    while not _is_listed(me, listed):
        own = listed.get(me.name)
        try:
            await store.put(
                prefix + me.name,
                msgspec.json.encode(me),
                expected_version=own.version if own else 0,
            )
        except errors.VersionConflict as exc:
            log.event('register-conflict', error=str(exc))
        try:
            answer = await store.watch(
                prefix, after_revision=read_revision, timeout_s=0
            )
        except errors.HistoryGone:
            log.event('history-gone', prefix=prefix, revision=read_revision)
            read_revision = 0
            continue
        if not read_revision:
            listed = {}
        for name in answer.removed:
            listed.pop(name, None)
        listed.update(_decode(answer.objects, log))
        # The changes may not include the write above yet. In that case, the
        # next iteration reads the whole list.
        read_revision = 0
    return [record.entry for record in listed.values()]


def _is_listed(me: model.HostEntry, listed: dict[str, _HostRecord]) -> bool:
    own = listed.get(me.name)
    return own is not None and _has_same_addresses(own.entry, me)


def _decode(
    objects: tuple[stores.StoredObject, ...], log: eventlog.EventLog
) -> dict[str, _HostRecord]:
    listed = {}
    for obj in objects:
        try:
            entry = msgspec.json.decode(obj.value, type=model.HostEntry)
        except msgspec.DecodeError as exc:
            log.event('host-malformed', name=obj.name, error=str(exc))
            continue
        listed[entry.name] = _HostRecord(entry, obj.version)
    return listed


def _has_same_addresses(old: model.HostEntry, new: model.HostEntry) -> bool:
    return all(
        getattr(old, name) == getattr(new, name) for name in _ADDRESS_FIELDS
    )
