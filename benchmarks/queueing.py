"""Discrete-event simulation of call latency under each balancing policy.

Several hosts run the real slots, queues, balancers and slot loans on a
simulated clock. Messages between hosts and requests to targets take 1 ms one
way. Calls arrive as a Poisson process, each at a random host of the serving
set. Service times are lognormal with a mean of 20 ms. Each target alternates
between normal and slow periods; it is slow, by a factor of 4, for a tenth of
the time. The load is the arrival rate divided by the rate of answers when all
slots are always busy.

A target queues requests that exceed its slots. Under `slot_shares` it sheds
them instead, because that policy relies on targets to shed. `central` is a
single queue in front of all slots that knows immediately which slots are free.
No host can have that knowledge, so `central` is a bound for policies without
hedge_mode.

`+hedge` tries to acquire a slot for the hedge once, after the hedge delay;
`+hedges` retries every 5 ms until the call is answered.

With `--services N` each host serves N services of the scenario at the same
time. Each service has its own targets and load and adds the same number of
calls; the limit on control traffic does not change. Messages and bytes are
those of slot loans, per host and second; bytes include the encoded message and
its frame.

    python -m benchmarks.queueing [--calls N] [--seed N] [--policies A,B]
        [--services N]
"""

import argparse
import collections
from collections import abc
import dataclasses
import functools
import heapq
import itertools
import math
import random

from returns import result

from ragwortchute import calls
from ragwortchute import clock as clock_
from ragwortchute import codecs
from ragwortchute import documents
from ragwortchute import events
from ragwortchute import slots
from ragwortchute import wire
from ragwortchute.codecs import capnp as _capnp
from ragwortchute.peers import frames
from ragwortchute.slots import context
from ragwortchute.slots import lease as lease_
from ragwortchute.slots import service as service_
from ragwortchute.slots import traffic
from ragwortchute.slots import waiting
from ragwortchute.targets import state as state_
from ragwortchute.targets import table as table_
from tests import fakes

SERVICE = 'dispatch'
# Imported to register the codec.
PLUG_INS = (_capnp,)
START_S = 1000.0
# Calls start after the period in which slots lent by an earlier process may
# still be in use.
FIRST_ARRIVAL_S = 2.0
ONE_WAY_DELAY_S = 0.001
MEAN_SERVICE_S = 0.02
# With this spread and these slow periods the p99 of the central queue is close
# to that of an earlier calculation: 128, 132 and 144 ms.
SERVICE_SIGMA = 0.8
SLOW_FACTOR = 4.0
SLOW_FRACTION = 0.1
MEAN_SLOW_PERIOD_S = 0.5
TICK_S = 0.01
LOAN_S = 1.0
HEDGE_RETRY_S = 0.005
DEADLINE_S = 5.0
# Time after which a borrower gives up on an unanswered loan request.
LOAN_TIMEOUT_S = 0.1
HOSTS = 4
POLICIES = (
    'central',
    'random',
    'round_robin',
    'least_inflight',
    'two_choices',
    'slot_shares',
    'slot_shares+hedge',
    'slot_shares+hedges',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Targets and load of one simulation."""

    targets: int
    slots: int
    load: float


SCENARIOS = (Scenario(20, 4, 0.7), Scenario(20, 4, 0.85), Scenario(10, 2, 0.6))


class SimClock(clock_.Clock):
    """Clock that shows the simulated time."""

    def __init__(self) -> None:
        self.now_s = START_S

    def monotonic(self) -> float:
        """Returns the time of the current event, in seconds."""
        return self.now_s

    def wall(self) -> float:
        """Returns the same time as `monotonic`."""
        return self.now_s

    async def sleep(self, delay_s: float) -> None:
        """Raises NotImplementedError: the simulation never sleeps."""
        raise NotImplementedError


class Simulation:
    """Event loop that runs actions in the order of simulated time."""

    def __init__(self, seed: int) -> None:
        self.clock = SimClock()
        self.rng = random.Random(seed)
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._order = itertools.count()
        self.stopped = False

    def after(self, delay_s: float, action: abc.Callable[[], None]) -> None:
        """Schedules an action to run after a delay in seconds."""
        item = (self.clock.now_s + delay_s, next(self._order), action)
        heapq.heappush(self._events, item)

    def run(self) -> None:
        """Processes events until none is left or `stopped` is set."""
        while self._events and not self.stopped:
            self.clock.now_s, _, action = heapq.heappop(self._events)
            action()


class Job:
    """One request to a target."""

    __slots__ = ('answered', 'cancelled', 'running', 'service_s', 'shed')

    def __init__(
        self,
        service_s: float,
        answered: abc.Callable[[], None],
        shed: abc.Callable[[], None],
    ) -> None:
        self.service_s = service_s
        self.answered = answered
        self.shed = shed
        self.cancelled = False
        self.running = False


class SimTarget:
    """A target that alternates between normal and slow periods."""

    def __init__(self, sim: Simulation, slots_: int, sheds: bool) -> None:
        self._sim = sim
        self.slots = slots_
        self._sheds = sheds
        self.running = 0
        self._waiting: collections.deque[Job] = collections.deque()
        self.slow = False
        self._start_period(sim.rng.random() < SLOW_FRACTION)

    def _start_period(self, slow: bool) -> None:
        self.slow = slow
        mean_s = MEAN_SLOW_PERIOD_S
        if not slow:
            mean_s *= (1 - SLOW_FRACTION) / SLOW_FRACTION
        period_s = self._sim.rng.expovariate(1 / mean_s)
        self._sim.after(period_s, lambda: self._start_period(not slow))

    def arrive(self, job: Job) -> None:
        """Starts, queues or sheds a request that has arrived."""
        if job.cancelled:
            return
        if self.running < self.slots:
            self._start(job)
        elif self._sheds:
            self._sim.after(ONE_WAY_DELAY_S, job.shed)
        else:
            self._waiting.append(job)

    def cancel(self, job: Job) -> None:
        """Cancels a request and frees its slot if it was running."""
        job.cancelled = True
        if job.running:
            job.running = False
            self._free_slot()

    def _start(self, job: Job) -> None:
        self.running += 1
        job.running = True
        factor = SLOW_FACTOR if self.slow else 1.0
        self._sim.after(job.service_s * factor, lambda: self._finish(job))

    def _finish(self, job: Job) -> None:
        if not job.running:
            return
        job.running = False
        self._sim.after(ONE_WAY_DELAY_S, job.answered)
        self._free_slot()

    def _free_slot(self) -> None:
        self.running -= 1
        while self._waiting and self.running < self.slots:
            job = self._waiting.popleft()
            if not job.cancelled:
                self._start(job)


class SimCall:
    """One call at its host, with up to two attempts."""

    def __init__(self, model: 'Model', service: service_.ServiceSlots) -> None:
        self.model = model
        self.service = service
        self.arrived_s = model.sim.clock.now_s
        self.done = False
        self.hedged = False
        self.attempts: list[tuple[lease_.Lease, Job, float]] = []
        self.shed_targets: frozenset[str] = frozenset()
        self.call = make_call(service.service, self.arrived_s + DEADLINE_S)
        # The service time of the first attempt does not depend on the target.
        # Later attempts draw a new one, because much of the variation comes
        # from the target.
        self.service_s = model.draw_service()

    def begin(self) -> None:
        """Handles the arrival of the call at its host."""
        service = self.service
        service.retry_budget.record_call(self.arrived_s)
        service.hedge_budget.record_call(self.arrived_s)
        self._acquire()

    def _acquire(self) -> None:
        now_s = self.model.sim.clock.now_s
        if not self.service.waiting:
            lease = self.service.take_free(self.shed_targets, now_s)
            if lease is not None:
                self.dispatch(lease)
                return
        pending = waiting.Pending(self.call, self.shed_targets, self._acquired)
        self.service.enqueue(pending, now_s)

    def _acquired(self, outcome: result.Result) -> None:
        if isinstance(outcome, result.Success):
            self.dispatch(outcome.unwrap())
        else:
            self.model.refused += 1
            self.model.count_ended()

    def dispatch(self, lease: lease_.Lease) -> None:
        """Sends a request to the target of a lease."""
        sim = self.model.sim
        if not lease.usable():
            raise RuntimeError('lease for a warm target is not usable')
        now_s = sim.clock.now_s
        service_s = self.service_s if not self.attempts else None
        if service_s is None:
            service_s = self.model.draw_service()
        target = self.model.targets[lease.target.name]
        attempt: list[tuple[lease_.Lease, Job, float]] = []
        job = Job(
            service_s,
            lambda: self._answered(attempt[0]),
            lambda: self._shed(attempt[0]),
        )
        attempt.append((lease, job, now_s))
        self.attempts.append(attempt[0])
        sim.after(ONE_WAY_DELAY_S, lambda: target.arrive(job))
        if self.model.hedge and len(self.attempts) == 1:
            sim.after(self.service.hedge_delay_s(), self._hedge)

    def _hedge(self) -> None:
        if self.done or self.hedged or not self.attempts:
            return
        first = self.attempts[0][0].target
        acquired = self.service.try_acquire(
            self.call,
            exclude=frozenset({first.name}),
            avoid_domain=first.failure_domain,
        )
        if not isinstance(acquired, result.Success):
            if self.model.retries_hedge:
                self.model.sim.after(HEDGE_RETRY_S, self._hedge)
            return
        self.hedged = True
        self.model.hedges += 1
        self.dispatch(acquired.unwrap())

    def _answered(self, attempt: tuple[lease_.Lease, Job, float]) -> None:
        if attempt not in self.attempts:
            return
        lease, _, sent_s = attempt
        sim = self.model.sim
        now_s = sim.clock.now_s
        self.attempts.remove(attempt)
        target = self.model.targets[lease.target.name]
        if not self.done:
            self.done = True
            self.model.record_latency(now_s - self.arrived_s)
        lease.release(
            slots.AttemptReport(
                slots.AttemptKind.ANSWERED,
                now_s - sent_s,
                incarnation='p0',
                running=target.running,
            )
        )
        for other in list(self.attempts):
            self._cancel(other)

    def _cancel(self, attempt: tuple[lease_.Lease, Job, float]) -> None:
        lease, job, sent_s = attempt
        self.attempts.remove(attempt)
        target = self.model.targets[lease.target.name]
        latency_s = self.model.sim.clock.now_s - sent_s
        lease.release(
            slots.AttemptReport(slots.AttemptKind.CANCELLED, latency_s)
        )
        self.model.sim.after(ONE_WAY_DELAY_S, lambda: target.cancel(job))

    def _shed(self, attempt: tuple[lease_.Lease, Job, float]) -> None:
        if attempt not in self.attempts:
            return
        lease, _, sent_s = attempt
        self.model.sheds += 1
        self.attempts.remove(attempt)
        self.shed_targets = self.shed_targets | {lease.target.name}
        lease.release(
            slots.AttemptReport(
                slots.AttemptKind.SHED,
                self.model.sim.clock.now_s - sent_s,
                incarnation='p0',
                running=self.model.targets[lease.target.name].slots,
            )
        )
        if not self.done and not self.attempts:
            self._acquire()


class Model:
    """Simulated hosts, targets and callers."""

    def __init__(
        self,
        scenario: Scenario,
        policy: str,
        calls_: int,
        seed: int,
        services: int = 1,
    ) -> None:
        self.sim = Simulation(seed)
        self.scenario = scenario
        self.balancer, _, hedge_mode = policy.partition('+')
        self.hedge = bool(hedge_mode)
        self.retries_hedge = hedge_mode == 'hedges'
        self._names = [
            SERVICE if i == 0 else f'{SERVICE}-{i}' for i in range(services)
        ]
        self._calls = calls_ * services
        self._warm_up_calls = self._calls // 10
        self._mu = math.log(MEAN_SERVICE_S) - SERVICE_SIGMA**2 / 2
        self.latencies: list[float] = []
        self._ended = 0
        self.refused = self.hedges = self.sheds = self.loans = 0
        self.messages = 0
        self.message_bytes = 0
        self._codec = codecs.REGISTRY.get('capnp')()
        self.cold_starts = 0
        self._events = events.EventTable()
        self._events.connect('target-changed', self._count_cold_start)
        sheds = self.balancer == 'slot_shares'
        self.targets = {
            target: SimTarget(self.sim, scenario.slots, sheds)
            for name in self._names
            for target in self._target_names(name)
        }
        self.services: dict[str, dict[str, service_.ServiceSlots]] = {}
        self.traffic: dict[str, traffic.SlotTraffic] = {}
        # Answers per second from a slot that is always busy.
        slot_answers_per_s = (
            1 - SLOW_FRACTION + SLOW_FRACTION / SLOW_FACTOR
        ) / MEAN_SERVICE_S
        self._arrivals_per_s = (
            scenario.load
            * scenario.targets
            * scenario.slots
            * slot_answers_per_s
        )

    def _target_names(self, service: str) -> list[str]:
        prefix = service.removeprefix(SERVICE).lstrip('-')
        dot = '.' if prefix else ''
        return [f't{prefix}{dot}{i}' for i in range(self.scenario.targets)]

    def _count_message(self, message: wire.Message) -> None:
        self.messages += 1
        self.message_bytes += (
            len(self._codec.encode(message)) + frames.OVERHEAD_BYTES
        )

    def per_host_second(self, count: int) -> float:
        """Returns a count as a rate per host and second since calls began."""
        elapsed_s = self.sim.clock.now_s - START_S - FIRST_ARRIVAL_S
        return count / HOSTS / elapsed_s

    def _count_cold_start(self, service: str, target: str, phase: str) -> None:
        if self.sim.clock.now_s > START_S and phase == 'warming':
            self.cold_starts += 1

    def draw_service(self) -> float:
        """Returns a random service time of a normal target, in seconds."""
        return self.sim.rng.lognormvariate(self._mu, SERVICE_SIGMA)

    def record_latency(self, latency_s: float) -> None:
        """Records the latency of an answered call, except during warm-up."""
        self.count_ended()
        if self._ended > self._warm_up_calls:
            self.latencies.append(latency_s)

    def count_ended(self) -> None:
        """Counts an answered or refused call; stops after the last one."""
        self._ended += 1
        if self._ended >= self._calls:
            self.sim.stopped = True

    def run(self) -> None:
        """Runs the simulation to its end."""
        if self.balancer == 'central':
            self._run_central()
            return
        names = [f'h{i}' for i in range(HOSTS)]
        for name in names:
            self._make_host(name, names)
        self.sim.clock.now_s += FIRST_ARRIVAL_S
        for i, name in enumerate(names):
            self._schedule_tick(name, TICK_S * (1 + i / HOSTS))
        for service in self._names:
            hosts = [services[service] for services in self.services.values()]
            self._schedule_arrival(functools.partial(self._begin_call, hosts))
        self.sim.run()

    def _begin_call(self, hosts: list[service_.ServiceSlots]) -> None:
        SimCall(self, self.sim.rng.choice(hosts)).begin()

    def _schedule_arrival(self, begin: abc.Callable[[], None]) -> None:
        def arrival() -> None:
            self._schedule_arrival(begin)
            begin()

        self.sim.after(self.sim.rng.expovariate(self._arrivals_per_s), arrival)

    def _schedule_tick(self, name: str, delay_s: float) -> None:
        def tick() -> None:
            for service in self.services[name].values():
                service.tick()
                self._deliver_notices(name, service)
            self._return_slots(name)
            self._request_loans(name, SERVICE)
            self._schedule_tick(name, TICK_S)

        self.sim.after(delay_s, tick)

    def _make_host(self, name: str, names: list[str]) -> None:
        host_traffic = traffic.SlotTraffic(self.sim.clock, self._codec)
        self.traffic[name] = host_traffic
        ctx = context.Context(
            clock=self.sim.clock,
            membership=fakes.FakeMembership(name, names),
            table=table_.TargetTable(),
            rng=self.sim.rng,
            domain_open=lambda domain: True,
            post=functools.partial(self._send, name),
            wake=functools.partial(self._request_loans, name),
            events=self._events,
            loan_s=LOAN_S,
            traffic=host_traffic,
        )
        self.services[name] = {}
        for service in self._names:
            self.services[name][service] = self._make_service(service, ctx)

    def _make_service(
        self, service_name: str, ctx: context.Context
    ) -> service_.ServiceSlots:
        document = documents.ServiceDocument(
            service_name,
            tuple(
                documents.Target(
                    target,
                    f'127.0.0.1:{i + 1}',
                    f'luzon-{i % 2}',
                    'luzon',
                    self.scenario.slots,
                )
                for i, target in enumerate(self._target_names(service_name))
            ),
            (),
            balancer=self.balancer,
            max_queue=10_000,
        )
        service = service_.ServiceSlots(document, ctx)
        for target, entry in service.warmth.entries.items():
            ctx.table.connection_opened(service_name, target)
            notice = wire.TargetNotice(service_name, target, 'p0', 'warm', 1)
            service.warmth.proved(notice, entry.state.generation)
        return service

    def _send(self, sender: str, host: str, message: wire.Message) -> None:
        if isinstance(message, wire.TargetSuspect):
            warmth = self.services[host][message.service].warmth
            action = functools.partial(warmth.on_suspect, message)
            self.sim.after(ONE_WAY_DELAY_S, action)
            return
        self._count_message(message)
        if isinstance(message, wire.SlotReturn):
            action = functools.partial(self._receive_return, host, message)
        elif isinstance(message, wire.SlotStatus):
            service = self.services[host][message.service]
            action = functools.partial(service.peer_status, message)
        else:
            raise RuntimeError(f'{sender} sent {message} to {host}')
        self.sim.after(ONE_WAY_DELAY_S, action)

    def _receive_return(self, host: str, message: wire.SlotReturn) -> None:
        for service in self.services[host].values():
            service.returned(message)

    def _deliver_notices(
        self, name: str, service: service_.ServiceSlots
    ) -> None:
        """Delivers notices of cold and warm targets from their owner."""
        warmth = service.warmth
        now_s = self.sim.clock.now_s
        for entry in warmth.to_confirm(now_s):
            notice = warmth.notice(entry, state_.Phase.COLD)
            for host in list(entry.unconfirmed):
                other = self.services[host][service.service].warmth
                if other.on_notice(name, notice).accepted:
                    warmth.confirmed(entry, host, entry.episode)
        for entry in warmth.to_announce():
            for host, incarnation in warmth.others.items():
                if entry.informed.get(host) == incarnation:
                    continue
                other = self.services[host][service.service].warmth
                for phase in (state_.Phase.WARMING, state_.Phase.WARM):
                    other.on_notice(name, warmth.notice(entry, phase))
                entry.informed[host] = incarnation

    def _request_loans(self, name: str, _: str) -> None:
        for loan in self.traffic[name].requests(self.services[name].values()):
            self._send_loan_request(name, loan)

    def _send_loan_request(self, name: str, loan: traffic.LoanRequest) -> None:
        sent_s = self.sim.clock.now_s
        service = self.services[name][loan.message.service]
        lender = self.services[loan.host][loan.message.service]
        self._count_message(loan.message)

        def receive_request() -> None:
            grant = lender.grant(loan.message)
            if grant is None:
                self.sim.after(
                    LOAN_TIMEOUT_S - ONE_WAY_DELAY_S,
                    lambda: receive_grant(None),
                )
                return
            self._count_message(grant)
            self.loans += len(grant.slots)
            self.sim.after(ONE_WAY_DELAY_S, lambda: receive_grant(grant))

        def receive_grant(grant: wire.SlotGrant | None) -> None:
            service.granted(loan.host, grant, sent_s)
            self._request_loans(name, SERVICE)

        self.sim.after(ONE_WAY_DELAY_S, receive_request)

    def _return_slots(self, name: str) -> None:
        now_s = self.sim.clock.now_s
        services = self.services[name].values()
        for item in self.traffic[name].returns(name, services, now_s):
            self._send(name, item.host, item.message)

    def _run_central(self) -> None:
        free = [t for t in self.targets.values() for _ in range(t.slots)]
        queue: collections.deque[tuple[float, float]] = collections.deque()
        sim = self.sim

        def serve() -> None:
            while free and queue:
                arrived_s, service_s = queue.popleft()
                target = free.pop(int(sim.rng.random() * len(free)))
                done = functools.partial(finish, target, arrived_s)
                target.arrive(Job(service_s, done, lambda: None))

        def finish(target: SimTarget, arrived_s: float) -> None:
            free.append(target)
            # The latency includes the way back; add the way to the target.
            self.record_latency(sim.clock.now_s - arrived_s + ONE_WAY_DELAY_S)
            serve()

        def begin() -> None:
            queue.append((sim.clock.now_s, self.draw_service()))
            serve()

        self._schedule_arrival(begin)
        sim.run()


def make_call(service: str, deadline_s: float) -> calls.Call:
    """Returns an idempotent call.

    Args:
        service: Name of the service.
        deadline_s: Deadline on the simulated clock, in seconds.
    """
    return calls.Call(
        call_id='',
        service=service,
        method='GET',
        path='/',
        headers=[],
        body=b'',
        tenant='',
        deadline_s=deadline_s,
        idempotent=True,
    )


def quantile_ms(ordered: list[float], fraction: float) -> float:
    """Returns a quantile, in milliseconds, of sorted values in seconds."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))] * 1000


def main() -> None:
    """Prints latency quantiles and counters per scenario and policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calls', type=int, default=100_000)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--policies', default=','.join(POLICIES))
    parser.add_argument('--services', type=int, default=1)
    args = parser.parse_args()
    for scenario in SCENARIOS:
        print(
            f'{scenario.targets} targets of {scenario.slots} slots at '
            f'{scenario.load:.0%}, ms'
        )
        print(
            f'{"policy":<20}{"p50":>7}{"p90":>7}{"p99":>7}{"p99.9":>7}'
            f'{"refused":>9}{"hedged":>8}{"shed":>7}{"lent":>7}{"cold":>6}'
            f'{"msg/s":>7}{"B/s":>7}'
        )
        for policy in args.policies.split(','):
            model = Model(
                scenario, policy, args.calls, args.seed, args.services
            )
            model.run()
            ordered = sorted(model.latencies)
            quantiles = ''.join(
                f'{quantile_ms(ordered, fraction):>7.0f}'
                for fraction in (0.5, 0.9, 0.99, 0.999)
            )
            print(
                f'{policy:<20}{quantiles}{model.refused:>9}'
                f'{model.hedges:>8}{model.sheds:>7}{model.loans:>7}'
                f'{model.cold_starts:>6}'
                f'{model.per_host_second(model.messages):>7.1f}'
                f'{model.per_host_second(model.message_bytes):>7.0f}',
                flush=True,
            )


if __name__ == '__main__':
    main()
