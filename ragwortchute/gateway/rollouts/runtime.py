"""Rollouts on a running host: hooks of the dispatcher, timer and store."""

import asyncio
import collections
from collections import abc
import random
import time

import msgspec

from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.gateway import attempts
from ragwortchute.gateway import dispatcher as dispatcher_
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import host_state
from ragwortchute.gateway import model
from ragwortchute.gateway import rollouts
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.peers import membership as membership_
from ragwortchute.gateway.rollouts import environment
from ragwortchute.gateway.rollouts import messages
from ragwortchute.gateway.rollouts import neighbours
from ragwortchute.gateway.rollouts import participant
from ragwortchute.gateway.rollouts import phases
from ragwortchute.gateway.rollouts import records
from ragwortchute.gateway.rollouts import service_state
from ragwortchute.gateway.rollouts import versions
from ragwortchute.gateway.selection import candidates
from ragwortchute.gateway.selection import targets as targets_

CONTRACT = 'rollout'
# Prefix of the names of orders in the store.
PREFIX = 'rollouts/'
# Bound that names the share of requests for a version that is not judged yet.
SHARE_BOUND = 'expose_share'
DEFAULT_SHARE = 0.1
TICK_S = 0.1
# Interval of ticks until a host that starts serves requests.
_START_TICK_S = 0.02
# A host that starts holds back all requests for this long at most, from when it
# has read the targets, while it can't tell which versions of a service are in
# use. The requests of other services must not wait for longer.
_START_WAIT_S = 0.5
# Times out before the client of the store does: the object is read back then.
WRITE_TIMEOUT_S = 0.5
READ_BACK_S = 0.3
# Requests end within this time, whatever the timeout of their route.
MAX_REQUEST_S = 4.0
# A response is slow if it takes this many times as long as expected.
SLOW_FACTOR = 3.0
# An attempt that is given up this long before its deadline, or later, failed.
_DEADLINE_MARGIN_S = 0.05
# How often versions are looked at without a change of the targets.
_REFRESH_S = 1.0

# Decodes the object of an order.
DecodeCallback = abc.Callable[[stores.StoredObject], records.Record]


class Rollouts(rollouts.VersionChoice, environment.Environment):
    """Rollouts of all services on this host.

    Args:
        state: Configuration and targets.
        membership: The other hosts.
        store: Client of the object API.
        decode: Decodes the object of an order.
        selector: Knows the slowness of targets.
        dispatcher: Serves requests, from now on by the versions of targets.
        share: Share of the requests that a version under observation may get.
        rng: Source of randomness.
        log: Event log.

    Attributes:
        participant: Part of this host in the rollouts.
        sends: Sends to services with an order, by service and version.
        failures: Failures and slow responses of these.
    """

    __slots__ = (
        '_decode',
        '_dialect',
        '_log',
        '_longest_revision',
        '_longest_s',
        '_loop',
        '_membership',
        '_obstacles',
        '_read_s',
        '_refreshed_s',
        '_seen_changes',
        '_selector',
        '_state',
        '_store',
        '_work_times',
        'failures',
        'participant',
        'sends',
    )

    restricts = True

    def __init__(
        self,
        *,
        state: host_state.HostState,
        membership: membership_.Membership,
        store: stores.Store,
        decode: DecodeCallback,
        selector: candidates.TargetSelector,
        dispatcher: dispatcher_.Dispatcher,
        share: float,
        rng: random.Random,
        log: eventlog.EventLog,
    ) -> None:
        self._state = state
        self._membership = membership
        self._store = store
        self._decode = decode
        self._dialect = dispatcher.dialect
        self._selector = selector
        self._work_times = dispatcher.work_times
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._seen_changes = -1
        self._refreshed_s = float('-inf')
        # Loop time at which configuration, targets and domains were read.
        self._read_s = float('inf')
        state.set_deferred(True)
        self._longest_revision = -1
        self._longest_s: dict[str, float] = {}
        self._obstacles: dict[str, str] = {}
        self.sends: collections.Counter[str] = collections.Counter()
        self.failures: collections.Counter[str] = collections.Counter()
        self.participant = participant.Participant(
            membership.me, share, self, self._send, rng, log
        )
        now_s = asyncio.get_running_loop().time()
        self.participant.earlier_end_s = now_s + MAX_REQUEST_S
        membership.parts.register(messages.PART, self.participant.handle)
        dispatcher.choice.versions = self

    @property
    def active(self) -> bool:
        """Whether an order that can be carried out has no outcome yet."""
        return any(
            state.record is not None
            and not state.record.ended
            and not state.record.problem
            for state in self.participant.services.values()
        )

    # Records.

    def set_record(self, record: records.Record) -> None:
        """Follows a record that was read from the store."""
        self.participant.set_record(record, self._loop.time())
        self._refresh(record.service)

    def remove_record(self, service: str, revision: int) -> None:
        """Notes that an order was withdrawn."""
        self.participant.remove_record(service, revision, self._loop.time())
        self._refresh(service)

    def confirm(self, confirmed_s: float) -> None:
        """Notes the loop time until which there was no later record."""
        self.participant.confirm(confirmed_s)

    async def run(self) -> None:
        """Reports, decides and writes until cancelled."""
        self.participant.forget_writes()
        async with asyncio.TaskGroup() as group:
            while True:
                now_s = self._loop.time()
                if (
                    self._seen_changes != self._state.target_changes
                    or now_s - self._refreshed_s >= _REFRESH_S
                ):
                    self._refresh_all(now_s)
                for write in self.participant.tick(now_s):
                    group.create_task(self._write(write))
                if self._state.deferred:
                    self._begin_to_serve(now_s)
                await asyncio.sleep(
                    _START_TICK_S if self._state.deferred else TICK_S
                )

    def _begin_to_serve(self, now_s: float) -> None:
        """Serves requests once the versions in use are known."""
        if not self._state.has_read:
            return
        self._read_s = min(self._read_s, now_s)
        is_open = any(
            state.versions.is_open(now_s)
            for state in self.participant.services.values()
        )
        if not is_open or now_s - self._read_s >= _START_WAIT_S:
            self._state.set_deferred(False)

    async def _write(self, write: phases.Write) -> None:
        """Writes a status and reads the object back if that is not certain."""
        record = write.record
        name = PREFIX + record.service
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                obj = await self._store.put_status(
                    name,
                    msgspec.json.encode(write.status),
                    expected_version=record.revision,
                )
        except (errors.StoreError, TimeoutError) as exc:
            self._log.event(
                'rollout-write-unknown',
                service=record.service,
                phase=write.step.phase.name.lower(),
                error=str(exc) or type(exc).__name__,
            )
            obj = await self._read_back(name)
        now_s = self._loop.time()
        if obj is None:
            self.participant.note_written(write, None, now_s)
            self.remove_record(record.service, record.revision)
            return
        self.participant.note_written(write, self._record(obj), now_s)
        self._refresh(record.service)

    async def _read_back(self, name: str) -> stores.StoredObject | None:
        """Reads an object until the store answers."""
        while True:
            try:
                return await self._store.get(name)
            except errors.StoreError:
                self.participant.note_write_failed(self._loop.time())
                await asyncio.sleep(READ_BACK_S)

    def _record(self, obj: stores.StoredObject) -> records.Record:
        short_name = obj.name.removeprefix(PREFIX)
        return self._decode(msgspec.structs.replace(obj, name=short_name))

    # Requests.

    def choose(
        self, call: attempts.Call, targets: list[targets_.Target]
    ) -> tuple[list[targets_.Target], list[targets_.Target]]:
        """See base class."""
        if self._seen_changes != self._state.target_changes:
            self._refresh_all(self._loop.time())
        work_s = self._work_times.expected_s(call.route)
        choice = self.participant.service(call.service).choose(
            targets,
            self.participant.trust(self._loop.time()),
            work_s * self._selector.load(call.service).mean_slowness,
            first_send=not call.sends,
        )
        return choice.first, choice.second

    def admits(self, call: attempts.Call, target: targets_.Target) -> bool:
        """See base class."""
        return self.participant.service(call.service).admits(
            target,
            self.participant.trust(self._loop.time()),
            first_send=not call.sends,
        )

    def note_send(self, call: attempts.Call, attempt: attempts.Attempt) -> None:
        """See base class."""
        state = self.participant.service(call.service)
        latest_end_s = max(
            attempt.sent_s + self.longest_s(call.service), call.deadline_s
        )
        state.note_send(
            attempt, attempt.target, latest_end_s, first_send=call.sends == 1
        )
        if state.running:
            self.sends[_label(attempt.target)] += 1

    def note_end(self, call: attempts.Call, attempt: attempts.Attempt) -> None:
        """See base class."""
        state = self.participant.service(call.service)
        if not state.running:
            return
        if attempt.fut.exception() is not None:
            # The request may still be running at the target.
            self._note_response(call, attempt, failed=True)
            return
        reply = attempt.fut.result()
        if reply.rest is None:
            state.old_sends.note_end(attempt)
        dialect = self._dialect
        if dialect.is_misdirected(reply) or dialect.is_not_run(reply):
            return
        self._note_response(call, attempt, failed=self._has_failed(reply))

    def note_abort(
        self, call: attempts.Call, attempt: attempts.Attempt
    ) -> None:
        """See base class.

        An attempt without a response until the deadline has failed. One that
        another one was faster than, or whose caller has gone, tells only
        whether it was slow.
        """
        if not self.participant.service(call.service).running:
            return
        now_s = self._loop.time()
        if now_s >= call.deadline_s - _DEADLINE_MARGIN_S:
            self._note_response(call, attempt, failed=True)
        elif self._is_slow(call, attempt, now_s):
            self._note_response(call, attempt, failed=False)

    def _note_response(
        self, call: attempts.Call, attempt: attempts.Attempt, *, failed: bool
    ) -> None:
        now_s = self._loop.time()
        reading = attempt.placement.reading
        occupied = reading.running + reading.waiting >= max(1, reading.slots)
        timed = not (failed or occupied or reading.cold_s > 0)
        slow = timed and self._is_slow(call, attempt, now_s)
        if failed or slow:
            self.failures[_label(attempt.target)] += 1
        self.participant.service(call.service).note_response(
            attempt.target,
            call.route.name,
            now_s,
            failed=failed,
            timed=timed,
            slow=slow,
        )

    def _has_failed(self, reply: http_client.Reply) -> bool:
        return (
            not self._dialect.is_authentic(reply)
            or reply.status >= 500
            or self._dialect.states_not_run(reply.status)
        )

    def _is_slow(
        self, call: attempts.Call, attempt: attempts.Attempt, now_s: float
    ) -> bool:
        """Returns whether an attempt takes long, given the stated slowness."""
        load = self._selector.load(call.service)
        slowness = load.run_slowness(attempt.placement.reading.slowness)
        expected_s = self._work_times.expected_s(call.route) * max(
            1.0, slowness
        )
        elapsed_s = now_s - attempt.sent_s - attempt.target.rtt_s
        return elapsed_s > SLOW_FACTOR * expected_s

    # What the participant asks.

    def neighbours(self, now_s: float) -> neighbours.Neighbours:
        """See base class."""
        peers = self._membership.peers
        items = [
            neighbours.Neighbour(
                peer.entry.name,
                peer.entry.incarnation,
                peer.last_heartbeat_s,
                peer.discovered_s,
            )
            for peer in peers.all()
            if peers.may_be_alive(peer, now_s)
        ]
        return neighbours.Neighbours(items, now_s)

    def longest_s(self, service: str) -> float:
        """See base class."""
        cfg = self._state.cfg
        if cfg is None:
            return MAX_REQUEST_S
        if self._longest_revision != self._state.cfg_revision:
            self._longest_revision = self._state.cfg_revision
            self._longest_s = _longest_s(cfg)
        return self._longest_s.get(service, MAX_REQUEST_S)

    def obstacle(self, service: str, version: str) -> str:
        """See base class."""
        cfg = self._state.cfg
        if cfg is not None and service not in cfg.services:
            return 'unknown-service'
        if not self._ready_targets(service, version):
            return 'no-target'
        return ''

    def is_warm(self, service: str, version: str, now_s: float) -> bool:
        """See base class."""
        return not any(
            target.is_cold(now_s)
            for target in self._ready_targets(service, version)
        )

    def _ready_targets(
        self, service: str, version: str
    ) -> list[targets_.Target]:
        return [
            target
            for target in self._state.targets_by_service().get(service, ())
            if target.entry.ready and target.entry.software_version == version
        ]

    def _send(self, names: list[str], payload: bytes) -> None:
        self._membership.parts.send(names, messages.PART, payload)

    # Versions.

    def _refresh_all(self, now_s: float) -> None:
        """Brings the versions of all services up to date."""
        self._refreshed_s = now_s
        self._seen_changes = self._state.target_changes
        for service in {
            *self._state.targets_by_service(),
            *self.participant.services,
        }:
            self._refresh(service)

    def _refresh(self, service: str) -> None:
        targets = self._state.targets_by_service().get(service, [])
        state = self.participant.service(service)
        state.update_targets(
            versions.seen_targets(targets),
            self._loop.time(),
            int(time.time() * 1000),
            self.participant.confirmed_s,
        )
        self._log_obstacle(state)

    def _log_obstacle(self, state: service_state.ServiceState) -> None:
        """Logs why an order can't be judged, once for each reason."""
        obstacle = ''
        if state.running:
            obstacle = self.obstacle(state.service, state.record.version)
        if obstacle and obstacle != self._obstacles.get(state.service):
            self._log.event(
                'rollout-obstacle',
                service=state.service,
                version=state.record.version,
                obstacle=obstacle,
            )
        self._obstacles[state.service] = obstacle

    # Metrics.

    def phases(self) -> dict[str, float]:
        """Returns the number of the phase by service and version."""
        return {
            f'{state.service}/{state.record.version}': int(state.record.phase)
            for state in self.participant.services.values()
            if state.record is not None
        }

    def shares(self) -> dict[str, float]:
        """Returns the share of the canary version in the sends of this host."""
        return {
            f'{state.service}/{state.record.version}': (
                state.exposure.canary_sends / max(1, state.exposure.requests)
            )
            for state in self.participant.services.values()
            if state.record is not None
        }


def _longest_s(cfg: model.Configuration) -> dict[str, float]:
    """Returns the longest time of a request in seconds, by service."""
    longest_s: dict[str, float] = {}
    for route in cfg.routes:
        for part in route.services:
            longest_s[part.service] = min(
                MAX_REQUEST_S,
                max(route.timeout_s, longest_s.get(part.service, 0.0)),
            )
    return longest_s


def _label(target: targets_.Target) -> str:
    return f'{target.entry.service}/{target.entry.software_version}'
