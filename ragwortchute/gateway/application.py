"""Composition of the parts of a gateway host."""

import asyncio
from collections import abc
import functools
import random
import secrets

import msgspec

from ragwortchute import stores
from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import directory
from ragwortchute.gateway import dispatcher
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import grace
from ragwortchute.gateway import host_settings
from ragwortchute.gateway import host_state
from ragwortchute.gateway import model
from ragwortchute.gateway import planned_stop
from ragwortchute.gateway import relays
from ragwortchute.gateway import request_log
from ragwortchute.gateway import stats as stats_
from ragwortchute.gateway import supervisor
from ragwortchute.gateway.http import answer_memory
from ragwortchute.gateway.http import http_server
from ragwortchute.gateway.http import pipeline
from ragwortchute.gateway.http import pools
from ragwortchute.gateway.locality import locality_part
from ragwortchute.gateway.organisations import host_tokens
from ragwortchute.gateway.organisations import quota_part
from ragwortchute.gateway.organisations import recency
from ragwortchute.gateway.peers import failure_reports
from ragwortchute.gateway.peers import membership as membership_
from ragwortchute.gateway.peers import peer_api
from ragwortchute.gateway.peers import peer_socket
from ragwortchute.gateway.resources import account
from ragwortchute.gateway.resources import limits as limits_
from ragwortchute.gateway.rollouts import runtime as rollouts_
from ragwortchute.gateway.selection import candidates
from ragwortchute.gateway.selection import crash_guard
from ragwortchute.gateway.selection import pacing
from ragwortchute.gateway.selection import pauses
from ragwortchute.gateway.selection import send_limits
from ragwortchute.gateway.selection import statement_reader
from ragwortchute.gateway.selection import target_report
from ragwortchute.gateway.selection import target_statements
from ragwortchute.gateway.store import replica
from ragwortchute.gateway.store import source_choice
from ragwortchute.gateway.store import sources
from ragwortchute.gateway.store import store_feed
from ragwortchute.gateway.store import store_follower
from ragwortchute.gateway.store import store_health

# How long callers may cache an address response.
ADDRESS_TTL_S = 2.0
# Longest wait at the start for other hosts whose replicas can be read.
FIND_PEERS_TIMEOUT_S = 5.0
FIND_PEERS_CHECK_S = 0.02
# A host that can't read the host list collects heartbeats for this long before
# it sends to cold targets.
MEMBERSHIP_SETTLE_S = 5.0
# After the discovery of a host, all hosts need this long to agree on the hosts
# among which the load on cold targets is divided.
DISCOVERY_SETTLE_S = 1.0
# A host refuses requests once it has known for this share of the time within
# which a change must be in force that there is one. The news may take the rest
# of the time to arrive.
OUTDATED_AFTER_FRACTION = 0.5


class Gateway:
    """A gateway host.

    Args:
        settings: Settings of this host.
        store: Client of the object API.
        dialect: Protocol of callers and targets.
        log: Event log.

    Attributes:
        stats: Counters and latency histograms.
        state: Configuration and targets.
        membership: Hosts of the deployment.
        health: Availability of the store.
        statements: What targets have said to all hosts.
        pauses: Pauses that targets have asked this host for.
        target_report: What targets have said, by their names.
        quotas: Quotas of organisations, None if none are enforced.
        dispatcher: Serves requests of callers.
        rng: Random number generator.
        account: Account of memory, connections and descriptors.
        rollouts: Rollouts, None where none occur.
        bodies: Memory for long bodies of requests.
        answers: Memory for long answers.
        callers: Listener for callers.
        peers: Listener for other hosts.
        leaving: Whether this host is stopping.
        peers_searched: Whether this host has looked for others, with or
            without success.
        registered: Set once this host has found the others or is listed.
    """

    def __init__(
        self,
        settings: host_settings.Settings,
        store: stores.Store,
        dialect: dialects.Dialect,
        log: eventlog.EventLog,
    ) -> None:
        self._settings = settings
        self._store = store
        self._log = log
        self.rng = random.Random()
        self._loop = asyncio.get_running_loop()
        me = settings.me
        if host_tokens.CONTRACT in settings.contracts:
            token = secrets.token_hex(host_tokens.TOKEN_BYTES)
            me = msgspec.structs.replace(me, token=token)
        self.stats = stats_.Stats()
        self._supervisor = supervisor.Supervisor(log, self.stats, self.rng)
        self.health = store_health.StoreHealth(log)
        self.state = host_state.HostState(
            dialect, settings.domains, me.failure_domain, log
        )
        self._socket = peer_socket.PeerSocket()
        self.membership = membership_.Membership(
            me, self._socket, log, self.rng, settings.dead_s
        )
        self._socket.on_datagram = self.membership.on_datagram
        self.statements = target_statements.TargetStatements(log)
        self.statements.name_of = self.state.name_of
        self.membership.local_statements = self.statements.encode
        self.membership.on_statements = self.statements.handle
        self.pauses = pauses.Pauses(log)
        self.target_report = target_report.TargetReport(
            self.state, self.statements, self.pauses
        )
        self._send_limits = send_limits.SendLimits(
            self.statements,
            self.pauses,
            settings.limits.warmup_overage,
            settings.limits.warmup_slack,
        )
        reader = statement_reader.StatementReader(
            dialect, self.state, self.statements, self.pauses, log
        )
        self._selector = candidates.TargetSelector(
            self.rng, self._send_limits, reader, settings.limits.probes_per_s
        )
        self.locality = self._selector.locality = locality_part.create(
            settings.crossing, self.rng, log
        )
        self.account = account.Account(
            limits_.derive(settings.memory_bytes, settings.max_descriptors), log
        )
        self.state.upstream = self.account.upstream
        self._host_pools = pools.HostPools(self.account.upstream)
        self._failure_reports = failure_reports.FailureReports(
            self.rng, self.state.note_reported_failure
        )
        self.membership.on_failure_reports = self._failure_reports.handle_batch
        self._grace_period = grace.GracePeriod()
        self.quotas = quota_part.create(
            settings.contracts,
            settings.bounds,
            self.membership,
            self.state,
            lambda: self._send_limits.fleet.discovered,
            log,
            self.rng,
        )
        self._followers: dict[str, store_follower.Follower] = {}
        self.dispatcher = self._create_dispatcher(dialect, reader)
        self._replicas: dict[str, replica.Replica] = {}
        self.bodies = self.account.bodies
        self.callers = self._create_listener(self.dispatcher.serve, 'callers')
        self.callers.refuse_early = self.dispatcher.refuse_early
        gate = host_tokens.HostGate(me.token, self.state.has_organisations)
        api = peer_api.PeerApi(self._replicas, self.dispatcher, gate)
        self.peers = self._create_listener(api.serve, 'peers')
        self.peers.essential = True
        self.membership.local_revisions = self._last_change_revisions
        self.membership.on_peer_revision = self._on_peer_revision
        self.rollouts: rollouts_.Rollouts | None = None
        self.leaving = False
        self.peers_searched = False
        self.registered = asyncio.Event()

    def _create_dispatcher(
        self,
        dialect: dialects.Dialect,
        reader: statement_reader.StatementReader,
    ) -> dispatcher.Dispatcher:
        """Returns the dispatcher, connected to the other hosts."""
        log = self._log
        guard = crash_guard.CrashGuard(
            self._settings.me.name, self.membership, log
        )
        self.membership.on_crash_notice = guard.handle_notice
        self.membership.on_answer_notice = guard.handle_answer_notice
        self.answers = answer_memory.AnswerMemory(
            self.account.limits.answer_bytes
        )
        request_log_ = request_log.RequestLog(log, self.state, self.stats)
        dispatcher_ = dispatcher.Dispatcher(
            state=self.state,
            dialect=dialect,
            selector=self._selector,
            relays=relays.Relays(
                self.membership,
                self._host_pools,
                dialect,
                request_log_,
                self.stats,
                self.rng,
                self.answers,
            ),
            request_log=request_log_,
            crash_guard=guard,
            failures=self._failure_reports,
            statements=reader,
            grace_period=self._grace_period,
            is_outdated=self._is_outdated,
            is_confirmed=recency.Recency(
                self.state, self._followers, self._settings.config_s
            ).is_confirmed,
            limits=self._settings.limits,
            stats=self.stats,
            rng=self.rng,
            memory=self.answers,
            quotas=self.quotas,
        )
        dispatcher_.gate.enabled = self._settings.admits_by_urgency
        dispatcher_.choice.locality = self.locality
        loans = dispatcher_.retries.loans
        loans.send = self.membership.ask_for_loans
        loans.reply = self.membership.send_loan
        self.membership.on_loan = dispatcher_.retries.handle_loan
        return dispatcher_

    def _create_listener(
        self, handler: pipeline.Handler, name: str
    ) -> http_server.Listener:
        return http_server.Listener(
            handler,
            lambda: self.state.limits,
            self._log,
            name,
            account=self.account,
        )

    @property
    def ready(self) -> bool:
        """Whether this host accepts new callers."""
        return self.state.complete and not self.leaving

    @property
    def probes(self) -> int:
        """Number of health requests sent to targets."""
        return self._selector.probes_sent

    @property
    def full_shares(self) -> dict[str, float]:
        """Share of targets without a free slot, by service."""
        return self._selector.full_shares()

    def revisions(self) -> dict[str, float]:
        """Returns the revision up to which changes are known, by prefix."""
        return {
            prefix: replica_.revision
            for prefix, replica_ in self._replicas.items()
        }

    def replica_ages_s(self) -> dict[str, float]:
        """Returns for how long replicas are not confirmed, by prefix."""
        now_s = self._loop.time()
        return {
            prefix: now_s - replica_.confirmed_s
            for prefix, replica_ in self._replicas.items()
            if replica_.revision
        }

    def hosts(self) -> list[model.HostEntry]:
        """Returns the hosts that accept new callers."""
        return self.membership.available_hosts(self._loop.time())

    def addresses(
        self, name: str, region: str, failure_domain: str
    ) -> list[str]:
        """Returns the addresses that a caller should connect to.

        Args:
            name: Host name that the caller requests.
            region: Region of the caller.
            failure_domain: Failure domain of the caller.
        """
        hosts = directory.choose_hosts(
            self.hosts(),
            region,
            failure_domain,
            self.state.table.homes(name),
            self.rng,
        )
        return [host.caller_address for host in hosts]

    async def start(self, feeds: list[store_feed.Feed]) -> None:
        """Starts the listeners and the tasks that follow the store.

        The listener for callers starts last.
        """
        me = self._settings.me
        await self._socket.open(self._settings.peer_ip, me.peer_port)
        await self.peers.start(self._settings.peer_ip, me.peer_port)
        for feed in feeds:
            follower = store_follower.Follower(
                self._sources, feed, self.health, self._log, self.rng
            )
            self._followers[feed.prefix] = follower
            self._replicas[feed.prefix] = follower.replica
            self.spawn('follower', functools.partial(self._follow, follower))
        self.spawn('membership', self.membership.run)
        self.spawn('maintenance', self._maintain)
        self.spawn('failure-reports', self._report_failures)
        if self.quotas is not None:
            self.spawn('quotas', self.quotas.run)
        ip, _, port = me.caller_address.rpartition(':')
        await self.callers.start(ip, int(port))
        self._log.event('start', caller_address=me.caller_address)

    def enable_rollouts(
        self, decode: rollouts_.DecodeCallback
    ) -> rollouts_.Rollouts:
        """Follows rollout orders, from `start` on.

        Args:
            decode: Decodes the object of an order.
        """
        self.rollouts = rollouts_.Rollouts(
            state=self.state,
            membership=self.membership,
            store=self._store,
            decode=decode,
            selector=self._selector,
            dispatcher=self.dispatcher,
            share=self._settings.bounds.get(
                rollouts_.SHARE_BOUND, rollouts_.DEFAULT_SHARE
            ),
            rng=self.rng,
            log=self._log,
        )
        self.spawn('rollouts', self.rollouts.run)
        return self.rollouts

    def spawn(
        self, name: str, run: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        """Runs a part until this host is closed, again if it fails.

        Args:
            name: Name of the part in the log.
            run: Runs the part.
        """
        self._supervisor.spawn(name, run)

    async def leave(self) -> None:
        """Stops gracefully: redirects new callers and finishes requests."""
        self._log.event('leaving', running=self.callers.running)
        self.leaving = True
        self.membership.leaving = True
        self.membership.announce_stop(self._loop.time())
        await planned_stop.run(
            self.callers,
            self.peers,
            self._grace_period,
            self._settings.grace_s,
        )
        self._log.event('stop', running=self.callers.running)

    async def close(self) -> None:
        """Cancels all tasks and closes all connections."""
        await self._supervisor.close()
        await self.callers.stop()
        await self.peers.stop()
        await self.dispatcher.close()
        self._host_pools.close()
        self._socket.close()
        await self._store.close()
        self._log.flush()

    def _sources(self) -> list[source_choice.Source]:
        """Returns the sources of the store's objects, in order of use."""
        now_s = self._loop.time()
        heard = self.membership.peers.heard(now_s - sources.HEARD_S)
        order = sources.source_order(self._settings.me, self.hosts(), heard)
        return [
            self._replica_source(host)
            if host
            else source_choice.Source('', self._store)
            for host in order
        ]

    def _replica_source(self, host: model.HostEntry) -> source_choice.Source:
        pool = self._host_pools.get(host)
        peer = self.membership.peers.get(host.name)
        return source_choice.Source(
            host.name,
            peer_api.PeerStore(host.name, pool, self._replicas, host.token),
            peer.last_heartbeat_s if peer is not None else float('-inf'),
        )

    async def _follow(self, follower: store_follower.Follower) -> None:
        """Runs a follower once this host has looked for others.

        Until then, their replicas are not known as sources.
        """
        end_s = self._loop.time() + FIND_PEERS_TIMEOUT_S
        while not (self.peers_searched or follower.has_hint):
            if self._loop.time() >= end_s:
                self._log.event('no-reader-found', prefix=follower.prefix)
                break
            await asyncio.sleep(FIND_PEERS_CHECK_S)
        await follower.run()

    def _last_change_revisions(self) -> dict[str, int]:
        """Returns the revision of the last known change, by prefix.

        A replica without a change is as good as one of the first revision:
        hosts without any replica can read it.
        """
        return {
            prefix: max(1, follower.replica.last_change_revision)
            for prefix, follower in self._followers.items()
            if follower.replica.revision
        }

    def _is_outdated(self) -> bool:
        """Returns whether a newer configuration must be in force by now.

        The news of it may be as old as what is in force here: at once, if that
        was not confirmed for all of the time within which a change must be.
        """
        config_s = self._settings.config_s
        oldest_s = self._loop.time() - config_s
        return any(
            follower.behind_s() > config_s * OUTDATED_AFTER_FRACTION
            or (follower.behind_s() and follower.replica.confirmed_s < oldest_s)
            for follower in self._followers.values()
            if follower.holds_configuration
        )

    def _on_peer_revision(
        self, host: model.HostEntry, prefix: str, revision: int
    ) -> None:
        follower = self._followers.get(prefix)
        if follower is not None and revision > follower.known_revision:
            follower.on_newer_revision(revision, self._replica_source(host))

    async def _report_failures(self) -> None:
        """Sends the reports of failures of targets, periodically."""
        while True:
            await asyncio.sleep(failure_reports.BATCH_INTERVAL_S)
            batch = self._failure_reports.take_batch()
            if batch:
                self.membership.send_failure_reports(
                    batch, failure_reports.RECEIVERS, self._loop.time()
                )

    async def _maintain(self) -> None:
        """Flushes the log and drops state of dead hosts, periodically."""
        started_s = self._loop.time()
        while True:
            await asyncio.sleep(eventlog.FLUSH_S)
            now_s = self._loop.time()
            self.account.update(self.state.limits.max_body_bytes)
            senders = self.membership.possible_senders(now_s)
            self._host_pools.keep_only(frozenset(senders))
            self._send_limits.fleet = pacing.make_fleet(
                self._settings.me.name,
                senders,
                self._knows_all_hosts(now_s - started_s),
                self.membership.regions(),
            )
            self._selector.targets = len(self.state.targets)
            self.statements.forget_old(now_s)
            self.pauses.forget_old(now_s)
            self._log.flush()

    def _knows_all_hosts(self, age_s: float) -> bool:
        """Returns whether this host has had time to learn of the others.

        Args:
            age_s: Time since its start in seconds.
        """
        settled_s = self._loop.time() - self.membership.peers.last_discovery_s
        return settled_s > DISCOVERY_SETTLE_S and (
            self.registered.is_set() or age_s > MEMBERSHIP_SETTLE_S
        )
