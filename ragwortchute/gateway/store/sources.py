"""Order of the sources from which a host reads the objects of the store.

Load: every call to the store is billed, and its rate limits grow more slowly
than the number of hosts. So one host of each failure domain, the reader, reads
the store or the replica of another reader, and the others read its replica. Two
readers of each region read the store: if one of them can no longer reach it,
the heartbeats of the other tell of newer revisions. A host whose source fails
uses the next one.

If readers are lost, all hosts that have read from them look for another source
at the same moment. The store would send the configuration to each of them, with
every version since theirs, and over the link between two regions to hosts
elsewhere. A host therefore reads from an older host of its failure domain that
has been heard of lately, and only hosts that know of none read the store.
"""

from collections import abc

from ragwortchute.gateway import model

# Readers of a region that read the store.
STORE_READERS_PER_REGION = 2
# Age in seconds of a heartbeat up to which its host is likely to be running.
HEARD_S = 1.0
# Hosts that are read, one after the other, before the store is.
MAX_DEPUTIES = 2


def domain_reader(
    failure_domain: str, hosts: abc.Iterable[model.HostEntry]
) -> model.HostEntry | None:
    """Returns the reader of a failure domain, None if it has no host.

    The host that has been running for longest is chosen: hosts that start or
    return leave the reader as it is, and a host reads only from older hosts of
    its failure domain, so that two hosts never wait for each other.
    """
    candidates = [
        host for host in hosts if host.failure_domain == failure_domain
    ]
    if not candidates:
        return None
    return min(candidates, key=lambda host: (host.incarnation, host.name))


def source_order(
    me: model.HostEntry,
    hosts: list[model.HostEntry],
    heard: abc.Sequence[str] = (),
) -> list[model.HostEntry | None]:
    """Returns the sources of a host in order of preference.

    Args:
        me: The host.
        hosts: Live hosts, including the host itself.
        heard: Names of hosts that have been heard of lately, the last first.

    Returns:
        Hosts whose replica can be read; None stands for the store.
    """
    others = [host for host in hosts if host.name != me.name]
    reader = domain_reader(me.failure_domain, [*others, me])
    if reader.name != me.name:
        deputies = _deputies(me, reader, others, heard)
        return [reader, *deputies, None, *_other_readers(me, others)]
    store_readers = _store_readers(me.region, [*others, me])
    replicas = _other_readers(me, others)
    if me.name in {host.name for host in store_readers}:
        return [None, *replicas]
    return [*store_readers, None, *replicas]


def _deputies(
    me: model.HostEntry,
    reader: model.HostEntry,
    others: list[model.HostEntry],
    heard: abc.Sequence[str],
) -> list[model.HostEntry]:
    """Returns the hosts to read from if the reader fails.

    They are older than this host, so that two never wait for each other.
    """
    older = {
        host.name: host
        for host in others
        if host.failure_domain == me.failure_domain
        and (host.incarnation, host.name) < (me.incarnation, me.name)
        and host.name != reader.name
    }
    names = [name for name in heard if name in older]
    return [older[name] for name in names[:MAX_DEPUTIES]]


def _other_readers(
    me: model.HostEntry, others: list[model.HostEntry]
) -> list[model.HostEntry]:
    """Returns the readers of the other failure domains, the nearest first."""
    readers = [
        domain_reader(domain, others)
        for domain in sorted({host.failure_domain for host in others})
        if domain != me.failure_domain
    ]
    return sorted(readers, key=lambda host: host.region != me.region)


def _store_readers(
    region: str, hosts: list[model.HostEntry]
) -> list[model.HostEntry]:
    """Returns the readers of a region that read the store, by their age."""
    domains = {host.failure_domain for host in hosts if host.region == region}
    readers = [domain_reader(domain, hosts) for domain in domains]
    readers.sort(key=lambda host: (host.incarnation, host.name))
    return readers[:STORE_READERS_PER_REGION]
