"""Reads what targets say in their answers about further requests."""

from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import host_state
from ragwortchute.gateway.http import http_client
from ragwortchute.gateway.selection import pauses as pauses_
from ragwortchute.gateway.selection import target_statements
from ragwortchute.gateway.selection import targets as targets_


class StatementReader:
    """Notes the statements of targets.

    Args:
        dialect: Protocol of the targets.
        state: Targets that this host knows.
        statements: What targets have said to all hosts.
        pauses: Pauses that targets have asked this host for.
        log: Event log.
    """

    __slots__ = ('_dialect', '_log', '_pauses', '_state', '_statements')

    def __init__(
        self,
        dialect: dialects.Dialect,
        state: host_state.HostState,
        statements: target_statements.TargetStatements,
        pauses: pauses_.Pauses,
        log: eventlog.EventLog,
    ) -> None:
        self._dialect = dialect
        self._state = state
        self._statements = statements
        self._pauses = pauses
        self._log = log

    def note(
        self, target: targets_.Target, reply: http_client.Reply, now_s: float
    ) -> None:
        """Notes what a target has said in an answer of its own.

        Args:
            target: The target.
            reply: The answer.
            now_s: Loop time in seconds.
        """
        constraints = self._dialect.decode_constraints(reply)
        self.note_constraints(target, constraints, now_s)
        if not self._is_served(reply):
            return
        self._pauses.note_served(target.key, now_s)
        if constraints.limit_per_s is None and not constraints.malformed:
            self._statements.note_limit(target.entry, None, now_s)

    def note_relayed(self, reply: http_client.Reply, now_s: float) -> None:
        """Notes what a target has said in the answer to a relayed request.

        This host may send to the target itself if no host there is left.

        Args:
            reply: The answer, with the name of the target.
            now_s: Loop time in seconds.
        """
        name = (reply.get(dialects.TARGET_NAME) or b'').decode('latin-1')
        target = self._state.targets.get(name)
        if target is not None:
            self.note(target, reply, now_s)

    def note_constraints(
        self,
        target: targets_.Target,
        constraints: dialects.Constraints,
        now_s: float,
    ) -> None:
        """Notes what a target has said in any answer, also of a health request.

        What such an answer does not say means nothing: only the result of a
        request shows that a target names no limit any more.

        Args:
            target: The target.
            constraints: What it has said.
            now_s: Loop time in seconds.
        """
        if constraints.leaving:
            self._statements.note_leaving(target.entry, now_s)
        if constraints.pause_s:
            self._pauses.start(target.entry, constraints.pause_s, now_s)
        if constraints.limit_per_s is not None:
            self._statements.note_limit(
                target.entry, constraints.limit_per_s, now_s
            )
        if constraints.malformed:
            self._log.event(
                'header-malformed',
                target=target.entry.name,
                headers=constraints.malformed,
            )

    def _is_served(self, reply: http_client.Reply) -> bool:
        """Returns whether an answer is the result of a request.

        A rejection and a damaged answer are not.
        """
        return self._dialect.is_authentic(
            reply
        ) and not self._dialect.is_not_run(reply)
