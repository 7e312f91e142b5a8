"""The HTTP listener for callers, and its view of the host."""

import abc

from ragwortchute import calls
from ragwortchute import documents
from ragwortchute.documents import matching


class Directory(abc.ABC):
    """Documents in force, and the entry hosts that serve each call."""

    @property
    @abc.abstractmethod
    def region(self) -> str:
        """Region of this host."""

    @property
    @abc.abstractmethod
    def ready(self) -> bool:
        """Whether documents are in force, so that calls can be served."""

    @property
    @abc.abstractmethod
    def leaving(self) -> bool:
        """Whether this host has begun a planned stop."""

    @abc.abstractmethod
    def document(self, service: str) -> documents.ServiceDocument | None:
        """Returns the document in force of a service, or None.

        Args:
            service: Name of the service.
        """

    @abc.abstractmethod
    def match(
        self,
        document: documents.ServiceDocument,
        method: str,
        path: str,
        organisation: str,
    ) -> matching.Match | None:
        """Returns the route and rules for a call, or None if no route matches.

        Args:
            document: The document in force.
            method: HTTP method.
            path: Path at the target, percent-encoded as received and without
                the query.
            organisation: The organisation, or an empty string.
        """

    @abc.abstractmethod
    def refusal_reason(self, service: str) -> str:
        """Returns why this host accepts no new calls of a service, or ''.

        The reason is `wrong-host` if the host is not in the serving set of the
        service, and `domain-out` if its failure domain is out of service.

        Args:
            service: Name of the service.
        """

    @abc.abstractmethod
    def addresses(
        self, service: str, organisation: str, method: str = '', path: str = ''
    ) -> calls.AddressAnswer:
        """Returns the entry hosts for a call within its home regions.

        Args:
            service: Name of the service.
            organisation: The organisation, or an empty string.
            method: HTTP method, or an empty string if unknown.
            path: Path at the target, or an empty string if unknown.
        """
