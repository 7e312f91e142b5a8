"""Distribution of documents and domain orders between store and hosts."""

from collections import abc

import msgspec

from ragwortchute import documents

# Decodes and checks the content of a document by name, and returns the
# decoded document. Raises DocumentError if the content is refused.
Check = abc.Callable[[str, bytes], object]

PREFIX = 'documents/'


class InForce(msgspec.Struct, frozen=True):
    """A document that this host works with.

    Attributes:
        name: Name of the document.
        version: Its version in the store.
        since: Wall-clock seconds at which this host applied it.
        value: Its content.
        document: The decoded content.
    """

    name: str
    version: int
    since: float
    value: bytes
    document: object


class DomainStatus(msgspec.Struct, frozen=True):
    """State of one failure domain at this host.

    Attributes:
        failure_domain: Name of the failure domain.
        state: State that calls see, damping included.
        recorded: State in the deployment document.
        orders: Ids of orders that are not recorded yet.
        damped_s: Seconds for which damping still keeps it out.
    """

    failure_domain: str
    state: documents.DomainState
    recorded: documents.DomainState
    orders: tuple[str, ...]
    damped_s: float
