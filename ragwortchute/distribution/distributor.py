"""Distributes documents and domain orders between the store and the hosts."""

import asyncio
import random

from absl import logging
import msgspec
import xxhash

from ragwortchute import clock
from ragwortchute import distribution
from ragwortchute import documents
from ragwortchute import errors
from ragwortchute import events
from ragwortchute import membership
from ragwortchute import peers
from ragwortchute import stores
from ragwortchute import tasks
from ragwortchute import wire
from ragwortchute.distribution import document_table
from ragwortchute.distribution import orders
from ragwortchute.membership import tree

_DEPLOYMENT = documents.DEPLOYMENT_NAME
_OUT = documents.DomainState.OUT
_IN = documents.DomainState.IN
_WATCH_TIMEOUT_S = 30.0
# Pause between two watches, so that one answer holds all changes of a burst.
_BATCH_DELAY_S = 0.1
# The first live member after the leader polls the store, so that changes
# arrive within 7 s even if the leader is down or can't reach the store.
_POLL_INTERVAL_LEADER_SILENT_S = 2.0
_POLL_INTERVAL_S = 4.0
_POLL_TIMEOUT_S = 0.05
_ROLE_CHECK_INTERVAL_S = 1.0
_BACKOFF_MIN_S = 0.5
_BACKOFF_MAX_S = 5.0
_LOAD_RETRY_S = 1.0
_LOAD_PEERS = 3
_TICK_INTERVAL_S = 1.0
_REQUEST_TIMEOUT_S = 2.0
# Delay before a pull. Changes that are being sent down the tree usually arrive
# within this time, which makes the pull unnecessary.
_PULL_DELAY_RANGE_S = (0.2, 0.5)
# A batch of this size and one more document of 1 MB fit into one bulk frame.
_BATCH_BYTES = 4 << 20
_ORDER_IN_ATTEMPTS = 5
_DIGEST_MASK = 2**63 - 1


class Distributor:
    """Keeps the documents and domain orders of this host up to date.

    New documents are sent down a tree of hosts. Heartbeats carry a digest of
    the documents and orders of their sender, and a host pulls from any host
    whose digest differs. For this, the composition root connects `digest`,
    `on_peer_digest` and `domain_out` with the membership.

    Args:
        store: Client of the object API.
        transport: Sends messages to other hosts and receives theirs.
        members: Membership of this host.
        time_source: Clock.
        rng: Source of jitter and of ids.
        table: Emits the events `document-applied` and `domain-changed`.
        check: Decodes and checks a document; returns a `DeploymentDocument`
            for the deployment document.
    """

    def __init__(
        self,
        store: stores.Store,
        transport: peers.Transport,
        members: membership.Membership,
        time_source: clock.Clock,
        rng: random.Random,
        table: events.EventTable,
        check: distribution.Check,
    ) -> None:
        self._store = store
        self._transport = transport
        self._members = members
        self._clock = time_source
        self._rng = rng
        self._events = table
        self._check = check
        self._documents = document_table.DocumentTable(check, time_source)
        self._orders = orders.OrderBook()
        self._damper = orders.Damper()
        self._effective_states: dict[str, documents.DomainState] = {}
        self._digest = 1
        self._peer_digests: dict[str, int] = {}
        self._fruitless_pulls: dict[str, tuple[int, int]] = {}
        self._pulling: set[str] = set()
        self._recording: set[str] = set()
        self._revision = 0
        self._backoff_s = _BACKOFF_MIN_S
        self._tasks = tasks.BackgroundTasks('distribution')
        transport.on(wire.DocumentNotice, self._on_notice)
        transport.on(wire.DocumentPull, self._on_pull)
        transport.on(wire.DomainOrder, self._on_order)

    @property
    def ready(self) -> bool:
        """True once a document was received from the store or from a peer."""
        return bool(self._documents.all())

    def in_force(self) -> tuple[distribution.AppliedDocument, ...]:
        """Returns the documents in force, sorted by name."""
        return self._documents.all()

    def document(self, name: str) -> distribution.AppliedDocument | None:
        """Returns the document with this name that is in force, or None."""
        return self._documents.get(name)

    def versions(self) -> dict[str, int]:
        """Returns the versions of the documents in force, by name."""
        return {
            applied.name: applied.version for applied in self._documents.all()
        }

    def unrecorded_orders(self) -> tuple[wire.DomainOrder, ...]:
        """Returns the orders that the deployment document lacks so far."""
        return self._orders.all()

    def domain_state(self, name: str) -> documents.DomainState:
        """Returns the state of a failure domain, with damping applied."""
        if self._undamped_state(name) is _OUT:
            return _OUT
        damped_s = self._damper.remaining_s(name, self._clock.monotonic())
        return _OUT if damped_s > 0 else _IN

    def domain_out(self, name: str) -> bool:
        """Returns whether a failure domain is out."""
        return self.domain_state(name) is _OUT

    def domain_status(self) -> tuple[distribution.DomainStatus, ...]:
        """Returns the state of each failure domain, sorted by name."""
        now_s = self._clock.monotonic()
        return tuple(
            distribution.DomainStatus(
                failure_domain=name,
                state=self.domain_state(name),
                recorded=self._recorded_state(name),
                orders=self._orders.ids_for(name),
                damped_s=self._damper.remaining_s(name, now_s),
            )
            for name in self._domain_names()
        )

    def digest(self) -> int:
        """Returns a digest of all documents and orders in force."""
        return self._digest

    def on_peer_digest(self, host: str, digest: int) -> None:
        """Pulls from a host whose digest differs from that of this host.

        Does nothing if a pull under the same two digests brought no change.

        Args:
            host: Name of the host.
            digest: Its digest; 0 if unknown.
        """
        if not digest:
            return
        self._peer_digests[host] = digest
        if digest == self._digest or host in self._pulling:
            return
        if self._fruitless_pulls.get(host) == (digest, self._digest):
            return
        self._pulling.add(host)
        self._tasks.spawn(self._pull_after_delay(host))

    async def run(self) -> None:
        """Runs the distribution until `stop` is called."""
        await self._tasks.run(
            self._load_documents(),
            self._follow_store(),
            self._tick(),
        )

    async def stop(self) -> None:
        """Ends `run`."""
        await self._tasks.stop()

    async def order_out(self, name: str) -> wire.DomainOrder:
        """Takes a failure domain out; works without the store.

        On return, the order is in force at this host and is being sent to all
        others. It is written to the deployment document as soon as the store
        is available.

        Args:
            name: Name of the failure domain.

        Returns:
            The order.

        Raises:
            DocumentError: The deployment document has no such domain.
        """
        applied = self._deployment_in_force()
        if applied is not None:
            self._find_domain(name, applied.document)
        host = self._members.me.host
        order = wire.DomainOrder(
            failure_domain=name,
            order_id=f'out:{host}:{self._nonce()}',
            base_version=0 if applied is None else applied.version,
            issued_by=host,
            issued_at=self._clock.wall(),
        )
        logging.warning('distribution: out order issued, name=%s', name)
        if self._accept_order(order):
            for member in self._members.live_members():
                if member.host != host:
                    self._tasks.spawn(self._send(member.host, order))
            self._start_recording()
        return order

    async def order_in(self, name: str, author: str = '') -> int:
        """Returns a failure domain to service; requires the store.

        Args:
            name: Name of the failure domain.
            author: Author of the change; this host if empty.

        Returns:
            The version of the deployment document that contains the order.

        Raises:
            DocumentError: The deployment document has no such domain.
            StoreUnavailable: The store did not confirm the write.
            VersionConflict: Each attempt collided with another write.
        """
        nonce = self._nonce()
        for attempt in range(_ORDER_IN_ATTEMPTS):
            stored, document = await self._read_deployment()
            entry = self._find_domain(name, document)
            if entry.order_id.endswith(nonce):
                break
            pending = self._orders.ids_for(name)
            if entry.state is _IN and not pending:
                return stored.version
            entry = msgspec.structs.replace(
                entry,
                state=_IN,
                order_id=orders.in_order_id(stored.version, nonce),
                changed_at=self._clock.wall(),
            )
            try:
                await self._put_domain_entry(
                    stored, document, name, entry, author
                )
                break
            except errors.VersionConflict:
                if attempt == _ORDER_IN_ATTEMPTS - 1:
                    raise
            except errors.StoreUnavailable as exc:
                # The next read shows whether the write was applied.
                if not exc.maybe_applied or attempt == _ORDER_IN_ATTEMPTS - 1:
                    raise
            await self._clock.sleep(self._rng.uniform(0.05, 0.2))
        return self._deployment_in_force().version

    # Documents and orders in force.

    def _apply(self, body: wire.DocumentBody) -> bool:
        applied = self._documents.apply(body)
        if applied is None:
            return False
        if applied.name == _DEPLOYMENT:
            for order in self._orders.remove_settled(
                applied.document, applied.version
            ):
                logging.info(
                    'distribution: order settled, id=%s', order.order_id
                )
        self._update_digest()
        self._events.emit(
            'document-applied',
            document=applied.document,
            version=applied.version,
        )
        self._observe_domains()
        return True

    def _accept_order(self, order: wire.DomainOrder) -> bool:
        applied = self._deployment_in_force()
        document = None if applied is None else applied.document
        version = 0 if applied is None else applied.version
        if not self._orders.add(order, document, version):
            return False
        self._update_digest()
        self._observe_domains()
        return True

    def _update_digest(self) -> None:
        parts = [f'{h.name}\0{h.version}' for h in self._documents.all()]
        parts += [order.order_id for order in self._orders.all()]
        data = '\n'.join(parts).encode()
        self._digest = (xxhash.xxh3_64_intdigest(data) & _DIGEST_MASK) or 1

    def _observe_domains(self) -> None:
        now_s = self._clock.monotonic()
        for name in self._domain_names():
            self._damper.observe(name, self._undamped_state(name), now_s)
            state = self.domain_state(name)
            if state is not self._effective_states.get(name, _IN):
                logging.warning(
                    'distribution: domain changed, name=%s state=%s',
                    name,
                    state,
                )
                self._effective_states[name] = state
                self._events.emit(
                    'domain-changed', failure_domain=name, state=state
                )

    def _domain_names(self) -> list[str]:
        applied = self._deployment_in_force()
        names = {order.failure_domain for order in self._orders.all()}
        names |= self._effective_states.keys()
        if applied is not None:
            names |= applied.document.failure_domains.keys()
        return sorted(names)

    def _recorded_state(self, name: str) -> documents.DomainState:
        applied = self._deployment_in_force()
        if applied is None:
            return _IN
        entry = applied.document.failure_domains.get(name)
        return _IN if entry is None else entry.state

    def _undamped_state(self, name: str) -> documents.DomainState:
        return (
            _OUT if self._orders.ids_for(name) else self._recorded_state(name)
        )

    def _deployment_in_force(self) -> distribution.AppliedDocument | None:
        return self._documents.get(_DEPLOYMENT)

    def _find_domain(
        self, name: str, document: documents.DeploymentDocument
    ) -> documents.DomainEntry:
        entry = document.failure_domains.get(name)
        if entry is None:
            known = ', '.join(sorted(document.failure_domains))
            raise errors.DocumentError(
                f'failure_domains.{name}',
                f'no such failure domain; known: {known}',
                step='order',
            )
        return entry

    # Messages between hosts.

    def _children(self) -> list[str]:
        """Returns the hosts to which this host forwards new documents."""
        view = self._members.view
        if view is None:
            return []
        me = self._members.me.host
        live = {member.host for member in self._members.live_members()}
        hosts = [m.host for m in view.members if m.host in live]
        nodes = tree.order(view.leader, hosts)
        return [host for host in tree.children(nodes, me) if host != me]

    def _forward(self, message: wire.Message, *, root: bool = False) -> None:
        hosts = self._children()
        if root:
            # A sender that isn't the root of the tree has to reach the root.
            view = self._members.view
            me = self._members.me.host
            if view is not None and view.leader != me:
                hosts = [view.leader, *hosts]
        for host in dict.fromkeys(hosts):
            self._tasks.spawn(self._send(host, message))

    async def _send(self, host: str, message: wire.Message) -> None:
        bulk = isinstance(message, wire.DocumentNotice)
        try:
            await self._transport.send(host, message, bulk=bulk)
        except errors.PeerError as exc:
            # The digest of that host will differ, which leads to a pull.
            logging.info('distribution: message not sent, cause=%s', exc)

    async def _on_notice(
        self, sender: str, notice: wire.DocumentNotice
    ) -> None:
        if self._apply(notice.document):
            self._forward(notice)

    async def _on_order(self, sender: str, order: wire.DomainOrder) -> None:
        if self._accept_order(order):
            self._forward(order)

    async def _on_pull(
        self, sender: str, pull: wire.DocumentPull
    ) -> wire.DocumentBatch:
        bodies = self._documents.newer_than(pull.have, _BATCH_BYTES)
        return wire.DocumentBatch(bodies, self._orders.all())

    async def _pull_after_delay(self, host: str) -> None:
        try:
            await self._clock.sleep(self._rng.uniform(*_PULL_DELAY_RANGE_S))
            seen = self._peer_digests[host]
            if seen == self._digest:
                return
            if await self._pull(host) is False:
                self._fruitless_pulls[host] = (seen, self._digest)
        finally:
            self._pulling.discard(host)

    async def _pull(self, host: str) -> bool | None:
        """Applies the newer documents and the orders of a host.

        Args:
            host: Name of the host.

        Returns:
            Whether anything changed; None if the host did not answer.
        """
        pull = wire.DocumentPull(self._documents.known_versions())
        try:
            batch = await self._transport.request(
                host, pull, timeout_s=_REQUEST_TIMEOUT_S, bulk=True
            )
        except errors.PeerError as exc:
            logging.info('distribution: pull failed, cause=%s', exc)
            return None
        if not isinstance(batch, wire.DocumentBatch):
            return None
        changed = [self._apply(body) for body in batch.documents]
        changed += [self._accept_order(order) for order in batch.orders]
        return any(changed)

    # Access to the store.

    async def _load_documents(self) -> None:
        """Loads documents at the start, from the store and from some peers.

        Repeats until one of them has sent a document.
        """
        listed = False
        while not (listed and self.ready):
            me = self._members.me.host
            hosts = [
                member.host
                for member in self._members.live_members()
                if member.host != me
            ]
            chosen = self._rng.sample(hosts, min(len(hosts), _LOAD_PEERS))
            pulls = [] if self.ready else map(self._pull, chosen)
            done = await asyncio.gather(self._list_documents(), *pulls)
            listed = done[0]
            if self.ready and not listed:
                # Newer versions follow from digests and the leader's watch.
                return
            if not self.ready:
                await self._clock.sleep(
                    _LOAD_RETRY_S * self._rng.uniform(0.8, 1)
                )

    async def _list_documents(self) -> bool:
        try:
            stored = await self._store.list(distribution.PREFIX)
        except errors.StoreError as exc:
            logging.info('distribution: store not read, cause=%s', exc)
            return False
        for item in stored:
            self._apply(_body(item))
        return True

    async def _follow_store(self) -> None:
        """Watches the store as the leader, polls it as the next live member."""
        while True:
            try:
                pause_s = await self._follow_store_once()
                self._backoff_s = _BACKOFF_MIN_S
            except errors.StoreError as exc:
                logging.info('distribution: watch failed, cause=%s', exc)
                pause_s = self._backoff_s * self._rng.uniform(0.5, 1.0)
                self._backoff_s = min(_BACKOFF_MAX_S, self._backoff_s * 2)
            except Exception:
                logging.exception('distribution: watch failed')
                pause_s = _BACKOFF_MAX_S
            await self._clock.sleep(pause_s)

    async def _follow_store_once(self) -> float:
        """Watches or polls once and returns the pause after it in seconds."""
        view = self._members.view
        me = self._members.me.host
        if view is None:
            return _ROLE_CHECK_INTERVAL_S
        if view.leader == me:
            changed = await self._watch_store(_WATCH_TIMEOUT_S)
            return _BATCH_DELAY_S if changed else _ROLE_CHECK_INTERVAL_S
        live = {member.host for member in self._members.live_members()}
        followers = [
            member.host
            for member in view.members
            if member.host != view.leader and member.host in live
        ]
        if followers[:1] != [me]:
            return _ROLE_CHECK_INTERVAL_S
        await self._watch_store(_POLL_TIMEOUT_S)
        return (
            _POLL_INTERVAL_S
            if view.leader in live
            else _POLL_INTERVAL_LEADER_SILENT_S
        )

    async def _watch_store(self, timeout_s: float) -> bool:
        answer = await self._store.watch(
            distribution.PREFIX,
            after_revision=self._revision,
            timeout_s=timeout_s,
        )
        for item in answer.objects:
            self._apply_and_forward(_body(item))
        for name in answer.removed:
            logging.warning(
                'distribution: removal of a document ignored, name=%s', name
            )
        self._revision = max(self._revision, answer.revision)
        return bool(answer.objects)

    def _apply_and_forward(self, body: wire.DocumentBody) -> None:
        """Applies a document from the store and forwards it if it was new."""
        if self._apply(body):
            self._forward(wire.DocumentNotice(body), root=True)

    async def _read_deployment(
        self,
    ) -> tuple[stores.StoredObject, documents.DeploymentDocument]:
        stored = await self._store.get(distribution.PREFIX + _DEPLOYMENT)
        if stored is None:
            raise errors.DocumentError(
                _DEPLOYMENT, 'is not in the store', step='order'
            )
        self._apply_and_forward(_body(stored))
        document = self._check(_DEPLOYMENT, stored.value)
        return stored, document

    async def _put_domain_entry(
        self,
        stored: stores.StoredObject,
        document: documents.DeploymentDocument,
        name: str,
        entry: documents.DomainEntry,
        author: str,
    ) -> None:
        new = msgspec.structs.replace(
            document,
            failure_domains={**document.failure_domains, name: entry},
            change_id=entry.order_id,
            author=author or self._members.me.host,
        )
        value = msgspec.json.encode(new)
        self._check(_DEPLOYMENT, value)
        written = await self._store.put(
            stored.name, value, expected_version=stored.version
        )
        self._apply_and_forward(_body(written))

    # Writing of orders to the deployment document.

    async def _tick(self) -> None:
        while True:
            await self._clock.sleep(
                _TICK_INTERVAL_S * self._rng.uniform(0.9, 1.0)
            )
            self._observe_domains()
            self._start_recording()

    def _start_recording(self) -> None:
        """Starts writing the orders that this host is responsible for.

        These are its own orders. The leader is also responsible for the
        orders of hosts that are down.
        """
        view = self._members.view
        me = self._members.me.host
        live = {member.host for member in self._members.live_members()}
        for order in self._orders.all():
            responsible = order.issued_by == me or (
                view is not None
                and view.leader == me
                and order.issued_by not in live
            )
            if responsible and order.order_id not in self._recording:
                self._recording.add(order.order_id)
                self._tasks.spawn(self._record_until_settled(order))

    async def _record_until_settled(self, order: wire.DomainOrder) -> None:
        delay_s = _BACKOFF_MIN_S
        try:
            while self._orders.is_active(order.order_id):
                if await self._try_record(order):
                    return
                await self._clock.sleep(delay_s * self._rng.uniform(0.5, 1.0))
                delay_s = min(_BACKOFF_MAX_S, delay_s * 2)
        finally:
            self._recording.discard(order.order_id)

    async def _try_record(self, order: wire.DomainOrder) -> bool:
        try:
            stored, document = await self._read_deployment()
            if not self._orders.is_active(order.order_id):
                return True
            name = order.failure_domain
            entry = self._find_domain(name, document)
            entry = msgspec.structs.replace(
                entry,
                state=_OUT,
                order_id=order.order_id,
                changed_at=order.issued_at,
            )
            await self._put_domain_entry(
                stored, document, name, entry, order.issued_by
            )
        except errors.RagwortchuteError as exc:
            logging.info('distribution: order not written, cause=%s', exc)
            return False
        return True

    # Helpers.

    def _nonce(self) -> str:
        return f'{self._rng.getrandbits(64):016x}'


def _body(stored: stores.StoredObject) -> wire.DocumentBody:
    name = stored.name.removeprefix(distribution.PREFIX)
    return wire.DocumentBody(name, stored.version, stored.value)
