"""Distribution of documents and domain orders from the store to all hosts."""

from collections import abc

import msgspec

from ragwortchute import documents

# Called with the name and the content of a document; returns the decoded
# document. Raises DocumentError if the content is invalid.
Check = abc.Callable[[str, bytes], object]

PREFIX = 'documents/'


class AppliedDocument(msgspec.Struct, frozen=True):
    """The version of a document that is in force at this host.

    Attributes:
        name: Name of the document.
        version: Version in the store.
        since: Wall-clock time in seconds at which this host applied it.
        value: Encoded content.
        document: Decoded content.
    """

    name: str
    version: int
    since: float
    value: bytes
    document: object


class DomainStatus(msgspec.Struct, frozen=True):
    """State of one failure domain, as seen by this host.

    Attributes:
        failure_domain: Name of the failure domain.
        state: Effective state, with damping applied.
        recorded: State in the deployment document.
        orders: Ids of the orders that are not recorded in it yet.
        damped_s: Remaining seconds for which damping keeps it out.
    """

    failure_domain: str
    state: documents.DomainState
    recorded: documents.DomainState
    orders: tuple[str, ...]
    damped_s: float
