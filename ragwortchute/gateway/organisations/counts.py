"""Counters by organisation, of which only the largest are shown."""

import collections

# Organisations with counters of their own in the metrics.
MAX_SHOWN = 50
# Label of the sum of all others; no name of an organisation is empty.
OTHERS = ''
# Names that are counted at most: twice the largest number of organisations, as
# a configuration may replace them all. The smallest are dropped beyond that.
MAX_NAMES = 20_000


class OrganisationCounts:
    """Counts one kind of event by organisation."""

    __slots__ = ('_by_name', '_others')

    def __init__(self) -> None:
        self._by_name: collections.Counter[str] = collections.Counter()
        self._others = 0

    def add(self, name: str) -> None:
        """Counts an event of an organisation."""
        self._by_name[name] += 1
        if len(self._by_name) > MAX_NAMES:
            self._drop_smallest()

    def shown(self) -> dict[str, float]:
        """Returns the counts of the largest organisations.

        The rest is summed up under `OTHERS`. That sum falls when one of them
        becomes one of the largest.
        """
        if len(self._by_name) <= MAX_SHOWN and not self._others:
            return dict(self._by_name)
        shown = dict(self._by_name.most_common(MAX_SHOWN))
        total = self._by_name.total() + self._others
        return {**shown, OTHERS: total - sum(shown.values())}

    def _drop_smallest(self) -> None:
        """Drops half of the names and adds their counts to the rest."""
        ordered = self._by_name.most_common()
        kept = ordered[: MAX_NAMES // 2]
        self._others += sum(count for _, count in ordered[len(kept) :])
        self._by_name = collections.Counter(dict(kept))
