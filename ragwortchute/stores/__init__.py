"""Access to the platform's object API."""

import abc

import msgspec

from ragwortchute import registry

# Passed to `put` to replace whatever is stored; not all stores allow it.
ANY_VERSION = -1

REGISTRY: registry.Registry[type['Store']] = registry.Registry('store')


class StoredObject(msgspec.Struct, frozen=True):
    """One version of an object.

    Attributes:
        name: Name, such as `documents/dispatch`.
        version: Version given by the store; higher is newer.
        value: Content.
    """

    name: str
    version: int
    value: bytes


class Store(abc.ABC):
    """Client of an object API with versions, conditional updates, watches."""

    @abc.abstractmethod
    async def get(self, name: str) -> StoredObject | None:
        """Returns the current version, or None if there is none.

        Raises:
            StoreUnavailable: No answer.
        """

    @abc.abstractmethod
    async def list(self, prefix: str) -> list[StoredObject]:
        """Returns all objects whose name starts with the prefix.

        Raises:
            StoreUnavailable: No answer.
        """

    @abc.abstractmethod
    async def put(
        self, name: str, value: bytes, *, expected_version: int
    ) -> StoredObject:
        """Writes a new version if the current one is the expected one.

        Args:
            name: Name of the object.
            value: Content, at most 1 MB.
            expected_version: Version to replace; 0 if it must not exist.

        Raises:
            VersionConflict: Another version was found.
            StoreUnavailable: No answer; `maybe_applied` tells whether the
                write may have taken effect.
        """

    @abc.abstractmethod
    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        timeout_s: float,
        may_be_stale: bool = False,
    ) -> 'WatchAnswer':
        """Waits for a change below a prefix.

        Args:
            prefix: Prefix of the names.
            after_revision: Revision of the last answer; 0 returns at once.
            timeout_s: Longest wait in seconds.
            may_be_stale: Whether the answer may be seconds old. A store may
                charge less for it.

        Raises:
            StoreUnavailable: No answer.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Releases connections."""


class WatchAnswer(msgspec.Struct, frozen=True):
    """What changed since a revision.

    Attributes:
        revision: Revision to pass to the next watch.
        objects: Current versions of the changed objects.
        removed: Names of the removed objects.
    """

    revision: int
    objects: tuple[StoredObject, ...] = ()
    removed: tuple[str, ...] = ()


class ListedHost(msgspec.Struct, frozen=True):
    """One entry of the platform's host list, object `hosts/<host>`.

    Attributes:
        host: Name of the host.
        peer_address: `IP:port` of its listener for peers.
        caller_url: Base URL of its listener for callers.
        failure_domain: Its failure domain.
        region: Its region.
        leaving: True if the platform is about to take it away.
    """

    host: str
    peer_address: str
    caller_url: str
    failure_domain: str
    region: str
    leaving: bool = False
