"""Choice of where a host reads the store's contents from.

Load: every call to the store is paid for, and its rates grow more slowly than
the number of hosts. One host of each failure domain reads the store, the
others read that host's copy. A host whose source fails turns to the next one.
"""

from collections import abc

from ragwortchute.gateway import model

DIRECT = ''


def reader_of(
    failure_domain: str, hosts: abc.Iterable[model.HostEntry]
) -> model.HostEntry | None:
    """Returns the host of a failure domain that reads the store."""
    names = {
        host.name: host
        for host in hosts
        if host.failure_domain == failure_domain
    }
    return names[min(names)] if names else None


def order(
    me: model.HostEntry, hosts: list[model.HostEntry]
) -> list[model.HostEntry | None]:
    """Returns sources in the order in which a host should use them.

    Args:
        me: The host.
        hosts: Hosts that are alive, the host itself included.

    Returns:
        Hosts whose copy can be read; None stands for the store.
    """
    reader = reader_of(me.failure_domain, [*hosts, me])
    others = [
        reader_of(domain, hosts)
        for domain in sorted({host.failure_domain for host in hosts})
        if domain != me.failure_domain
    ]
    others.sort(key=lambda host: host.region != me.region)
    if reader is None or reader.name == me.name:
        return [None, *others]
    return [reader, None, *others]
