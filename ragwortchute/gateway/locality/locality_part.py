"""Locality of one host: state by service, counters and log lines."""

import collections
import random

from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import eventlog
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.locality import crossings
from ragwortchute.gateway.locality import selection
from ragwortchute.gateway.locality import spillover as spillover_
from ragwortchute.gateway.selection import requirements
from ragwortchute.gateway.selection import targets as targets_

# Changes of a share are logged from this difference on, and at most once in
# this time for each service.
LOGGED_CHANGE = 0.1
LOG_INTERVAL_S = 1.0
# Weight of an answer in the mean size of answers.
_BYTES_SMOOTHING = 0.05


class _Service:
    """State of a service.

    Attributes:
        spillover: Occupancies and share.
        answer_bytes: Mean size of answers.
        logged_s: Loop time at which the share was logged last, in seconds.
        logged_share: Share that was logged last.
    """

    __slots__ = ('answer_bytes', 'logged_s', 'logged_share', 'spillover')

    def __init__(self) -> None:
        self.spillover = spillover_.Spillover()
        self.answer_bytes = 0.0
        self.logged_s = float('-inf')
        self.logged_share = 0.0


class Locality:
    """Decides for each service what leaves the failure domain of this host.

    Args:
        worth: Worth of a crossing.
        rng: Source of randomness.
        log: Event log.

    Attributes:
        sends: Sends by service and failure domain.
        reasons: Sends to other domains by service and reason.
        moved_bytes: Bytes of requests and answers that crossed, by service and
            failure domain.
    """

    __slots__ = (
        '_log',
        '_rng',
        '_services',
        '_worth',
        'moved_bytes',
        'reasons',
        'sends',
    )

    def __init__(
        self,
        worth: crossings.Worth,
        rng: random.Random,
        log: eventlog.EventLog,
    ) -> None:
        self._worth = worth
        self._rng = rng
        self._log = log
        self._services: dict[str, _Service] = {}
        self.sends: collections.Counter[str] = collections.Counter()
        self.reasons: collections.Counter[str] = collections.Counter()
        self.moved_bytes: collections.Counter[str] = collections.Counter()

    def begin(
        self,
        required: requirements.Requirements,
        mean_slowness: float,
        now_s: float,
    ) -> None:
        """Decides how locality is used for a request.

        Args:
            required: What the request requires; `locality` is set.
            mean_slowness: Mean slowness of the targets of the service.
            now_s: Loop time in seconds.
        """
        service = required.targets[0].entry.service
        request_s = required.work_s * mean_slowness
        state = self._service(service)
        spillover = state.spillover
        spillover.update(now_s, request_s, self._worth.domain_s)
        self._log_change(service, state, now_s)
        required.locality = selection.Selection(
            spillover,
            self._worth,
            required.body_bytes + state.answer_bytes,
            -1.0 if required.leaves else self._rng.random(),
            now_s,
        )

    def _log_change(self, service: str, state: _Service, now_s: float) -> None:
        spillover = state.spillover
        share, logged = spillover.share, state.logged_share
        changed = abs(share - logged) >= LOGGED_CHANGE or (logged and not share)
        if not changed or now_s - state.logged_s < LOG_INTERVAL_S:
            return
        state.logged_share = share
        state.logged_s = now_s
        self._log.event(
            'spillover',
            service=service,
            share=round(spillover.share, 2),
            lost=spillover.lost,
            occupancy=round(spillover.own.mean(), 2),
            others={
                domain: round(known.mean(), 2)
                for domain, known in spillover.others.items()
            },
            gain_ms=round(
                spillover.gain_s(now_s, self._worth.domain_s) * 1000, 1
            ),
        )

    def note_reading(
        self, target: targets_.Target, reading: dialects.Reading
    ) -> None:
        """Adds the reading of a probe; those of cold targets don't count."""
        if not target.same_region or reading.cold_s > 0:
            return
        if not reading.healthy or not reading.slots:
            return
        spillover = self._service(target.entry.service).spillover
        occupancy = (reading.running + reading.waiting) / reading.slots
        if target.same_domain:
            spillover.note_own(occupancy, reading.taken_s)
        else:
            spillover.note_other(
                target.entry.failure_domain, occupancy, reading.taken_s
            )

    def note_send(
        self, target: targets_.Target, reason: str, body_bytes: int
    ) -> None:
        """Counts a send.

        Args:
            target: The target.
            reason: Why the request leaves its domain, empty if it does not.
            body_bytes: Size of its body.
        """
        key = _key(target)
        self.sends[key] += 1
        if reason:
            self.reasons[f'{target.entry.service}/{reason}'] += 1
            self.moved_bytes[key] += body_bytes

    def note_answer(
        self, target: targets_.Target, reply: http_client.Reply
    ) -> None:
        """Counts the bytes of an answer."""
        size = _answer_bytes(reply)
        state = self._service(target.entry.service)
        state.answer_bytes += (size - state.answer_bytes) * _BYTES_SMOOTHING
        if not target.same_domain:
            self.moved_bytes[_key(target)] += size

    def shares(self) -> dict[str, float]:
        """Returns the share that looks outside first, by service."""
        return {
            name: state.spillover.share
            for name, state in self._services.items()
        }

    def _service(self, name: str) -> _Service:
        state = self._services.get(name)
        if state is None:
            state = self._services[name] = _Service()
        return state


def create(
    worth: crossings.Worth | None, rng: random.Random, log: eventlog.EventLog
) -> Locality | None:
    """Returns the locality of a host, None if it is off.

    Args:
        worth: Worth of a crossing, None if it is off.
        rng: Source of randomness.
        log: Event log.
    """
    return None if worth is None else Locality(worth, rng, log)


def _key(target: targets_.Target) -> str:
    return f'{target.entry.service}/{target.entry.failure_domain}'


def _answer_bytes(reply: http_client.Reply) -> int:
    """Returns the size of the body of an answer.

    One that is passed on while it arrives counts as its head states.
    """
    if reply.rest is None:
        return len(reply.body)
    for name, value in reply.headers:
        if name == b'content-length' and value.isdigit():
            return int(value)
    return len(reply.body)
