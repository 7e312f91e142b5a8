"""Choice of a target by asking a few at the moment of the choice.

Load: targets whose speed and queue change faster than any report of them
spreads. A few targets are asked at once over kept connections; the best of
the answers gets the request on the connection that answered.
"""

import asyncio
import random

import msgspec

from ragwortchute import errors
from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import http_client
from ragwortchute.gateway import pacing
from ragwortchute.gateway import placing
from ragwortchute.gateway import targets as targets_

FIRST_ASKED = 3
MORE_ASKED = 4
MAX_ROUNDS = 2
# Of those, this many are in other regions, where there are any.
FAR_ASKED = 2
# More targets are asked only if the best offer would take longer than this
# part of the latency objective.
ENOUGH_OBJECTIVES = 0.7
# An offer is taken at once if it is expected to take no longer than this many
# times the time on a free target of usual speed.
GOOD_FACTOR = 1.25
# Health answers that take longer than this are not waited for.
NEAR_WAIT_S = 0.02
FAR_WAIT_S = 0.06
# Reason why no target was chosen: none of those asked has answered.
NO_ANSWER = 'no-answer'
_MEAN_SMOOTHING = 0.02
INITIAL_USUAL = 1.8


class Placement(msgspec.Struct, eq=False):
    """A target with the connection on which it was asked.

    Attributes:
        target: The target.
        conn: Connection to send on.
        reading: What the target said.
        expected_s: Expected time until the answer.
        asked: Number of targets that were asked.
    """

    target: targets_.Target
    conn: http_client.ClientConnection
    reading: dialects.Reading
    expected_s: float
    asked: int


class NoPlacement(msgspec.Struct, frozen=True):
    """Why no target can take a request now.

    Attributes:
        reason: Short name of the reason.
        wait_s: After how long a target is likely to be free.
        asked: Number of targets that were asked.
    """

    reason: str
    wait_s: float
    asked: int


class Needs(msgspec.Struct, eq=False):
    """What a request needs of a target.

    Attributes:
        targets: Targets that may get it.
        work_s: Expected duration of its work at usual speed.
        objective_s: Latency objective.
        left_s: Time until it must be answered.
    """

    targets: list[targets_.Target]
    work_s: float
    objective_s: float
    left_s: float


class _Answer(msgspec.Struct, eq=False):
    target: targets_.Target
    conn: http_client.ClientConnection
    reading: dialects.Reading


class Chooser:
    """Asks targets and chooses one.

    Args:
        rng: Source of randomness.
        warmup_overage: Factor on the rate that a cold target bears.
        warmup_slack: Requests per second beyond that.

    Attributes:
        fleet: Hosts that may send to the same targets.
        asked: Health requests sent.
    """

    def __init__(
        self, rng: random.Random, warmup_overage: float, warmup_slack: float
    ) -> None:
        self._rng = rng
        self._overage = warmup_overage
        self._slack = warmup_slack
        self._usual: dict[str, float] = {}
        self._loop = asyncio.get_running_loop()
        self.fleet = pacing.Fleet()
        self.asked = 0

    async def choose(self, needs: Needs) -> Placement | NoPlacement:
        """Returns a target with an open connection, or why there is none."""
        placed = await self._choose_once(needs)
        if isinstance(placed, NoPlacement) and placed.reason == NO_ANSWER:
            # Connections may break between the answer and its use.
            placed = await self._choose_once(needs)
        return placed

    async def _choose_once(self, needs: Needs) -> Placement | NoPlacement:
        order = self._order(needs.targets)
        if not order:
            return NoPlacement('no-target', needs.left_s, 0)
        best: _Answer | None = None
        best_cost = float('inf')
        near = [target for target in order if target.same_region]
        far = [target for target in order if not target.same_region]
        good_s = self._good_s(needs)
        enough_s = max(good_s, needs.objective_s * ENOUGH_OBJECTIVES)
        asked = 0
        for round_ in range(MAX_ROUNDS):
            group = _group(near, far, round_)
            if not group:
                break
            asked += len(group)
            for answer in await self._ask(group, needs, good_s):
                cost = self._cost(answer, needs)
                if cost < best_cost:
                    if best is not None:
                        best.target.pool.release(best.conn)
                    best, best_cost = answer, cost
                else:
                    answer.target.pool.release(answer.conn)
            if best is not None and (
                best_cost <= enough_s or not best.conn.usable
            ):
                break
        return self._place(best, needs, asked)

    def bound_per_s(self, target: targets_.Target) -> float:
        """Returns the requests per second that a cold target may get."""
        service = target.service
        if service is None:
            return 0.0
        return service.warmup_per_s * self._overage + self._slack

    def _may_send(self, target: targets_.Target, now_s: float) -> bool:
        """Tells whether this host may send to a cold target now."""
        per_window = self.fleet.per_window(
            target.entry.name, self.bound_per_s(target)
        )
        return target.pacer.may_send(now_s, per_window)

    def usual(self, service: str) -> float:
        """Returns the mean slowness of the targets of a service."""
        return self._usual.get(service, INITIAL_USUAL)

    def _place(
        self, best: _Answer | None, needs: Needs, asked: int
    ) -> Placement | NoPlacement:
        if best is None or not best.conn.usable:
            return NoPlacement(NO_ANSWER, needs.objective_s / 4, asked)
        target = best.target
        offer = self._offer(best)
        expected = placing.expected_s(
            offer, needs.work_s, self.usual(target.entry.service)
        )
        if expected > needs.left_s:
            target.pool.release(best.conn)
            return NoPlacement('overload', expected - needs.left_s, asked)
        if best.reading.cold_s > 0:
            target.pacer.sent(self._loop.time())
        return Placement(target, best.conn, best.reading, expected, asked)

    def _good_s(self, needs: Needs) -> float:
        return needs.work_s * GOOD_FACTOR + targets_.SAME_REGION_S

    def _order(self, targets: list[targets_.Target]) -> list[targets_.Target]:
        """Returns targets in the order in which they are asked."""
        now_s = self._loop.time()
        keyed = []
        for target in targets:
            if target.is_cold(now_s) and not self._may_send(target, now_s):
                continue
            key = self._rng.random()
            if target.same_region and not target.same_domain:
                key += 0.3
            if target.is_out(now_s):
                key += 1000.0
            if target.is_cold(now_s):
                key += 3.0
            key += 4.0 * target.failing
            if not target.pool.has_idle:
                key += 0.5
            reading = target.reading
            if reading is not None and now_s - reading.taken_s < 0.1:
                busy = reading.running + reading.waiting
                busy += target.unseen(reading)
                if busy >= max(1, reading.slots) or reading.slowness > 2:
                    key += 2.0
            keyed.append((key, target))
        keyed.sort(key=lambda item: item[0])
        return [target for _, target in keyed]

    async def _ask(
        self, group: list[targets_.Target], needs: Needs, good_s: float
    ) -> list[_Answer]:
        """Asks targets; returns once a good one or all have answered."""
        tasks = {
            self._loop.create_task(target.probe()): target for target in group
        }
        self.asked += len(tasks)
        far = any(not target.same_region for target in group)
        wait_s = min(needs.left_s, FAR_WAIT_S if far else NEAR_WAIT_S)
        end_s = self._loop.time() + wait_s
        answers: list[_Answer] = []
        waiting = set(tasks)
        while waiting:
            left_s = end_s - self._loop.time()
            if left_s <= 0:
                break
            done, waiting = await asyncio.wait(
                waiting, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            good = False
            for task in done:
                answer = self._answer(task, tasks[task])
                if answer is not None:
                    answers.append(answer)
                    good = good or self._cost(answer, needs) <= good_s
            if good:
                break
        for task in waiting:
            target = tasks[task]
            task.add_done_callback(
                lambda task, target=target: self._late(task, target)
            )
        return answers

    def _answer(
        self, task: asyncio.Task, target: targets_.Target
    ) -> _Answer | None:
        """Returns the answer of a target that can take a request now."""
        now_s = self._loop.time()
        try:
            conn, reading = task.result()
        except errors.TargetError:
            target.note_failure(now_s)
            return None
        except asyncio.CancelledError:
            return None
        service = target.entry.service
        usual = self.usual(service)
        self._usual[service] = (
            usual + (reading.slowness - usual) * _MEAN_SMOOTHING
        )
        cold = reading.cold_s > 0 and not self._may_send(target, now_s)
        if cold or not reading.healthy:
            target.pool.release(conn)
            return None
        return _Answer(target, conn, reading)

    def _late(self, task: asyncio.Task, target: targets_.Target) -> None:
        answer = self._answer(task, target)
        if answer is not None:
            target.pool.release(answer.conn)

    def _offer(self, answer: _Answer) -> placing.Offer:
        target = answer.target
        return placing.Offer(
            answer.reading,
            target.unseen(answer.reading),
            target.entry.slots,
            target.path_s,
            target.failing,
        )

    def _cost(self, answer: _Answer, needs: Needs) -> float:
        return placing.cost_s(
            self._offer(answer),
            needs.work_s,
            self.usual(answer.target.entry.service),
            needs.objective_s,
        )


def _group(
    near: list[targets_.Target], far: list[targets_.Target], round_: int
) -> list[targets_.Target]:
    """Takes the targets that are asked in a round.

    The first round stays in the region. When its offers are poor, the region
    is busy, and others are asked too.
    """
    if round_ == 0:
        group = near[:FIRST_ASKED] or far[:FIRST_ASKED]
    else:
        others = far[:FAR_ASKED]
        group = near[: MORE_ASKED - len(others)] + others
    for target in group:
        (near if target.same_region else far).remove(target)
    return group
