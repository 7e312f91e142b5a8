"""Domain orders that the deployment document doesn't contain yet."""

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
    """Returns the id of an `in` order.

    The id contains the version of the deployment document that the order
    replaced. From it, a host that receives the document later can tell
    whether an `out` order was issued before the `in` order.

    Args:
        base_version: Version of the deployment document that is replaced.
        nonce: Unique part of the id.
    """
    return f'{_IN_PREFIX}:{base_version}:{nonce}'


def is_settled(
    order: wire.DomainOrder,
    document: documents.DeploymentDocument,
    version: int,
) -> bool:
    """Returns whether a deployment document records or cancels an `out` order.

    The result depends on the order and the document only, so all hosts with
    the same document agree, regardless of the messages they received before.

    Args:
        order: The `out` order.
        document: The deployment document.
        version: Version of the document in the store.
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
    # The state was set by an edit of the document, without an order.
    return entry.changed_at > order.issued_at


class OrderBook:
    """Orders in force that the deployment document doesn't contain yet."""

    def __init__(self) -> None:
        self._orders: dict[str, wire.DomainOrder] = {}

    def add(
        self,
        order: wire.DomainOrder,
        document: documents.DeploymentDocument | None,
        version: int,
    ) -> bool:
        """Adds an order unless it is already active or settled.

        Args:
            order: The order.
            document: The deployment document in force, or None.
            version: Version of the document.

        Returns:
            Whether the order was added.
        """
        if order.order_id in self._orders:
            return False
        if document is not None and is_settled(order, document, version):
            return False
        self._orders[order.order_id] = order
        return True

    def remove_settled(
        self, document: documents.DeploymentDocument, version: int
    ) -> list[wire.DomainOrder]:
        """Removes and returns the orders that a new document settles."""
        dropped = [
            order
            for order in self._orders.values()
            if is_settled(order, document, version)
        ]
        for order in dropped:
            del self._orders[order.order_id]
        return dropped

    def all(self) -> tuple[wire.DomainOrder, ...]:
        """Returns the active orders, sorted by id."""
        return tuple(self._orders[key] for key in sorted(self._orders))

    def is_active(self, order_id: str) -> bool:
        """Returns whether an order is active."""
        return order_id in self._orders

    def ids_for(self, failure_domain: str) -> tuple[str, ...]:
        """Returns the ids of the active orders for a failure domain."""
        return tuple(
            order.order_id
            for order in self.all()
            if order.failure_domain == failure_domain
        )


class Damper:
    """Flap damping: keeps a failure domain out if it changes state too often.

    A failure domain that changes its state more than 3 times in 5 minutes
    stays out until 1 minute after its last change to `in`.
    """

    def __init__(self) -> None:
        self._states: dict[str, documents.DomainState] = {}
        self._changes: dict[str, collections.deque[float]] = {}
        self._damped_until_s: dict[str, float] = {}

    def observe(
        self, name: str, state: documents.DomainState, now_s: float
    ) -> None:
        """Records the state of a domain; the first state is not a change.

        Args:
            name: Name of the failure domain.
            state: Its state without damping.
            now_s: Monotonic time in seconds.
        """
        before = self._states.get(name)
        self._states[name] = state
        if before is None or before is state:
            return
        changes = self._changes.setdefault(name, collections.deque())
        changes.append(now_s)
        while now_s - changes[0] > _DAMPING_WINDOW_S:
            changes.popleft()
        if state is _IN and len(changes) > _DAMPING_CHANGES:
            self._damped_until_s[name] = now_s + _DAMPING_S

    def remaining_s(self, name: str, now_s: float) -> float:
        """Returns the remaining seconds for which a domain is kept out."""
        return max(0.0, self._damped_until_s.get(name, now_s) - now_s)
