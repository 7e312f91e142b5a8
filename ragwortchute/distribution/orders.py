"""Domain orders that are not recorded in the deployment document yet."""

import collections

from ragwortchute import documents
from ragwortchute import wire

_OUT = documents.DomainState.OUT
_IN = documents.DomainState.IN
_IN_PREFIX = 'in'
_DAMPING_CHANGES = 3
_DAMPING_WINDOW_S = 300.0
_DAMPING_S = 60.0


def in_order_id(base_version: int, nonce: str) -> str:
    """Returns the id of an order that returns a domain to work.

    The id holds the version that the order replaced. Thus a host that gets
    the document later can tell whether an `out` was given before.
    """
    return f'{_IN_PREFIX}:{base_version}:{nonce}'


def settled(
    order: wire.DomainOrder,
    document: documents.DeploymentDocument,
    version: int,
) -> bool:
    """Tells whether a deployment document records or cancels an `out`.

    The result depends on the order and the document only, so hosts with the
    same document agree, whatever they saw before.
    """
    entry = document.failure_domains.get(order.failure_domain)
    if entry is None:
        return version > order.base_version
    if entry.order_id == order.order_id:
        return True
    if entry.state is _OUT:
        return version >= order.base_version
    if version <= order.base_version:
        return False
    prefix, _, rest = entry.order_id.partition(':')
    base = rest.partition(':')[0]
    if prefix == _IN_PREFIX and base.isdecimal():
        return int(base) >= order.base_version
    # Written without an order, by an edit of the document.
    return entry.changed_at > order.issued_at


class OrderBook:
    """Orders in force ahead of the deployment document."""

    def __init__(self) -> None:
        self._orders: dict[str, wire.DomainOrder] = {}

    def add(
        self,
        order: wire.DomainOrder,
        document: documents.DeploymentDocument | None,
        version: int,
    ) -> bool:
        """Puts an order in force; returns False if that changes nothing."""
        if order.order_id in self._orders:
            return False
        if document is not None and settled(order, document, version):
            return False
        self._orders[order.order_id] = order
        return True

    def update(
        self, document: documents.DeploymentDocument, version: int
    ) -> list[wire.DomainOrder]:
        """Drops and returns the orders that a new document settles."""
        dropped = [
            order
            for order in self._orders.values()
            if settled(order, document, version)
        ]
        for order in dropped:
            del self._orders[order.order_id]
        return dropped

    def all(self) -> tuple[wire.DomainOrder, ...]:
        """Returns the orders in force by id."""
        return tuple(self._orders[key] for key in sorted(self._orders))

    def holds(self, order_id: str) -> bool:
        """Tells whether an order is in force."""
        return order_id in self._orders

    def of(self, failure_domain: str) -> tuple[str, ...]:
        """Returns the ids of the orders for a failure domain."""
        return tuple(
            order.order_id
            for order in self.all()
            if order.failure_domain == failure_domain
        )


class Damper:
    """Keeps a failure domain out that changes its state too often.

    A domain that changed more than 3 times in 5 minutes takes work again
    only 1 minute after its last return.
    """

    def __init__(self) -> None:
        self._states: dict[str, documents.DomainState] = {}
        self._changes: dict[str, collections.deque[float]] = {}
        self._until_s: dict[str, float] = {}

    def observe(
        self, name: str, state: documents.DomainState, now_s: float
    ) -> None:
        """Records the state of a domain; the first one is no change."""
        before = self._states.get(name)
        self._states[name] = state
        if before is None or before is state:
            return
        changes = self._changes.setdefault(name, collections.deque())
        changes.append(now_s)
        while now_s - changes[0] > _DAMPING_WINDOW_S:
            changes.popleft()
        if state is _IN and len(changes) > _DAMPING_CHANGES:
            self._until_s[name] = now_s + _DAMPING_S

    def remaining_s(self, name: str, now_s: float) -> float:
        """Returns for how many seconds a domain is kept out."""
        return max(0.0, self._until_s.get(name, now_s) - now_s)
