"""The documents in force at a host."""

from absl import logging

from ragwortchute import clock
from ragwortchute import distribution
from ragwortchute import errors
from ragwortchute import wire


class DocumentTable:
    """The highest valid version of each document that this host received.

    Args:
        check: Decodes and checks a document.
        time_source: Clock that gives the time at which a document is applied.
    """

    def __init__(
        self, check: distribution.Check, time_source: clock.Clock
    ) -> None:
        self._check = check
        self._clock = time_source
        self._documents: dict[str, distribution.AppliedDocument] = {}
        self._rejected_versions: dict[str, int] = {}

    def get(self, name: str) -> distribution.AppliedDocument | None:
        """Returns the document in force, or None."""
        return self._documents.get(name)

    def all(self) -> tuple[distribution.AppliedDocument, ...]:
        """Returns all documents in force, sorted by name."""
        return tuple(self._documents[name] for name in sorted(self._documents))

    def apply(
        self, body: wire.DocumentBody
    ) -> distribution.AppliedDocument | None:
        """Applies a document if it is valid and newer than all versions seen.

        Args:
            body: The document as received.

        Returns:
            The document, or None if it was not applied.
        """
        if body.version <= self.known_version(body.name):
            return None
        try:
            document = self._check(body.name, body.value)
        except errors.DocumentError as exc:
            self._rejected_versions[body.name] = body.version
            logging.error(
                'distribution: document refused, name=%s version=%d cause=%s',
                body.name,
                body.version,
                exc,
            )
            return None
        applied = distribution.AppliedDocument(
            name=body.name,
            version=body.version,
            since=self._clock.wall(),
            value=body.value,
            document=document,
        )
        self._documents[body.name] = applied
        logging.info(
            'distribution: document applied, name=%s version=%d',
            body.name,
            body.version,
        )
        return applied

    def known_version(self, name: str) -> int:
        """Returns the highest version seen, including invalid ones."""
        applied = self._documents.get(name)
        version = 0 if applied is None else applied.version
        return max(version, self._rejected_versions.get(name, 0))

    def known_versions(self) -> tuple[wire.DocumentVersion, ...]:
        """Returns the highest version seen of each document.

        Invalid versions are included, so that peers do not send them again.
        """
        names = sorted(self._documents.keys() | self._rejected_versions.keys())
        return tuple(
            wire.DocumentVersion(name, self.known_version(name))
            for name in names
        )

    def newer_than(
        self, known: tuple[wire.DocumentVersion, ...], max_bytes: int
    ) -> tuple[wire.DocumentBody, ...]:
        """Returns the documents in force that are newer than those of a peer.

        Args:
            known: Highest versions that the peer has seen.
            max_bytes: Largest total size of the contents. The first document
                is returned even if it is larger.
        """
        versions = {item.name: item.version for item in known}
        bodies = []
        size = 0
        for applied in self.all():
            if applied.version <= versions.get(applied.name, 0):
                continue
            size += len(applied.value)
            if bodies and size > max_bytes:
                break
            bodies.append(
                wire.DocumentBody(applied.name, applied.version, applied.value)
            )
        return tuple(bodies)
