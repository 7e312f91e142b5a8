"""Propagates documents and domain orders between store and hosts."""

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
from ragwortchute.distribution import holdings
from ragwortchute.distribution import orders
from ragwortchute.membership import tree

_DEPLOYMENT = documents.DEPLOYMENT_NAME
_OUT = documents.DomainState.OUT
_IN = documents.DomainState.IN
_WATCH_S = 30.0
# Collects changes that come in quick succession into one answer.
_BATCH_S = 0.1
# The second member of the view polls, so that changes arrive within 7 s when
# the leader is lost or can't reach the store.
_POLL_LEADER_SILENT_S = 2.0
_POLL_S = 4.0
_POLL_TIMEOUT_S = 0.05
_ROLE_S = 1.0
_BACKOFF_MIN_S = 0.5
_BACKOFF_MAX_S = 5.0
_START_S = 1.0
_START_PEERS = 3
_TICK_S = 1.0
_REQUEST_S = 2.0
# Changes that are still on their way down the tree settle within this time.
_PULL_DELAY_S = (0.2, 0.5)
# Fits into one bulk frame together with one more document of 1 MB.
_BATCH_BYTES = 4 << 20
_IN_ATTEMPTS = 5
_MASK = 2**63 - 1


class Distributor:
    """Keeps the documents and domain orders of this host up to date.

    The composition root passes `digest` and `digest_seen` on to the
    membership, which carries digests in heartbeats, and `domain_out`.

    Args:
        store: Client of the object API.
        transport: Messages to other hosts.
        members: The membership of this host.
        time_source: Clock.
        rng: Source of jitter and ids.
        table: Events `document-applied` and `domain-changed`.
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
        self._holdings = holdings.Holdings(check, time_source)
        self._orders = orders.OrderBook()
        self._damper = orders.Damper()
        self._effective: dict[str, documents.DomainState] = {}
        self._digest = 1
        self._seen: dict[str, int] = {}
        self._fruitless: dict[str, tuple[int, int]] = {}
        self._pulling: set[str] = set()
        self._recording: set[str] = set()
        self._revision = 0
        self._backoff_s = _BACKOFF_MIN_S
        self._tasks = tasks.TaskOwner('distribution')
        transport.on(wire.DocumentNotice, self._on_notice)
        transport.on(wire.DocumentPull, self._on_pull)
        transport.on(wire.DomainOrder, self._on_order)

    @property
    def ready(self) -> bool:
        """True once documents were found in the store or at a peer."""
        return bool(self._holdings.all())

    def in_force(self) -> tuple[distribution.InForce, ...]:
        """Returns the documents in force by name."""
        return self._holdings.all()

    def document(self, name: str) -> distribution.InForce | None:
        """Returns one document in force, or None."""
        return self._holdings.get(name)

    def versions(self) -> dict[str, int]:
        """Returns the versions in force by name."""
        return {held.name: held.version for held in self._holdings.all()}

    def active_orders(self) -> tuple[wire.DomainOrder, ...]:
        """Returns the orders in force that no document holds yet."""
        return self._orders.all()

    def domain_state(self, name: str) -> documents.DomainState:
        """Returns the state of a failure domain, damping included."""
        if self._raw_state(name) is _OUT:
            return _OUT
        damped_s = self._damper.remaining_s(name, self._clock.monotonic())
        return _OUT if damped_s > 0 else _IN

    def domain_out(self, name: str) -> bool:
        """Tells whether a failure domain takes no work."""
        return self.domain_state(name) is _OUT

    def domain_status(self) -> tuple[distribution.DomainStatus, ...]:
        """Returns the states of all failure domains."""
        now_s = self._clock.monotonic()
        return tuple(
            distribution.DomainStatus(
                failure_domain=name,
                state=self.domain_state(name),
                recorded=self._recorded(name),
                orders=self._orders.of(name),
                damped_s=self._damper.remaining_s(name, now_s),
            )
            for name in self._domain_names()
        )

    def digest(self) -> int:
        """Returns a digest of all documents and orders in force."""
        return self._digest

    def digest_seen(self, host: str, digest: int) -> None:
        """Pulls from a host whose digest differs, unless that was in vain."""
        if not digest:
            return
        self._seen[host] = digest
        if digest == self._digest or host in self._pulling:
            return
        if self._fruitless.get(host) == (digest, self._digest):
            return
        self._pulling.add(host)
        self._tasks.spawn(self._repair(host))

    async def run(self) -> None:
        """Distributes until `stop` is called."""
        await self._tasks.run(
            self._load(),
            self._follow_store(),
            self._tick(),
        )

    async def stop(self) -> None:
        """Ends `run`."""
        await self._tasks.stop()

    async def order_out(self, name: str) -> wire.DomainOrder:
        """Takes a failure domain out at once, also without the store.

        The order is in force at this host on return, is on its way to all
        others, and is written to the deployment document as soon as the
        store permits.

        Raises:
            DocumentError: The deployment document has no such domain.
        """
        held = self._deployment()
        if held is not None:
            self._check_domain(name, held.document)
        host = self._members.me.host
        order = wire.DomainOrder(
            failure_domain=name,
            order_id=f'out:{host}:{self._nonce()}',
            base_version=0 if held is None else held.version,
            issued_by=host,
            issued_at=self._clock.wall(),
        )
        logging.warning('distribution: domain out, name=%s', name)
        if self._accept(order):
            for member in self._members.live_members():
                if member.host != host:
                    self._tasks.spawn(self._send(member.host, order))
            self._record_due()
        return order

    async def order_in(self, name: str, author: str = '') -> int:
        """Returns a failure domain to work, through the store.

        Returns:
            The version of the deployment document that holds the order.

        Raises:
            DocumentError: The deployment document has no such domain.
            StoreUnavailable: The store did not confirm the order.
            VersionConflict: Others changed the document again and again.
        """
        nonce = self._nonce()
        for attempt in range(_IN_ATTEMPTS):
            stored, document = await self._read_deployment()
            entry = self._check_domain(name, document)
            if entry.order_id.endswith(nonce):
                break
            waiting = self._orders.of(name)
            if entry.state is _IN and not waiting:
                return stored.version
            entry = msgspec.structs.replace(
                entry,
                state=_IN,
                order_id=orders.in_order_id(stored.version, nonce),
                changed_at=self._clock.wall(),
            )
            try:
                await self._put(stored, document, name, entry, author)
                break
            except errors.VersionConflict:
                if attempt == _IN_ATTEMPTS - 1:
                    raise
            except errors.StoreUnavailable as exc:
                # The next read shows whether the write took effect.
                if not exc.maybe_applied or attempt == _IN_ATTEMPTS - 1:
                    raise
            await self._clock.sleep(self._rng.uniform(0.05, 0.2))
        return self._deployment().version

    # Applying.

    def _apply(self, body: wire.DocumentBody) -> bool:
        held = self._holdings.apply(body)
        if held is None:
            return False
        if held.name == _DEPLOYMENT:
            for order in self._orders.update(held.document, held.version):
                logging.info(
                    'distribution: order settled, id=%s', order.order_id
                )
        self._update_digest()
        self._events.emit(
            'document-applied', document=held.document, version=held.version
        )
        self._observe_domains()
        return True

    def _accept(self, order: wire.DomainOrder) -> bool:
        held = self._deployment()
        document = None if held is None else held.document
        version = 0 if held is None else held.version
        if not self._orders.add(order, document, version):
            return False
        self._update_digest()
        self._observe_domains()
        return True

    def _update_digest(self) -> None:
        parts = [f'{h.name}\0{h.version}' for h in self._holdings.all()]
        parts += [order.order_id for order in self._orders.all()]
        data = '\n'.join(parts).encode()
        self._digest = (xxhash.xxh3_64_intdigest(data) & _MASK) or 1

    def _observe_domains(self) -> None:
        now_s = self._clock.monotonic()
        for name in self._domain_names():
            self._damper.observe(name, self._raw_state(name), now_s)
            state = self.domain_state(name)
            if state is not self._effective.get(name, _IN):
                logging.warning(
                    'distribution: domain changed, name=%s state=%s',
                    name,
                    state,
                )
                self._effective[name] = state
                self._events.emit(
                    'domain-changed', failure_domain=name, state=state
                )

    def _domain_names(self) -> list[str]:
        held = self._deployment()
        names = {order.failure_domain for order in self._orders.all()}
        names |= self._effective.keys()
        if held is not None:
            names |= held.document.failure_domains.keys()
        return sorted(names)

    def _recorded(self, name: str) -> documents.DomainState:
        held = self._deployment()
        if held is None:
            return _IN
        entry = held.document.failure_domains.get(name)
        return _IN if entry is None else entry.state

    def _raw_state(self, name: str) -> documents.DomainState:
        return _OUT if self._orders.of(name) else self._recorded(name)

    def _deployment(self) -> distribution.InForce | None:
        return self._holdings.get(_DEPLOYMENT)

    def _check_domain(
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

    # Between hosts.

    def _children(self) -> list[str]:
        """Returns the hosts that get new documents from this host."""
        view = self._members.view
        if view is None:
            return []
        me = self._members.me.host
        live = {member.host for member in self._members.live_members()}
        hosts = [m.host for m in view.members if m.host in live]
        nodes = tree.order(view.leader, hosts)
        return [host for host in tree.children(nodes, me) if host != me]

    def _pass_on(self, message: wire.Message, *, root: bool = False) -> None:
        hosts = self._children()
        if root:
            # A source that is not the root of the tree starts there too.
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
            # Digests show the difference later.
            logging.info('distribution: not sent, cause=%s', exc)

    async def _on_notice(
        self, sender: str, notice: wire.DocumentNotice
    ) -> None:
        if self._apply(notice.document):
            self._pass_on(notice)

    async def _on_order(self, sender: str, order: wire.DomainOrder) -> None:
        if self._accept(order):
            self._pass_on(order)

    async def _on_pull(
        self, sender: str, pull: wire.DocumentPull
    ) -> wire.DocumentBatch:
        bodies = self._holdings.newer_than(pull.have, _BATCH_BYTES)
        return wire.DocumentBatch(bodies, self._orders.all())

    async def _repair(self, host: str) -> None:
        try:
            await self._clock.sleep(self._rng.uniform(*_PULL_DELAY_S))
            seen = self._seen[host]
            if seen == self._digest:
                return
            if await self._pull(host) is False:
                self._fruitless[host] = (seen, self._digest)
        finally:
            self._pulling.discard(host)

    async def _pull(self, host: str) -> bool | None:
        """Takes over what a host has; returns None if it did not answer."""
        pull = wire.DocumentPull(self._holdings.known())
        try:
            batch = await self._transport.request(
                host, pull, timeout_s=_REQUEST_S, bulk=True
            )
        except errors.PeerError as exc:
            logging.info('distribution: not pulled, cause=%s', exc)
            return None
        if not isinstance(batch, wire.DocumentBatch):
            return None
        applied = [self._apply(body) for body in batch.documents]
        applied += [self._accept(order) for order in batch.orders]
        return any(applied)

    # Store.

    async def _load(self) -> None:
        """Takes the highest versions from the store and from peers."""
        listed = False
        while not (listed and self.ready):
            me = self._members.me.host
            hosts = [
                member.host
                for member in self._members.live_members()
                if member.host != me
            ]
            chosen = self._rng.sample(hosts, min(len(hosts), _START_PEERS))
            pulls = [] if self.ready else map(self._pull, chosen)
            done = await asyncio.gather(self._list(), *pulls)
            listed = done[0]
            if self.ready and not listed:
                # Digests and the leader's watch do the rest.
                return
            if not self.ready:
                await self._clock.sleep(_START_S * self._rng.uniform(0.8, 1))

    async def _list(self) -> bool:
        try:
            stored = await self._store.list(distribution.PREFIX)
        except errors.StoreError as exc:
            logging.info('distribution: store not read, cause=%s', exc)
            return False
        for item in stored:
            self._apply(_body(item))
        return True

    async def _follow_store(self) -> None:
        """Watches the store as leader, polls it as second member."""
        while True:
            try:
                pause_s = await self._follow_once()
                self._backoff_s = _BACKOFF_MIN_S
            except errors.StoreError as exc:
                logging.info('distribution: watch failed, cause=%s', exc)
                pause_s = self._backoff_s * self._rng.uniform(0.5, 1.0)
                self._backoff_s = min(_BACKOFF_MAX_S, self._backoff_s * 2)
            except Exception:
                logging.exception('distribution: watch failed')
                pause_s = _BACKOFF_MAX_S
            await self._clock.sleep(pause_s)

    async def _follow_once(self) -> float:
        """Does one watch or poll and returns the pause after it."""
        view = self._members.view
        me = self._members.me.host
        if view is None:
            return _ROLE_S
        if view.leader == me:
            changed = await self._watch(_WATCH_S)
            return _BATCH_S if changed else _ROLE_S
        live = {member.host for member in self._members.live_members()}
        followers = [
            member.host
            for member in view.members
            if member.host != view.leader and member.host in live
        ]
        if followers[:1] != [me]:
            return _ROLE_S
        await self._watch(_POLL_TIMEOUT_S)
        return _POLL_S if view.leader in live else _POLL_LEADER_SILENT_S

    async def _watch(self, timeout_s: float) -> bool:
        answer = await self._store.watch(
            distribution.PREFIX,
            after_revision=self._revision,
            timeout_s=timeout_s,
        )
        for item in answer.objects:
            self._offer(_body(item))
        for name in answer.removed:
            logging.warning('distribution: removal ignored, name=%s', name)
        self._revision = max(self._revision, answer.revision)
        return bool(answer.objects)

    def _offer(self, body: wire.DocumentBody) -> None:
        """Applies a document from the store and sends it to the others."""
        if self._apply(body):
            self._pass_on(wire.DocumentNotice(body), root=True)

    async def _read_deployment(
        self,
    ) -> tuple[stores.StoredObject, documents.DeploymentDocument]:
        stored = await self._store.get(distribution.PREFIX + _DEPLOYMENT)
        if stored is None:
            raise errors.DocumentError(
                _DEPLOYMENT, 'is not in the store', step='order'
            )
        self._offer(_body(stored))
        document = self._check(_DEPLOYMENT, stored.value)
        return stored, document

    async def _put(
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
        self._offer(_body(written))

    # Recording of orders.

    async def _tick(self) -> None:
        while True:
            await self._clock.sleep(_TICK_S * self._rng.uniform(0.9, 1.0))
            self._observe_domains()
            self._record_due()

    def _record_due(self) -> None:
        """Starts to write the orders that this host answers for.

        The leader writes orders whose issuer is lost.
        """
        view = self._members.view
        me = self._members.me.host
        live = {member.host for member in self._members.live_members()}
        for order in self._orders.all():
            mine = order.issued_by == me or (
                view is not None
                and view.leader == me
                and order.issued_by not in live
            )
            if mine and order.order_id not in self._recording:
                self._recording.add(order.order_id)
                self._tasks.spawn(self._record(order))

    async def _record(self, order: wire.DomainOrder) -> None:
        delay_s = _BACKOFF_MIN_S
        try:
            while self._orders.holds(order.order_id):
                if await self._try_record(order):
                    return
                await self._clock.sleep(delay_s * self._rng.uniform(0.5, 1.0))
                delay_s = min(_BACKOFF_MAX_S, delay_s * 2)
        finally:
            self._recording.discard(order.order_id)

    async def _try_record(self, order: wire.DomainOrder) -> bool:
        try:
            stored, document = await self._read_deployment()
            if not self._orders.holds(order.order_id):
                return True
            name = order.failure_domain
            entry = self._check_domain(name, document)
            entry = msgspec.structs.replace(
                entry,
                state=_OUT,
                order_id=order.order_id,
                changed_at=order.issued_at,
            )
            await self._put(stored, document, name, entry, order.issued_by)
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
