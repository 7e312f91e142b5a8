"""The documents that a host holds."""

from absl import logging

from ragwortchute import clock
from ragwortchute import distribution
from ragwortchute import errors
from ragwortchute import wire


class Holdings:
    """The highest accepted version of each document.

    Args:
        check: Decodes and checks a document.
        time_source: Clock for the time of application.
    """

    def __init__(
        self, check: distribution.Check, time_source: clock.Clock
    ) -> None:
        self._check = check
        self._clock = time_source
        self._held: dict[str, distribution.InForce] = {}
        self._refused: dict[str, int] = {}

    def get(self, name: str) -> distribution.InForce | None:
        """Returns a document, or None."""
        return self._held.get(name)

    def all(self) -> tuple[distribution.InForce, ...]:
        """Returns all documents by name."""
        return tuple(self._held[name] for name in sorted(self._held))

    def apply(self, body: wire.DocumentBody) -> distribution.InForce | None:
        """Takes over a document if it is newer and valid.

        Returns:
            The document, or None if it was not taken over.
        """
        if body.version <= self.known_version(body.name):
            return None
        try:
            document = self._check(body.name, body.value)
        except errors.DocumentError as exc:
            self._refused[body.name] = body.version
            logging.error(
                'distribution: document refused, name=%s version=%d cause=%s',
                body.name,
                body.version,
                exc,
            )
            return None
        held = distribution.InForce(
            name=body.name,
            version=body.version,
            since=self._clock.wall(),
            value=body.value,
            document=document,
        )
        self._held[body.name] = held
        logging.info(
            'distribution: document applied, name=%s version=%d',
            body.name,
            body.version,
        )
        return held

    def known_version(self, name: str) -> int:
        """Returns the highest version seen, refused ones included."""
        held = self._held.get(name)
        version = 0 if held is None else held.version
        return max(version, self._refused.get(name, 0))

    def known(self) -> tuple[wire.DocumentVersion, ...]:
        """Returns the highest versions seen, refused ones included.

        Refused versions are listed so that peers do not send them again.
        """
        names = sorted(self._held.keys() | self._refused.keys())
        return tuple(
            wire.DocumentVersion(name, self.known_version(name))
            for name in names
        )

    def newer_than(
        self, have: tuple[wire.DocumentVersion, ...], max_bytes: int
    ) -> tuple[wire.DocumentBody, ...]:
        """Returns documents that a peer lacks, as far as they fit."""
        versions = {item.name: item.version for item in have}
        bodies = []
        size = 0
        for held in self.all():
            if held.version <= versions.get(held.name, 0):
                continue
            size += len(held.value)
            if bodies and size > max_bytes:
                break
            bodies.append(
                wire.DocumentBody(held.name, held.version, held.value)
            )
        return tuple(bodies)
