"""Tells hosts that a version is bad, without the store."""

from collections import abc
import random

from ragwortchute.gateway import eventlog
from ragwortchute.gateway.rollouts import messages
from ragwortchute.gateway.rollouts import neighbours
from ragwortchute.gateway.rollouts import service_state

# Hosts that are told at once that a version is bad, and those that are told in
# each interval for a while after that. The number of hosts that know it doubles
# several times per interval, and the repetitions reach hosts whose messages
# were lost.
_FANOUT = 4
_REPEATS = 2
_REPEAT_S = 3.0
_INTERVAL_S = 0.5


class Stops:
    """Notices of this host that versions are bad.

    Args:
        send: Sends a payload to hosts.
        rng: Source of randomness.
        log: Event log.
    """

    __slots__ = ('_log', '_repeated_s', '_rng', '_send', '_until_s')

    def __init__(
        self,
        send: abc.Callable[[list[str], bytes], None],
        rng: random.Random,
        log: eventlog.EventLog,
    ) -> None:
        self._log = log
        self._send = send
        self._rng = rng
        self._until_s: dict[str, float] = {}
        self._repeated_s: dict[str, float] = {}

    def begin(
        self,
        state: service_state.ServiceState,
        view: neighbours.View,
        now_s: float,
    ) -> None:
        """Stops sending to a bad version and tells other hosts."""
        if state.stopped:
            return
        state.stopped = True
        self._log.event(
            'rollout-stopped',
            service=state.service,
            version=state.record.version,
            phase=state.record.phase.name.lower(),
        )
        self._until_s[state.service] = now_s + _REPEAT_S
        self._repeated_s[state.service] = now_s
        self._tell(state, view, _FANOUT)

    def repeat(
        self,
        state: service_state.ServiceState,
        view: neighbours.View,
        now_s: float,
    ) -> None:
        """Tells other hosts if that is due."""
        if not state.stopped or now_s > self._until_s[state.service]:
            return
        if now_s - self._repeated_s[state.service] >= _INTERVAL_S:
            self._repeated_s[state.service] = now_s
            self._tell(state, view, _REPEATS)

    def _tell(
        self,
        state: service_state.ServiceState,
        view: neighbours.View,
        receivers: int,
    ) -> None:
        names = [item.name for item in view.others()]
        chosen = self._rng.sample(names, min(receivers, len(names)))
        if chosen:
            stop = messages.Stop(state.service, state.record.order_id)
            self._send(chosen, messages.encode(stop))
