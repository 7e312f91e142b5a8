"""Asks other hosts which versions of a service are in use, and answers them.

A host that starts, or that may have missed an outcome, can't tell that a
version was replaced once the operator has replaced the object of the order.
Entries of stopped targets stay in the store for some seconds.
"""

from collections import abc
import random

from ragwortchute.gateway import eventlog
from ragwortchute.gateway.rollouts import messages
from ragwortchute.gateway.rollouts import neighbours
from ragwortchute.gateway.rollouts import service_state

# Hosts that are asked at a time. Those that can't tell do not answer.
_FANOUT = 3
# Time between two questions while requests are held back for an answer, and
# after the host has decided by itself.
_INTERVAL_S = 0.1
_LATER_INTERVAL_S = 1.0
# Share of an interval after which a question is due. It would wait for another
# tick if a tick came just before the end of the interval.
_DUE_FRACTION = 0.9


class Inquiries:
    """Questions of this host about versions in use, and its answers.

    Args:
        send: Sends a payload to hosts.
        rng: Source of randomness.
        log: Event log.
    """

    __slots__ = ('_asked_s', '_log', '_rng', '_send')

    def __init__(
        self,
        send: abc.Callable[[list[str], bytes], None],
        rng: random.Random,
        log: eventlog.EventLog,
    ) -> None:
        self._send = send
        self._rng = rng
        self._log = log
        self._asked_s: dict[str, float] = {}

    def ask_if_due(
        self,
        state: service_state.ServiceState,
        view: neighbours.View,
        now_s: float,
    ) -> None:
        """Asks some hosts if this one can't tell which versions are in use."""
        if not state.versions.asks(now_s):
            return
        is_open = state.versions.is_open(now_s)
        interval_s = _INTERVAL_S if is_open else _LATER_INTERVAL_S
        asked_s = self._asked_s.get(state.service, float('-inf'))
        if now_s - asked_s < interval_s * _DUE_FRACTION:
            return
        self._asked_s[state.service] = now_s
        names = [item.name for item in view.others()]
        heard = [name for name in names if name in view.names_heard()]
        names = heard or names
        chosen = self._rng.sample(names, min(_FANOUT, len(names)))
        if chosen:
            question = messages.Question(state.service, _revision(state))
            self._send(chosen, messages.encode(question))

    def handle(
        self,
        sender: str,
        message: messages.Question | messages.Answer,
        state: service_state.ServiceState,
        unconfirmed_s: float,
    ) -> None:
        """Handles a message of another host.

        Args:
            sender: Name of the host.
            message: The message.
            state: The rollout as this host follows it.
            unconfirmed_s: Age of the copies of the records in seconds.
        """
        if isinstance(message, messages.Answer):
            self._note_answer(sender, message, state)
        elif unconfirmed_s <= neighbours.ISOLATION_S:
            self._answer(sender, message, state)

    def _answer(
        self,
        sender: str,
        question: messages.Question,
        state: service_state.ServiceState,
    ) -> None:
        """Answers if this host is certain and its record is at least as new."""
        if not (state.versions.certain and state.versions.used):
            return
        if question.revision:
            if _revision(state) < question.revision:
                return
        elif state.ordered is not None:
            # One of both hosts has not read yet whether there is an order.
            return
        answer = messages.Answer(
            state.service,
            question.revision,
            tuple(sorted(state.versions.used)),
            state.versions.listed_refused(service_state.MAX_REFUSED),
        )
        self._send([sender], messages.encode(answer))

    def _note_answer(
        self,
        sender: str,
        answer: messages.Answer,
        state: service_state.ServiceState,
    ) -> None:
        """Applies an answer unless this host is certain by now."""
        if state.versions.certain or answer.revision != _revision(state):
            return
        state.learn_versions(answer.used, answer.refused)
        self._log.event(
            'rollout-versions-learnt',
            service=state.service,
            used=','.join(answer.used),
            refused=','.join(answer.refused),
            sender=sender,
        )


def _revision(state: service_state.ServiceState) -> int:
    return state.record.revision if state.record is not None else 0
