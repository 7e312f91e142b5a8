"""Carries the messages and the upkeep of the slots of all services."""

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

TICK_S = 0.01
REQUEST_TIMEOUT_S = 0.1
# Time between two rounds of confirmations, announcements and proofs.
ROUND_S = 0.1
CONNECT_ROUND_S = 0.25
# Connections that a target accepts from all hosts together.
TARGET_CONNECTIONS = 220


class SlotManager:
    """The slots of all services of this host.

    Args:
        clock: Source of time.
        membership: View, lease and serving sets.
        transport: Messages to other hosts.
        table: States of the targets; also the listener of `upstream`.
        upstream: Opens connections to targets.
        domain_state: Returns the state of a failure domain by name.
        codec: Codec of the transport, for the size of messages.
        rng: Source of random choices.
        events: Events to emit.
        loan_s: Term of loans, in seconds.
        hedge_percent: Hedges per 100 calls.
        retry_percent: Retries per 100 calls.

    Attributes:
        traffic: Budget of the messages of loans.
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
        self._busy: set[tuple[str, ...]] = set()
        self._fast: asyncio.Task[None] | None = None
        self._connect_at_s: dict[str, float] = {}
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

    # Use by other parts.

    def service(self, name: str) -> service_.ServiceSlots | None:
        """Returns the slots of a service, or None if it is unknown."""
        return self._services.get(name)

    def dump(self) -> dict[str, object]:
        """Returns serving set, waiting calls and loans of each service."""
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
        """Tells whether this host may send to a target of a service."""
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
        """Takes over a new version of a service document."""
        known = self._services.get(document.service)
        if known is not None:
            known.apply(document)
            return
        self._services[document.service] = service_.ServiceSlots(
            document, self._ctx
        )

    def remove(self, service: str) -> None:
        """Forgets a service whose document was removed."""
        known = self._services.pop(service, None)
        if known is not None:
            known.close()
            self._table.remove(service)

    def view_changed(self) -> None:
        """Takes over a new view or a change of the live members."""
        for service in self._services.values():
            if service.view_is_new():
                service.view_changed()

    def domains_changed(self) -> None:
        """Takes over changed states of failure domains."""
        for service in self._services.values():
            service.domains_changed()

    async def run(self) -> None:
        """Runs the upkeep until it is cancelled.

        Services with waiting calls or borrowed slots get theirs more often,
        in a task that lasts only as long as there are any: a tick of every
        service each 10 ms took 3 % of a core with four idle services.
        """
        while True:
            self.tick()
            await self._clock.sleep(ROUND_S)

    async def _run_busy(self) -> None:
        busy = [s for s in self._services.values() if s.busy]
        while busy:
            await self._clock.sleep(TICK_S)
            for service in busy:
                self._tick_service(service)
            self._ask_for_slots()
            self._return_slots()
            busy = [s for s in self._services.values() if s.busy]
        self._fast = None

    async def stop(self) -> None:
        """Refuses waiting calls and ends all tasks."""
        self._stopping = True
        for service in self._services.values():
            service.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def tick(self) -> None:
        """Does the upkeep that is due."""
        now_s = self._clock.monotonic()
        self.view_changed()
        for service in self._services.values():
            self._tick_service(service)
            self._round(service, now_s)
        self._ask_for_slots()
        self._return_slots()
        self._start_busy()

    def _tick_service(self, service: service_.ServiceSlots) -> None:
        """Does the upkeep of a service; an error must not stop the others."""
        try:
            service.tick()
        except Exception:
            logging.exception(
                'slots: upkeep failed, service=%s', service.service
            )

    # Rounds of messages.

    def _round(self, service: service_.ServiceSlots, now_s: float) -> None:
        name = service.service
        if self._membership.me.host not in service.hosts:
            return
        due_s = self._connect_at_s.get(name, -1.0)
        if now_s >= due_s:
            self._connect_at_s[name] = now_s + CONNECT_ROUND_S
            for entry in service.warmth.entries.values():
                if entry.state.connections < self._wanted(entry):
                    target = entry.state.target.name
                    self._once(
                        ('connect', name, target), self._connect(service, entry)
                    )
        if service.warmth.to_pull():
            self._once(('pull', name), self._pull(service))
        for entry in service.warmth.to_confirm(now_s):
            for host in entry.unconfirmed:
                key = ('confirm', name, entry.state.target.name, host)
                self._once(key, self._confirm(service, entry, host))
        for entry in service.warmth.to_announce():
            for host, incarnation in service.warmth.others.items():
                if entry.informed.get(host) != incarnation:
                    key = ('announce', name, entry.state.target.name, host)
                    self._once(key, self._announce(service, entry, host))

    async def _connect(
        self, service: service_.ServiceSlots, entry: entry_.Entry
    ) -> None:
        """Keeps connections of a target open and warm."""
        wanted = self._wanted(entry)
        if entry.state.connections < wanted:
            await self._upstream.keep_open(
                service.service, entry.state.target, wanted
            )

    def _wanted(self, entry: entry_.Entry) -> int:
        """Returns how many connections to a target are kept open."""
        if not entry.open:
            return 0
        if entry.state.phase is not state_.Phase.WARM:
            return 1
        slots = max(1, entry.state.target.slots)
        most = TARGET_CONNECTIONS * max(1, entry.own) // slots
        # One more for overflow or a borrowed slot.
        return min(max(1, most), entry.own + 1)

    async def _pull(self, service: service_.ServiceSlots) -> None:
        """Asks the other hosts which targets they prove to be warm.

        Waits for the connections of this host first, because a proof counts
        only for a connection that was open when it was asked for.
        """
        warmth = service.warmth
        pulled = warmth.to_pull()
        connects = [self._connect(service, entry) for entry in pulled]
        await asyncio.gather(*connects, return_exceptions=True)
        before = {
            entry.state.target.name: entry.state.generation
            for entry in pulled
            if entry.state.connections
        }
        message = wire.TargetPull(service.service)
        batches = await asyncio.gather(
            *(self._ask(host, message) for host in warmth.others)
        )
        for batch in batches:
            for notice in batch.notices if batch else ():
                if notice.target in before:
                    warmth.proved(notice, before[notice.target])
        for entry in pulled:
            warmth.pulled(entry)

    async def _confirm(
        self, service: service_.ServiceSlots, entry: entry_.Entry, host: str
    ) -> None:
        episode = entry.episode
        message = service.warmth.notice(entry, state_.Phase.COLD)
        done = await self._ask(host, message)
        if done is not None and done.accepted:
            service.warmth.confirmed(entry, host, episode)

    async def _announce(
        self, service: service_.ServiceSlots, entry: entry_.Entry, host: str
    ) -> None:
        """Tells a host that a target is warm, in two steps.

        The connections of both hosts must be open throughout the first step;
        see `Warmth.on_notice`.
        """
        warmth = service.warmth
        incarnation = warmth.others.get(host)
        episode = entry.episode
        generation = entry.state.generation
        question = warmth.notice(entry, state_.Phase.WARMING)
        done = await self._ask(host, question)
        if done is None or not done.accepted:
            return
        if not entry.state.proved_warm() or entry.episode != episode:
            return
        if entry.state.generation != generation or incarnation is None:
            return
        done = await self._ask(host, warmth.notice(entry, state_.Phase.WARM))
        if done is not None and done.accepted and entry.episode == episode:
            entry.informed[host] = incarnation

    async def _borrow(
        self, service: service_.ServiceSlots, loan: traffic_.LoanRequest
    ) -> None:
        sent_s = self._clock.monotonic()
        grant = await self._ask(loan.host, loan.message)
        service.granted(loan.host, grant, sent_s)
        self._wake(service.service)

    async def _ask(
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
        """Asks for slots and for frequent upkeep if calls of a service wait."""
        if name in self._services:
            self._ask_for_slots()
            self._start_busy()

    def _start_busy(self) -> None:
        if self._fast is None and any(
            service.busy for service in self._services.values()
        ):
            self._fast = self._spawn(self._run_busy())

    def _ask_for_slots(self) -> None:
        for loan in self.traffic.requests(self._services.values()):
            service = self._services[loan.message.service]
            self._spawn(self._borrow(service, loan))

    def _return_slots(self) -> None:
        returns = self.traffic.returns(
            self._membership.me.host,
            self._services.values(),
            self._clock.monotonic(),
        )
        for loan_return in returns:
            self._post(loan_return.host, loan_return.message)

    def _once(
        self, key: tuple[str, ...], coro: abc.Coroutine[None, None, None]
    ) -> None:
        """Starts a task unless the one before of the same key still runs."""
        if key in self._busy:
            coro.close()
            return
        self._busy.add(key)
        task = self._spawn(coro)
        if task is not None:
            task.add_done_callback(lambda _: self._busy.discard(key))

    def _spawn(
        self, coro: abc.Coroutine[None, None, None]
    ) -> asyncio.Task[None] | None:
        if self._stopping:
            coro.close()
            return None
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
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
            grant = self.traffic.refusal()
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
        if service.view_is_new():
            service.view_changed()
        return service.warmth.on_notice(host, message)

    async def _on_pull(
        self, host: str, message: wire.TargetPull
    ) -> wire.TargetBatch:
        service = self._services.get(message.service)
        if service is None:
            return wire.TargetBatch(())
        return service.warmth.proofs()

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
