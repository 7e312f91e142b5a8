"""Log lines on single requests."""

import asyncio

from ragwortchute.gateway import attempts
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import knowledge as knowledge_
from ragwortchute.gateway import model
from ragwortchute.gateway import stats as stats_


class RequestLog:
    """Writes what was decided on requests, and from what.

    Args:
        log: Takes log lines.
        knowledge: Its revision goes with each decision.
        stats: Counts attempts that failed.
    """

    __slots__ = ('_knowledge', '_log', '_loop', '_stats')

    def __init__(
        self,
        log: eventlog.EventLog,
        knowledge: knowledge_.Knowledge,
        stats: stats_.Stats,
    ) -> None:
        self._log = log
        self._knowledge = knowledge
        self._stats = stats
        self._loop = asyncio.get_running_loop()

    def sent(self, call: attempts.Call, attempt: attempts.Attempt) -> None:
        """Notes a request that goes to a target, and what the target said."""
        placed = attempt.placement
        reading = placed.reading
        self._log.event(
            'send',
            id=call.request_id.decode('latin-1'),
            target=placed.target.entry.name,
            n=call.sends,
            asked=placed.asked,
            running=reading.running,
            waiting=reading.waiting,
            slowness=reading.slowness,
            cold_s=reading.cold_s,
            age_ms=round((attempt.sent_s - reading.taken_s) * 1000, 1),
            expected_ms=round(placed.expected_s * 1000),
            revision=self._knowledge.cfg_revision,
        )

    def ended(
        self,
        request_id: bytes,
        status: int,
        outcome: str,
        sends: int,
        arrived_s: float,
    ) -> None:
        """Notes the final answer to a request."""
        self._log.event(
            'request',
            id=request_id.decode('latin-1'),
            status=status,
            outcome=outcome,
            sends=sends,
            ms=round((self._loop.time() - arrived_s) * 1000, 1),
            revision=self._knowledge.cfg_revision,
        )

    def relayed(
        self,
        call: attempts.Call,
        host: model.HostEntry,
        outcome: str,
        sent_s: float,
    ) -> None:
        """Notes the end of a request that was passed on."""
        self._log.event(
            'relay',
            id=call.request_id.decode('latin-1'),
            to=host.name,
            outcome=outcome,
            ms=round((self._loop.time() - sent_s) * 1000, 1),
        )

    def attempted(
        self, call: attempts.Call, attempt: attempts.Attempt, outcome: str
    ) -> None:
        """Notes an attempt that ended without an answer to pass on."""
        self._stats.failed_attempt(outcome)
        self._log.event(
            'attempt',
            id=call.request_id.decode('latin-1'),
            target=attempt.target.entry.name,
            n=call.sends,
            outcome=outcome,
            ms=round((self._loop.time() - attempt.sent_s) * 1000, 1),
        )
