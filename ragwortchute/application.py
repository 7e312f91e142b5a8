"""Composition root: builds, starts and stops an entry host's components."""

import asyncio
from collections import abc
import random
import secrets

from absl import logging
from returns import result

from ragwortchute import budgets
from ragwortchute import calls
from ragwortchute import clock as clock_lib
from ragwortchute import codecs
from ragwortchute import config
from ragwortchute import console as console_lib
from ragwortchute import directory as directory_lib
from ragwortchute import documents
from ragwortchute import errors
from ragwortchute import events
from ragwortchute import plugins
from ragwortchute import scraping
from ragwortchute import serving
from ragwortchute import stores
from ragwortchute import wire
from ragwortchute.callers import application as caller_application
from ragwortchute.dispatch import dispatcher as dispatcher_lib
from ragwortchute.dispatch import spill as spill_lib
from ragwortchute.distribution import distributor as distributor_lib
from ragwortchute.documents import loading
from ragwortchute.membership import regional
from ragwortchute.operators import application as operator_application
from ragwortchute.operators import metrics as metrics_lib
from ragwortchute.peers import tcp
from ragwortchute.records import crashes
from ragwortchute.records import recorder as recorder_lib
from ragwortchute.records import tokens as tokens_lib
from ragwortchute.slots import manager as manager_lib
from ragwortchute.targets import table as table_lib
from ragwortchute.upstream import http

_INCARNATION_BITS = 63
_DRAIN_POLL_S = 0.02


class EntryHost:
    """All components of one entry host.

    Args:
        cfg: Validated settings.
        clock: Source of time; by default the system clock.
        store: Client of the object API; by default the one that the settings
            select.
    """

    def __init__(
        self,
        cfg: config.Settings,
        *,
        clock: clock_lib.Clock | None = None,
        store: stores.Store | None = None,
    ) -> None:
        plugins.load()
        self.cfg = cfg
        self.clock = clock or clock_lib.SystemClock()
        self.rng = random.Random(cfg.seed or secrets.randbits(64))
        self.events = events.EventTable()
        self.store = store or _make_store(cfg)
        self.me = _make_member(cfg)
        self._tasks: list[asyncio.Task[None]] = []
        self._build_peers()
        self._build_slots()
        self._build_dispatch()
        self._build_listeners()
        self._connect_events()

    def _build_peers(self) -> None:
        cfg = self.cfg
        self.transport = tcp.TcpTransport(
            self.me,
            cfg.deployment_key.encode(),
            codecs.REGISTRY.get(cfg.codec)(),
            self.clock,
            self.rng,
        )
        self.membership = regional.RegionalMembership(
            self.me,
            self.store,
            self.transport,
            self.clock,
            self.rng,
            self.events,
            timing=regional.Timing(
                cfg.heartbeat_interval_s, cfg.suspect_s, cfg.lease_s
            ),
            seeds=config.parse_seeds(cfg.seed_hosts),
        )
        self.distributor = distributor_lib.Distributor(
            self.store,
            self.transport,
            self.membership,
            self.clock,
            self.rng,
            self.events,
            _load_document,
        )
        self.transport.on_reachability_change = self.membership.set_reachable
        self.membership.digest = self.distributor.digest
        self.membership.on_peer_digest = self.distributor.on_peer_digest
        self.membership.domain_out = self.distributor.domain_out

    def _build_slots(self) -> None:
        cfg = self.cfg
        self.table = table_lib.TargetTable()
        self.upstream = http.HttpUpstream(
            self.clock,
            listener=self.table,
            max_answer_bytes=cfg.max_answer_bytes,
        )
        self.slots = manager_lib.SlotManager(
            clock=self.clock,
            membership=self.membership,
            transport=self.transport,
            table=self.table,
            upstream=self.upstream,
            domain_state=self.distributor.domain_state,
            codec=self.transport.codec,
            rng=self.rng,
            events=self.events,
            loan_s=cfg.loan_ms / 1000,
            hedge_percent=cfg.hedge_percent,
            retry_percent=cfg.retry_percent,
        )

    def _build_dispatch(self) -> None:
        cfg = self.cfg
        self.tokens = tokens_lib.TokenMint(
            cfg.deployment_key, self.clock, cfg.token_lifetime_s
        )
        self.directory = directory_lib.HostDirectory(
            membership=self.membership,
            tokens=self.tokens,
            domain_out=self.distributor.domain_out,
            rng=self.rng,
            clock=self.clock,
            lifetime_ms=cfg.address_lifetime_ms,
        )
        self.directory.loaded = lambda: self.distributor.ready
        self.directory.has_slots = self.slots.has_slots
        self.crash_guard = crashes.DigestCrashGuard(
            clock=self.clock,
            transport=self.transport,
            membership=self.membership,
            deployment_key=cfg.deployment_key,
        )
        self.dispatcher = dispatcher_lib.Dispatcher(
            slot_source=self.slots.service,
            sender=self.upstream,
            guard=self.crash_guard,
            retry_budget=lambda name: self.slots.service(name).retry_budget,
            clock=self.clock,
        )
        self.link_budget = budgets.LinkBudget(
            self.clock, documents.DeploymentDocument({}).link_budget_bytes_per_s
        )
        self.spill = spill_lib.SpillDispatcher(
            dispatch=self.dispatcher.run,
            transport=self.transport,
            clock=self.clock,
            region=self.me.region,
            can_serve=self._can_serve,
            remote_hosts=self._remote_hosts_of_service,
            link_budget=self.link_budget,
        )
        self.recorder = recorder_lib.OriginRecorder(
            clock=self.clock,
            transport=self.transport,
            membership=self.membership,
            tokens=self.tokens,
            record_bytes=cfg.record_bytes,
            addresses=self._addresses,
        )

    def _build_listeners(self) -> None:
        cfg = self.cfg
        self.caller_app = caller_application.CallerApplication(
            directory=self.directory,
            dispatch=self.spill.run,
            recorder=self.recorder,
            clock=self.clock,
            limits=caller_application.Limits(
                max_body_bytes=cfg.max_body_bytes, max_calls=cfg.max_calls
            ),
            events=self.events,
            access_log=cfg.access_log,
        )
        self.console = console_lib.HostConsole(
            directory=self.directory,
            distributor=self.distributor,
            membership=self.membership,
            slot_manager=self.slots,
            clock=self.clock,
        )
        self.metrics = self._make_metrics()
        self.operator_app = operator_application.OperatorApplication(
            token=cfg.operator_token,
            console=self.console,
            metrics=self.metrics,
            dumps=self._make_dumps(),
            secrets=(cfg.deployment_key,),
        )
        self.caller_server = self._make_http_server(
            self.caller_app, cfg.caller_address
        )
        self.operator_server = self._make_http_server(
            self.operator_app, cfg.operator_address
        )

    def _make_http_server(
        self, app: abc.Callable[..., abc.Awaitable[None]], address: str
    ) -> serving.HttpServer:
        ip, port = config.parse_address(address)
        return serving.HttpServer(
            app,
            ip,
            port,
            max_head_bytes=self.cfg.max_head_bytes,
            stop_s=self.cfg.stop_s,
        )

    def _make_metrics(self) -> scraping.Metrics:
        metrics = scraping.Metrics()
        scraping.add_process(metrics)
        metrics_lib.add_call_path(
            metrics, self.caller_app, self.dispatcher.counts
        )
        metrics_lib.add_control(metrics, self.transport.counts)
        metrics_lib.add_records(metrics, self.recorder.budget)
        metrics_lib.add_spill(metrics, self.spill)
        return metrics

    def _make_dumps(self) -> dict[str, abc.Callable[[], object]]:
        return {
            'settings': self.cfg.dump,
            'status': self.console.status,
            'targets': self.console.targets,
            'callers': self.caller_app.dump,
            'dispatch': lambda: self.dispatcher.counts,
            'control': lambda: self.transport.counts,
            'view': lambda: self.membership.view,
            'lease': lambda: {
                'valid': self.membership.lease_valid(),
                'gains_allowed': self.membership.may_use_new_ownership(),
            },
            'records': self.recorder.dump,
            'slots': self.slots.dump,
            'domains': self.distributor.domain_status,
            'orders': self.distributor.unrecorded_orders,
            'spill': lambda: {
                'spilled': self.spill.spilled,
                'served': self.spill.served,
                'link_balance_bytes': self.link_budget.balance(),
            },
        }

    def _connect_events(self) -> None:
        self.events.connect('document-applied', self._document_applied)
        self.events.connect(
            'domain-changed', lambda **_: self.slots.domains_changed()
        )
        self.events.connect(
            'view-changed', lambda **_: self.slots.view_changed()
        )

    def _document_applied(self, document: object, version: int) -> None:
        self.directory.apply(document, version)
        if isinstance(document, documents.ServiceDocument):
            self.slots.apply(document)
        elif isinstance(document, documents.DeploymentDocument):
            self.link_budget.bytes_per_s = document.link_budget_bytes_per_s

    async def start(self) -> None:
        """Starts all components; returns once the listeners are open.

        Raises:
            RagwortchuteError: A listener can't be opened.
        """
        await self.transport.start(
            self.cfg.peer_listen_address or self.cfg.peer_address
        )
        self.recorder.start(self._run_forwarded, self.spill.on_spill)
        self.crash_guard.start()
        self.transport.on(wire.Stopping, self._on_stopping)
        self._start_task('membership', self.membership.run())
        self._start_task('distribution', self.distributor.run())
        self._start_task('slots', self.slots.run())
        await self.operator_server.start()
        await self.caller_server.start()
        logging.info('host: started, name=%s', self.me.host)

    async def stop(self) -> None:
        """Stops gracefully, without interrupting a running request.

        The host is first left out of new address answers, but serves callers
        with a cached answer until that answer expires. It then finishes the
        running requests, hands its request record over and closes.
        """
        self.directory.stopping = True
        self.events.emit('leaving')
        await self._announce_leaving()
        await self.clock.sleep(self.cfg.address_lifetime_ms / 1000)
        await self.caller_server.stop()
        if not await self.recorder.hand_over(self.cfg.stop_s / 2):
            logging.warning('host: record was not handed over')
        await self.close()
        logging.info('host: stopped, name=%s', self.me.host)

    async def close(self) -> None:
        """Stops all components without a grace period."""
        await self.caller_server.stop()
        await self.operator_server.stop()
        await self.recorder.close()
        await self.crash_guard.close()
        await self.slots.stop()
        await self.distributor.stop()
        await self.membership.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.upstream.close()
        await self.transport.close()
        await self.store.close()

    async def _announce_leaving(self) -> None:
        """Asks the other hosts to leave this one out of their answers."""
        notice = wire.Stopping(self.me.host, self.me.incarnation)
        for member in self.membership.live_members():
            if member.host == self.me.host:
                continue
            try:
                await self.transport.send(member.host, notice)
            except errors.PeerError as exc:
                logging.info(
                    'host: could not announce the stop to a peer, cause=%s', exc
                )

    async def _on_stopping(self, sender: str, message: wire.Stopping) -> None:
        self.membership.mark_leaving(message.host)

    async def _run_forwarded(self, call: calls.Call) -> result.Result:
        return await self.spill.run(call)

    def _can_serve(self, service: str) -> bool:
        source = self.slots.service(service)
        return source is not None and any(
            entry.open for entry in source.warmth.entries.values()
        )

    def _remote_hosts_of_service(self, service: str) -> list[wire.Member]:
        document = self.directory.document(service)
        if document is None:
            return []
        regions = {target.region for target in document.targets}
        return [
            member
            for member in self.directory.remote_set(
                service, document.hosts_per_service
            )
            if member.region in regions
        ]

    def _addresses(self, call: calls.Call) -> calls.AddressAnswer:
        path = call.path.partition('?')[0]
        return self.directory.addresses(
            call.service, call.tenant, call.method, path
        )

    def _start_task(
        self, name: str, coro: abc.Coroutine[None, None, None]
    ) -> None:
        task = asyncio.create_task(coro, name=name)
        task.add_done_callback(_log_task_failure)
        self._tasks.append(task)


def _make_store(cfg: config.Settings) -> stores.Store:
    return stores.REGISTRY.get(cfg.store)(cfg.store_url)


def _make_member(cfg: config.Settings) -> wire.Member:
    return wire.Member(
        host=cfg.host,
        incarnation=secrets.randbits(_INCARNATION_BITS) | 1,
        peer_address=cfg.peer_address,
        caller_url=cfg.caller_url or f'http://{cfg.caller_address}',
        failure_domain=cfg.failure_domain,
        region=cfg.region,
    )


def _load_document(name: str, value: bytes) -> loading.Document:
    """Decodes and validates a document.

    Raises:
        DocumentError: The document is invalid.
    """
    loaded = loading.load(value, name=name)
    if isinstance(loaded, result.Success):
        return loaded.unwrap()
    problems = loaded.failure()
    if not problems:
        raise errors.DocumentError(name, 'refused')
    raise problems[0]


def _log_task_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        logging.error(
            'host: task failed, name=%s cause=%r',
            task.get_name(),
            task.exception(),
        )
