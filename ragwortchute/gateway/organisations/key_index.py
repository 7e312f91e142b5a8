"""Index from the keys of a configuration to its organisations.

Load: 10,000 organisations with two keys each. The index is built once for each
configuration, and a look-up is one access to a dictionary.
"""

import itertools
import re

from ragwortchute.gateway import model

# Keys of earlier configurations that are remembered, so that their refusal can
# be told from that of a key that never existed.
MAX_WITHDRAWN = 16384
# Names are sent in headers: no control characters, no space at either end.
_SENDABLE = re.compile(
    r'[^\x00-\x20\x7f](?:[^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?'
)


class KeyIndex:
    """Organisations of a configuration by key and by name.

    An organisation whose name cannot be sent in a header is left out. A key of
    several organisations belongs to the first of them in the configuration, so
    that all hosts agree.

    Args:
        organisations: Organisations by name, in the order of the
            configuration; None if it has no list of them.
        earlier: Index of the configuration that was in force before.

    Attributes:
        unusable: Names of the organisations that were left out.
        shared: Names of the organisations that have a key which belongs to
            another one.
    """

    __slots__ = ('_by_key', '_by_name', '_withdrawn', 'shared', 'unusable')

    def __init__(
        self,
        organisations: dict[str, model.Organisation] | None = None,
        earlier: 'KeyIndex | None' = None,
    ) -> None:
        self._by_key: dict[str, model.Organisation] = {}
        self._by_name: dict[str, model.Organisation] = {}
        self.unusable: list[str] = []
        self.shared: list[str] = []
        for organisation in (organisations or {}).values():
            if _SENDABLE.fullmatch(organisation.name):
                self._add(organisation)
            else:
                self.unusable.append(organisation.name)
        self._withdrawn = self._withdrawn_since(earlier) if earlier else {}

    def __len__(self) -> int:
        return len(self._by_key)

    def find(self, key: str) -> model.Organisation | None:
        """Returns the organisation that has a key, None if none has it."""
        return self._by_key.get(key)

    def named(self, name: str) -> model.Organisation | None:
        """Returns the organisation of a name, None if there is none."""
        return self._by_name.get(name)

    def was_withdrawn(self, key: str) -> bool:
        """Returns whether only earlier configurations had a key."""
        return key in self._withdrawn

    def _add(self, organisation: model.Organisation) -> None:
        self._by_name[organisation.name] = organisation
        for key in organisation.keys:
            # An empty header must not identify anybody.
            owner = self._by_key.setdefault(key, organisation) if key else None
            if owner is not organisation and key:
                self.shared.append(organisation.name)

    def _withdrawn_since(self, earlier: 'KeyIndex') -> dict[str, None]:
        """Returns the keys of earlier configurations that are gone.

        The keys that were withdrawn last are kept.
        """
        withdrawn = dict.fromkeys(
            key
            for key in itertools.chain(earlier._withdrawn, earlier._by_key)
            if key not in self._by_key
        )
        excess = len(withdrawn) - MAX_WITHDRAWN
        for key in list(itertools.islice(withdrawn, max(0, excess))):
            del withdrawn[key]
        return withdrawn
