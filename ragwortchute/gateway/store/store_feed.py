"""Interface of what receives the objects that a host reads from the store."""

import abc

from ragwortchute import stores

# How long after its wait a watch of the store is overdue. The answer of a slow
# store may take about as long. The hosts that read from the reader must not
# reach `max_age_s` before, as they would all ask the store themselves.
OVERDUE_S = 0.3


class Feed(abc.ABC):
    """Receives the objects below a prefix and their changes.

    Attributes:
        prefix: Prefix of the names in the store.
        entries_expire: Whether entries expire while their writers can't reach
            the store, and are written again afterwards.
        holds_configuration: Whether one of the objects is the configuration.
        watch_timeout_s: Longest wait of one watch of the store, in seconds.
            Each is billed as a call. One that is open while the store drops
            its history may miss a change without noticing, so it is renewed.
        max_age_s: Longest time in seconds since the replica was confirmed as
            the newest, after which the host reads the store itself.
        batch_delay_s: Pause in seconds after a change was read from the store,
            so that one call returns changes in close succession.
    """

    prefix = ''
    watch_timeout_s = 4.0
    max_age_s = float('inf')
    batch_delay_s = 0.3
    entries_expire = False
    holds_configuration = False

    @abc.abstractmethod
    def replace(
        self, objects: list[stores.StoredObject], revision: int
    ) -> None:
        """Replaces all objects by those of a revision."""

    @abc.abstractmethod
    def put(self, obj: stores.StoredObject, revision: int) -> None:
        """Adds or updates an object."""

    @abc.abstractmethod
    def remove(self, name: str, revision: int) -> None:
        """Removes an object."""

    def confirm(self, confirmed_s: float) -> None:
        """Notes the loop time until which the store had no later change."""
        del confirmed_s  # Most feeds have no use for it.
