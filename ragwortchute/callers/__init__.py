"""The listener for callers."""

import abc

from ragwortchute import calls
from ragwortchute import documents
from ragwortchute.documents import matching


class Directory(abc.ABC):
    """What the listener needs to know of documents and other hosts."""

    @property
    @abc.abstractmethod
    def region(self) -> str:
        """Region of this host."""

    @property
    @abc.abstractmethod
    def ready(self) -> bool:
        """Whether documents are in force and calls can be served."""

    @property
    @abc.abstractmethod
    def leaving(self) -> bool:
        """Whether a planned stop began."""

    @abc.abstractmethod
    def document(self, service: str) -> documents.ServiceDocument | None:
        """Returns the document in force, or None."""

    @abc.abstractmethod
    def match(
        self,
        document: documents.ServiceDocument,
        method: str,
        path: str,
        tenant: str,
    ) -> matching.Match | None:
        """Returns the rules for a call, or None if no route matches.

        Args:
            document: The document in force.
            method: HTTP method.
            path: Path at the target as received, percent-encoded, without
                a query.
            tenant: Tenant, or an empty string.
        """

    @abc.abstractmethod
    def refusal_reason(self, service: str) -> str:
        """Returns why this host takes no new work of a service, or ''.

        Reasons are `wrong-host` if it is outside the serving set, and
        `domain-out` if its failure domain is out.
        """

    @abc.abstractmethod
    def addresses(
        self, service: str, tenant: str, method: str = '', path: str = ''
    ) -> calls.AddressAnswer:
        """Returns the entry hosts for a call, those of its home regions."""
