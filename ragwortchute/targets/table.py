"""Table of the targets of all services, with their connection counts."""

from collections import abc

from ragwortchute import documents
from ragwortchute import upstream
from ragwortchute.targets import state as state_

Listener = abc.Callable[[str, state_.TargetState], None]


class TargetTable(upstream.ConnectionListener):
    """States of the targets by service and name."""

    __slots__ = ('_listeners', '_states')

    def __init__(self) -> None:
        self._states: dict[str, dict[str, state_.TargetState]] = {}
        self._listeners: list[Listener] = []

    def on_connection_change(self, listener: Listener) -> None:
        """Adds a listener for connection changes.

        It is called when the first connection of a target is opened and when
        the last one is closed.

        Args:
            listener: Called with the service name and the state of the target.
        """
        self._listeners.append(listener)

    def get(self, service: str, target: str) -> state_.TargetState | None:
        """Returns the state of a target, or None if it is unknown."""
        return self._states.get(service, {}).get(target)

    def service(self, service: str) -> dict[str, state_.TargetState]:
        """Returns the states of a service by target name."""
        return self._states.get(service, {})

    def apply(self, document: documents.ServiceDocument) -> None:
        """Applies the targets of a document.

        A target whose address changed is another machine and gets a new state.
        """
        old = self._states.get(document.service, {})
        new = {}
        for target in document.targets:
            state = old.get(target.name)
            if state is None or state.target.address != target.address:
                open_before = state.connections if state else 0
                state = state_.TargetState(target)
                # The closing of the old connections will still be reported.
                state.connections = open_before
            state.target = target
            state.candidate.slots = target.slots
            state.candidate.failure_domain = target.failure_domain
            new[target.name] = state
        self._states[document.service] = new

    def remove(self, service: str) -> None:
        """Removes the states of a service."""
        self._states.pop(service, None)

    def connection_opened(self, service: str, target: str) -> None:
        """Counts an opened connection; the first starts a new generation."""
        state = self.get(service, target)
        if state is None:
            return
        state.connections += 1
        if state.connections == 1:
            state.generation += 1
            self._notify_listeners(service, state)

    def connection_closed(self, service: str, target: str) -> None:
        """Counts a closed connection."""
        state = self.get(service, target)
        if state is None or state.connections == 0:
            return
        state.connections -= 1
        if state.connections == 0:
            self._notify_listeners(service, state)

    def _notify_listeners(
        self, service: str, state: state_.TargetState
    ) -> None:
        state.candidate.connected = state.connections > 0
        for listener in self._listeners:
            listener(service, state)
