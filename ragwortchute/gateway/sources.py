"""Order of the sources from which a host reads the objects of the store.

Load: every call to the store is billed, and its rate limits grow more slowly
than the number of hosts. So one host of each failure domain, the reader, reads
the store, and the others read its replica. A host whose source fails uses the
next one.
"""

from collections import abc

from ragwortchute.gateway import model

DIRECT = ''


def domain_reader(
    failure_domain: str, hosts: abc.Iterable[model.HostEntry]
) -> model.HostEntry | None:
    """Returns the reader of a failure domain, None if it has no host."""
    hosts_by_name = {
        host.name: host
        for host in hosts
        if host.failure_domain == failure_domain
    }
    return hosts_by_name[min(hosts_by_name)] if hosts_by_name else None


def source_order(
    me: model.HostEntry, hosts: list[model.HostEntry]
) -> list[model.HostEntry | None]:
    """Returns the sources of a host in order of preference.

    Args:
        me: The host.
        hosts: Live hosts, including the host itself.

    Returns:
        Hosts whose replica can be read; None stands for the store.
    """
    reader = domain_reader(me.failure_domain, [*hosts, me])
    other_readers = [
        domain_reader(domain, hosts)
        for domain in sorted({host.failure_domain for host in hosts})
        if domain != me.failure_domain
    ]
    other_readers.sort(key=lambda host: host.region != me.region)
    if reader is None or reader.name == me.name:
        return [None, *other_readers]
    return [reader, None, *other_readers]
