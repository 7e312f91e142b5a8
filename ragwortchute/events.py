"""In-process events, dispatched to connected handlers."""

from collections import abc
import dataclasses
from typing import Any

from absl import logging

from ragwortchute import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Declaration of one event.

    Attributes:
      name: Name that handlers connect to.
      args: Names of the keyword arguments passed to handlers.
      when: Condition under which the event is emitted.
    """

    name: str
    args: tuple[str, ...]
    when: str


EVENTS = (
    Event('document-applied', ('document', 'version'), 'a version is in force'),
    Event(
        'domain-changed', ('failure_domain', 'state'), 'an order is in force'
    ),
    Event('view-changed', ('view',), 'a new view of the region is adopted'),
    Event('peer-lost', ('host', 'incarnation'), 'a member left the view'),
    Event(
        'target-changed',
        ('service', 'target', 'phase'),
        'a target became cold, warming, warm or draining',
    ),
    Event('call-ended', ('call', 'outcome'), 'a call was answered or refused'),
    Event('leaving', (), 'a planned stop began'),
)


class EventTable:
    """Connects handlers to the declared events and calls them.

    Handlers are synchronous functions; their return values are ignored. An
    exception in a handler is logged and propagates neither to the emitter nor
    to other handlers.

    Args:
        declared: Events that may be connected to and emitted.
    """

    __slots__ = ('_declared', '_handlers')

    def __init__(self, declared: abc.Iterable[Event] = EVENTS) -> None:
        self._declared = {event.name: event for event in declared}
        self._handlers: dict[str, list[abc.Callable[..., None]]] = {
            name: [] for name in self._declared
        }

    def connect(self, name: str, handler: abc.Callable[..., None]) -> None:
        """Adds a handler.

        Raises:
          RegistryError: No event of that name is declared.
        """
        self._check_declared(name)
        self._handlers[name].append(handler)

    def emit(self, name: str, **kwargs: Any) -> None:
        """Calls the handlers of an event in the order in which they connected.

        Raises:
          RegistryError: The event is not declared, or its arguments differ
            from the declaration.
        """
        self._check_declared(name)
        if set(kwargs) != set(self._declared[name].args):
            raise errors.RegistryError(
                f'event {name!r} takes {self._declared[name].args}, '
                f'got {tuple(kwargs)}',
                step='emit',
            )
        for handler in self._handlers[name]:
            try:
                handler(**kwargs)
            except Exception:
                logging.exception('events: handler failed, event=%s', name)

    def _check_declared(self, name: str) -> None:
        if name not in self._declared:
            raise errors.RegistryError(
                f'unknown event {name!r}; '
                f'known: {", ".join(sorted(self._declared))}',
                step='event',
            )
