"""Reads what targets say in their answers about further requests."""

from ragwortchute.gateway import dialect as dialects
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import host_state
from ragwortchute.gateway import http_client
from ragwortchute.gateway import relays
from ragwortchute.gateway import target_statements
from ragwortchute.gateway import targets as targets_


class StatementReader:
    """Notes the statements of targets.

    Args:
        dialect: Protocol of the targets.
        state: Targets that this host knows.
        statements: What targets have said.
        log: Event log.
    """

    __slots__ = ('_dialect', '_log', '_state', '_statements')

    def __init__(
        self,
        dialect: dialects.Dialect,
        state: host_state.HostState,
        statements: target_statements.TargetStatements,
        log: eventlog.EventLog,
    ) -> None:
        self._dialect = dialect
        self._state = state
        self._statements = statements
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
        if constraints.leaving:
            self._statements.note_leaving(target.entry, now_s)
        if constraints.pause_s:
            self._statements.note_pause(
                target.entry, constraints.pause_s, now_s
            )
        if constraints.malformed:
            self._log.event(
                'header-malformed',
                target=target.entry.name,
                headers=constraints.malformed,
            )
        if constraints.limit_per_s is not None or self._ends_limit(
            reply, constraints
        ):
            self._statements.note_limit(
                target.entry, constraints.limit_per_s, now_s
            )

    def _ends_limit(
        self, reply: http_client.Reply, constraints: dialects.Constraints
    ) -> bool:
        """Returns whether an answer without a limit ends a known one.

        A rejection, a damaged answer and a limit that can't be read do not.
        """
        return (
            not constraints.malformed
            and not self._dialect.is_not_run(reply)
            and self._dialect.is_authentic(reply)
        )

    def note_relayed(self, reply: http_client.Reply, now_s: float) -> None:
        """Notes what a target has said in the answer to a relayed request.

        This host may send to the target itself if no host there is left.

        Args:
            reply: The answer, with the name of the target.
            now_s: Loop time in seconds.
        """
        name = (reply.get(relays.TARGET_NAME) or b'').decode('latin-1')
        target = self._state.targets.get(name)
        if target is not None:
            self.note(target, reply, now_s)
