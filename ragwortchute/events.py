"""Named events that plug-ins connect to."""

from collections import abc
import dataclasses
from typing import Any

from absl import logging

from ragwortchute import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One declared event.

    Attributes:
      name: Name to connect to.
      args: Names of the keyword arguments that handlers get.
      when: When the event is emitted.
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

    Handlers are plain functions and return nothing. An exception in a handler
    is logged and does not reach the emitter or other handlers.
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
        self._check(name)
        self._handlers[name].append(handler)

    def emit(self, name: str, **kwargs: Any) -> None:
        """Calls the handlers of an event in the order of their connection.

        Raises:
          RegistryError: The event or its arguments are not as declared.
        """
        self._check(name)
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

    def _check(self, name: str) -> None:
        if name not in self._declared:
            raise errors.RegistryError(
                f'unknown event {name!r}; '
                f'known: {", ".join(sorted(self._declared))}',
                step='event',
            )
