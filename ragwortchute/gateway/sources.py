"""Order of the sources from which a host reads the objects of the store.

Load: every call to the store is billed, and its rate limits grow more slowly
than the number of hosts. So one host of each failure domain, the reader, reads
the store, and the others read its replica. A host whose source fails uses the
next one.
"""

from collections import abc

from ragwortchute.gateway import model


def domain_reader(
    failure_domain: str, hosts: abc.Iterable[model.HostEntry]
) -> model.HostEntry | None:
    """Returns the reader of a failure domain, None if it has no host.

    The host that has been running for longest is chosen: hosts that start or
    return leave the reader as it is.
    """
    candidates = [
        host for host in hosts if host.failure_domain == failure_domain
    ]
    if not candidates:
        return None
    return min(candidates, key=lambda host: (host.incarnation, host.name))


def source_order(
    me: model.HostEntry, hosts: list[model.HostEntry], *, settled: bool
) -> list[model.HostEntry | None]:
    """Returns the sources of a host in order of preference.

    Args:
        me: The host.
        hosts: Live hosts, including the host itself.
        settled: Whether the host has had time to learn of the others. Until
            then it only reads the store if it knows no other host of its
            failure domain: when hundreds of hosts start at the same time, each
            would take itself for the reader.

    Returns:
        Hosts whose replica can be read; None stands for the store.
    """
    others = [host for host in hosts if host.name != me.name]
    candidates = [*others, me] if settled else others
    reader = domain_reader(me.failure_domain, candidates)
    other_readers = [
        domain_reader(domain, others)
        for domain in sorted({host.failure_domain for host in others})
        if domain != me.failure_domain
    ]
    other_readers.sort(key=lambda host: host.region != me.region)
    if reader is None or reader.name == me.name:
        return [None, *other_readers]
    return [reader, None, *other_readers]
