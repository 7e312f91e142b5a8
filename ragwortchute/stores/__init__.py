"""Access to the platform's object API."""

import abc

import msgspec

from ragwortchute import progress as progress_
from ragwortchute import registry

# Passed to `put` to write unconditionally; not all stores support it.
ANY_VERSION = -1

REGISTRY: registry.Registry[type['Store']] = registry.Registry('store')


class StoredObject(msgspec.Struct, frozen=True):
    """One version of an object.

    Attributes:
        name: Name, such as `documents/dispatch`.
        version: Version assigned by the store; a higher one is newer.
        value: Content.
    """

    name: str
    version: int
    value: bytes

    def __repr__(self) -> str:
        # The value may hold keys.
        return (
            f'StoredObject({self.name!r}, version={self.version}, '
            f'{len(self.value)} bytes)'
        )


class Store(abc.ABC):
    """Client of an object store with versions, conditional puts and watches."""

    @abc.abstractmethod
    async def get(self, name: str) -> StoredObject | None:
        """Returns the current version of an object, or None if there is none.

        Raises:
            StoreUnavailable: The store did not answer.
        """

    @abc.abstractmethod
    async def list(self, prefix: str) -> list[StoredObject]:
        """Returns all objects whose names start with a prefix.

        Raises:
            StoreUnavailable: The store did not answer.
        """

    @abc.abstractmethod
    async def put(
        self, name: str, value: bytes, *, expected_version: int
    ) -> StoredObject:
        """Writes a new version if the current version is the expected one.

        Args:
            name: Name of the object.
            value: Content, at most 1 MB.
            expected_version: Version to replace; 0 if the object must not
                exist yet, or `ANY_VERSION`.

        Returns:
            The object that was written.

        Raises:
            VersionConflict: The current version is another one.
            StoreUnavailable: The store did not answer; `maybe_applied` states
                whether the write may have been applied.
        """

    @abc.abstractmethod
    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        timeout_s: float,
        may_be_stale: bool = False,
        progress: progress_.Progress | None = None,
    ) -> 'WatchAnswer':
        """Waits for changes of objects whose names start with a prefix.

        Args:
            prefix: Prefix of the names.
            after_revision: Revision of the last answer; 0 returns all objects
                at once.
            timeout_s: Longest wait in seconds.
            may_be_stale: Whether the answer may be some seconds old, which a
                store may charge less for.
            progress: Updated while the answer arrives, if the client can tell.

        Returns:
            The changes since `after_revision`; none after a timeout.

        Raises:
            StoreUnavailable: The store did not answer.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""


class WatchAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes since a revision.

    Attributes:
        revision: Revision to pass to the next watch.
        objects: Current versions of the changed objects.
        removed: Names of the removed objects.
        confirmed_after_s: Seconds from the request to the time at which the
            store is known to have had no later change; negative if a replica
            answered that was confirmed before the request.
    """

    revision: int
    objects: tuple[StoredObject, ...] = ()
    removed: tuple[str, ...] = ()
    confirmed_after_s: float = 0.0


class ListedHost(msgspec.Struct, frozen=True):
    """One entry of the platform's host list, stored as `hosts/<host>`.

    Attributes:
        host: Name of the host.
        peer_address: `IP:port` at which it listens for peers.
        caller_url: Base URL at which it listens for callers.
        failure_domain: Its failure domain.
        region: Its region.
        leaving: True if the platform is about to remove it.
    """

    host: str
    peer_address: str
    caller_url: str
    failure_domain: str
    region: str
    leaving: bool = False
