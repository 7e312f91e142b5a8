"""Message exchange and periodic upkeep for the slots of all services."""

import asyncio
from collections import abc
import contextlib
import random

from absl import logging

from ragwortchute import clock as clock_
from ragwortchute import codecs
from ragwortchute import documents
from ragwortchute import errors
from ragwortchute import events as events_
from ragwortchute import membership as membership_
from ragwortchute import peers
from ragwortchute import upstream as upstream_
from ragwortchute import wire
from ragwortchute.slots import context
from ragwortchute.slots import entry as entry_
from ragwortchute.slots import service as service_
from ragwortchute.slots import traffic as traffic_
from ragwortchute.targets import state as state_
from ragwortchute.targets import table as table_

BUSY_UPKEEP_INTERVAL_S = 0.01
REQUEST_TIMEOUT_S = 0.1
# Interval of the upkeep of all services, and of the exchanges that it starts.
ROUND_S = 0.1
CONNECT_INTERVAL_S = 0.25
# Connections that a target accepts from all hosts together; each host opens at
# most its share of them.
MAX_TARGET_CONNECTIONS = 220


class SlotManager:
    """The slots of all services of this host.

    Args:
        clock: Source of time.
        membership: View, lease and serving sets.
        transport: Exchanges messages with other hosts.
        table: States of the targets; also the connection listener of
            `upstream`.
        upstream: Opens connections to targets.
        domain_state: Returns the state of a failure domain by name.
        codec: Codec of the transport, used to determine the size of messages.
        rng: Random number generator.
        events: Table on which events are emitted.
        loan_s: Term of a loan, in seconds.
        hedge_percent: Hedges allowed per 100 calls.
        retry_percent: Retries allowed per 100 calls.

    Attributes:
        traffic: Byte budget of loan messages.
    """

    def __init__(
        self,
        *,
        clock: clock_.Clock,
        membership: membership_.Membership,
        transport: peers.Transport,
        table: table_.TargetTable,
        upstream: upstream_.Upstream,
        domain_state: abc.Callable[[str], documents.DomainState],
        codec: codecs.Codec,
        rng: random.Random,
        events: events_.EventTable | None = None,
        loan_s: float = 1.0,
        hedge_percent: float = 5.0,
        retry_percent: float = 10.0,
    ) -> None:
        self._clock = clock
        self._membership = membership
        self._transport = transport
        self._upstream = upstream
        self._domain_state = domain_state
        self.traffic = traffic_.SlotTraffic(clock, codec)
        self._ctx = context.Context(
            clock=clock,
            membership=membership,
            table=table,
            rng=rng,
            domain_open=self._domain_open,
            post=self._post,
            wake=self._wake,
            events=events or events_.EventTable(),
            traffic=self.traffic,
            loan_s=loan_s,
            hedge_percent=hedge_percent,
            retry_percent=retry_percent,
        )
        self._table = table
        self._services: dict[str, service_.ServiceSlots] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._running_keys: set[tuple[str, ...]] = set()
        self._busy_task: asyncio.Task[None] | None = None
        self._next_connect_s: dict[str, float] = {}
        self._stopping = False
        table.on_connection_change(self._connection_changed)
        self._register(transport)

    def _register(self, transport: peers.Transport) -> None:
        transport.on(wire.SlotStatus, self._on_status)
        transport.on(wire.SlotRequest, self._on_request)
        transport.on(wire.SlotReturn, self._on_return)
        transport.on(wire.TargetNotice, self._on_notice)
        transport.on(wire.TargetPull, self._on_pull)
        transport.on(wire.TargetSuspect, self._on_suspect)

    # Interface for other packages.

    def service(self, name: str) -> service_.ServiceSlots | None:
        """Returns the slots of a service, or None if it is unknown."""
        return self._services.get(name)

    def dump(self) -> dict[str, object]:
        """Returns serving set, waiting calls and loans by service name."""
        return {
            name: {
                'hosts': service.hosts,
                'waiting': service.waiting,
                'lent': service.lent(),
                'borrowed': service.borrowed(),
                'has_slots': self.has_slots(name),
            }
            for name, service in sorted(self._services.items())
        }

    def has_slots(self, name: str) -> bool:
        """Returns whether this host may send to any target of a service."""
        service = self._services.get(name)
        if service is None:
            return False
        now_s = self._clock.monotonic()
        return any(
            entry.candidate.share > 0
            or service.warmth.may_send_cold(entry, now_s)
            for entry in service.warmth.entries.values()
        )

    def apply(self, document: documents.ServiceDocument) -> None:
        """Applies a new version of a service document."""
        known = self._services.get(document.service)
        if known is not None:
            known.apply(document)
            return
        self._services[document.service] = service_.ServiceSlots(
            document, self._ctx
        )

    def remove(self, service: str) -> None:
        """Removes a service whose document was deleted."""
        known = self._services.pop(service, None)
        if known is not None:
            known.close()
            self._table.remove(service)

    def view_changed(self) -> None:
        """Applies a new view or a change of the live members."""
        for service in self._services.values():
            if service.view_is_stale():
                service.view_changed()

    def domains_changed(self) -> None:
        """Applies changed states of failure domains."""
        for service in self._services.values():
            service.domains_changed()

    async def run(self) -> None:
        """Runs the upkeep of all services until it is cancelled.

        Services with waiting calls or loans need upkeep more often. A separate
        task does this and ends when no such service is left, because upkeep
        of all services every 10 ms took 3 % of a core with four idle services.
        """
        while True:
            self.tick()
            await self._clock.sleep(ROUND_S)

    async def _run_busy_upkeep(self) -> None:
        busy = [s for s in self._services.values() if s.busy]
        while busy:
            await self._clock.sleep(BUSY_UPKEEP_INTERVAL_S)
            for service in busy:
                self._tick_service(service)
            self._request_loans()
            self._return_loans()
            busy = [s for s in self._services.values() if s.busy]
        self._busy_task = None

    async def stop(self) -> None:
        """Refuses waiting calls and cancels all tasks."""
        self._stopping = True
        for service in self._services.values():
            service.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def tick(self) -> None:
        """Runs the upkeep of all services once."""
        now_s = self._clock.monotonic()
        self.view_changed()
        for service in self._services.values():
            self._tick_service(service)
            self._start_exchanges(service, now_s)
        self._request_loans()
        self._return_loans()
        self._start_busy_upkeep()

    def _tick_service(self, service: service_.ServiceSlots) -> None:
        """Runs the upkeep of a service; errors are logged.

        An error in one service must not stop the upkeep of the others.
        """
        try:
            service.tick()
        except Exception:
            logging.exception(
                'slots: upkeep failed, service=%s', service.service
            )

    # Exchanges with targets and other hosts.

    def _start_exchanges(
        self, service: service_.ServiceSlots, now_s: float
    ) -> None:
        name = service.service
        if self._membership.me.host not in service.hosts:
            return
        due_s = self._next_connect_s.get(name, -1.0)
        if now_s >= due_s:
            self._next_connect_s[name] = now_s + CONNECT_INTERVAL_S
            for entry in service.warmth.entries.values():
                if entry.state.connections < self._wanted_connections(entry):
                    target = entry.state.target.name
                    self._spawn_once(
                        ('connect', name, target), self._connect(service, entry)
                    )
        if service.warmth.to_request_proofs():
            self._spawn_once(('pull', name), self._request_proofs(service))
        for entry in service.warmth.to_confirm(now_s):
            for host in entry.unconfirmed:
                key = ('confirm', name, entry.state.target.name, host)
                self._spawn_once(key, self._confirm(service, entry, host))
        for entry in service.warmth.to_announce():
            for host, incarnation in service.warmth.others.items():
                if entry.informed.get(host) != incarnation:
                    key = ('announce', name, entry.state.target.name, host)
                    self._spawn_once(key, self._announce(service, entry, host))

    async def _connect(
        self, service: service_.ServiceSlots, entry: entry_.Entry
    ) -> None:
        """Opens missing connections to a target."""
        wanted = self._wanted_connections(entry)
        if entry.state.connections < wanted:
            await self._upstream.keep_open(
                service.service, entry.state.target, wanted
            )

    def _wanted_connections(self, entry: entry_.Entry) -> int:
        """Returns how many connections to a target are kept open."""
        if not entry.open:
            return 0
        if entry.state.phase is not state_.Phase.WARM:
            return 1
        slots = max(1, entry.state.target.slots)
        max_connections = (
            MAX_TARGET_CONNECTIONS * max(1, entry.own_slots) // slots
        )
        # One more than the own slots, for overflow or a borrowed slot.
        return min(max(1, max_connections), entry.own_slots + 1)

    async def _request_proofs(self, service: service_.ServiceSlots) -> None:
        """Asks the other hosts which targets are proved to be warm.

        The connections of this host are opened first, because a proof applies
        only to connections that were open when it was requested.
        """
        warmth = service.warmth
        entries = warmth.to_request_proofs()
        connects = [self._connect(service, entry) for entry in entries]
        await asyncio.gather(*connects, return_exceptions=True)
        generations = {
            entry.state.target.name: entry.state.generation
            for entry in entries
            if entry.state.connections
        }
        message = wire.TargetPull(service.service)
        batches = await asyncio.gather(
            *(self._request(host, message) for host in warmth.others)
        )
        for batch in batches:
            for notice in batch.notices if batch else ():
                if notice.target in generations:
                    warmth.proved(notice, generations[notice.target])
        for entry in entries:
            warmth.mark_proofs_requested(entry)

    async def _confirm(
        self, service: service_.ServiceSlots, entry: entry_.Entry, host: str
    ) -> None:
        episode = entry.episode
        message = service.warmth.notice(entry, state_.Phase.COLD)
        done = await self._request(host, message)
        if done is not None and done.accepted:
            service.warmth.confirmed(entry, host, episode)

    async def _announce(
        self, service: service_.ServiceSlots, entry: entry_.Entry, host: str
    ) -> None:
        """Announces to a host, in two steps, that a target is warm.

        The second step is sent only if the connections of this host stayed
        open during the first one; see `TargetLifecycle.on_notice`.
        """
        warmth = service.warmth
        incarnation = warmth.others.get(host)
        episode = entry.episode
        generation = entry.state.generation
        notice = warmth.notice(entry, state_.Phase.WARMING)
        done = await self._request(host, notice)
        if done is None or not done.accepted:
            return
        if not entry.state.proved_warm() or entry.episode != episode:
            return
        if entry.state.generation != generation or incarnation is None:
            return
        done = await self._request(
            host, warmth.notice(entry, state_.Phase.WARM)
        )
        if done is not None and done.accepted and entry.episode == episode:
            entry.informed[host] = incarnation

    async def _borrow(
        self, service: service_.ServiceSlots, loan: traffic_.LoanRequest
    ) -> None:
        sent_s = self._clock.monotonic()
        grant = await self._request(loan.host, loan.message)
        service.granted(loan.host, grant, sent_s)
        self._wake(service.service)

    async def _request(
        self, host: str, message: wire.Message
    ) -> wire.Message | None:
        try:
            return await self._transport.request(
                host, message, timeout_s=REQUEST_TIMEOUT_S
            )
        except errors.PeerError:
            return None

    async def _send(self, host: str, message: wire.Message) -> None:
        with contextlib.suppress(errors.PeerError):
            await self._transport.send(host, message)

    def _post(self, host: str, message: wire.Message) -> None:
        self._spawn(self._send(host, message))

    def _wake(self, name: str) -> None:
        """Requests loans and starts the frequent upkeep if they are needed."""
        if name in self._services:
            self._request_loans()
            self._start_busy_upkeep()

    def _start_busy_upkeep(self) -> None:
        if self._busy_task is None and any(
            service.busy for service in self._services.values()
        ):
            self._busy_task = self._spawn(self._run_busy_upkeep())

    def _request_loans(self) -> None:
        for loan in self.traffic.requests(self._services.values()):
            service = self._services[loan.message.service]
            self._spawn(self._borrow(service, loan))

    def _return_loans(self) -> None:
        returns = self.traffic.returns(
            self._membership.me.host,
            self._services.values(),
            self._clock.monotonic(),
        )
        for loan_return in returns:
            self._post(loan_return.host, loan_return.message)

    def _spawn_once(
        self, key: tuple[str, ...], coro: abc.Coroutine[None, None, None]
    ) -> None:
        """Starts a task unless one with the same key is still running."""
        if key in self._running_keys:
            coro.close()
            return
        self._running_keys.add(key)
        task = self._spawn(coro)
        if task is not None:
            task.add_done_callback(lambda _: self._running_keys.discard(key))

    def _spawn(
        self, coro: abc.Coroutine[None, None, None]
    ) -> asyncio.Task[None] | None:
        if self._stopping:
            coro.close()
            return None
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)
        return task

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error(
                'slots: task failed, error=%s',
                task.exception(),
                exc_info=task.exception(),
            )

    # Received messages.

    async def _on_status(self, host: str, message: wire.SlotStatus) -> None:
        service = self._services.get(message.service)
        if service is not None and message.host == host:
            service.peer_status(message)

    async def _on_request(
        self, host: str, message: wire.SlotRequest
    ) -> wire.Message:
        service = self._services.get(message.service)
        if service is None or message.host != host:
            grant = self.traffic.empty_grant()
        else:
            grant = service.grant(message)
        return peers.UNANSWERED if grant is None else grant

    async def _on_return(self, host: str, message: wire.SlotReturn) -> None:
        if message.host != host:
            return
        for service in self._services.values():
            service.returned(message)

    async def _on_notice(
        self, host: str, message: wire.TargetNotice
    ) -> wire.Done:
        service = self._services.get(message.service)
        if service is None:
            return wire.Done(accepted=False)
        if service.view_is_stale():
            service.view_changed()
        return service.warmth.on_notice(host, message)

    async def _on_pull(
        self, host: str, message: wire.TargetPull
    ) -> wire.TargetBatch:
        service = self._services.get(message.service)
        if service is None:
            return wire.TargetBatch(())
        return service.warmth.warm_proofs()

    async def _on_suspect(self, host: str, message: wire.TargetSuspect) -> None:
        service = self._services.get(message.service)
        if service is not None and message.host == host:
            service.warmth.on_suspect(message)

    def _connection_changed(
        self, service: str, state: state_.TargetState
    ) -> None:
        known = self._services.get(service)
        if known is not None:
            known.connection_changed(state)

    def _domain_open(self, failure_domain: str) -> bool:
        state = self._domain_state(failure_domain)
        return state is not documents.DomainState.OUT
