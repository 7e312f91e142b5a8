"""Bounds the work for callers between two turns of everything else.

An event loop runs the callbacks of all sockets that have data before it looks
at timers and tasks again. While many callers send small chunks, timers and the
tasks for the store and for other hosts would wait until all of them are read.
Therefore the connections of callers are polled apart from all other sockets,
and only a few of them in each turn of the loop.
"""

import asyncio
import collections
from collections import abc
import select
import selectors
import typing

# Connections of callers whose events are handled in one turn of the loop.
# Timers, tasks and other sockets wait for this many reads at most. A smaller
# number would poll all other sockets more often for each read.
EVENTS_PER_TURN = 8


class TurnSelector(selectors.EpollSelector):
    """Selector that returns few events of callers at once, after all others.

    The system returns the ready connections in rotation: each has one event
    handled before any of them has a second one.
    """

    def __init__(self) -> None:
        super().__init__()
        self._caller_fds: set[int] = set()
        self._caller_keys: dict[int, selectors.SelectorKey] = {}
        self._callers = select.epoll()
        super().register(self._callers.fileno(), selectors.EVENT_READ)

    @property
    def callers(self) -> int:
        """Number of descriptors of callers."""
        return len(self._caller_fds)

    def add_caller(self, fd: int) -> None:
        """Treats a descriptor as that of a caller, before it is registered."""
        self._caller_fds.add(fd)

    def remove_caller(self, fd: int) -> None:
        """Treats a descriptor like all others, after it is unregistered."""
        self._caller_fds.discard(fd)

    def register(
        self, fileobj: typing.Any, events: int, data: object = None
    ) -> selectors.SelectorKey:
        """See base class."""
        if fileobj not in self._caller_fds:
            return super().register(fileobj, events, data)
        self._callers.register(fileobj, _epoll_events(events))
        key = selectors.SelectorKey(fileobj, fileobj, events, data)
        self._caller_keys[fileobj] = key
        return key

    def unregister(self, fileobj: typing.Any) -> selectors.SelectorKey:
        """See base class."""
        key = self._caller_keys.pop(fileobj, None)
        if key is None:
            return super().unregister(fileobj)
        self._callers.unregister(fileobj)
        return key

    def modify(
        self, fileobj: typing.Any, events: int, data: object = None
    ) -> selectors.SelectorKey:
        """See base class."""
        key = self._caller_keys.get(fileobj)
        if key is None:
            return super().modify(fileobj, events, data)
        if events != key.events:
            self._callers.modify(fileobj, _epoll_events(events))
        key = self._caller_keys[fileobj] = key._replace(
            events=events, data=data
        )
        return key

    def get_key(self, fileobj: typing.Any) -> selectors.SelectorKey:
        """See base class."""
        key = self._caller_keys.get(fileobj)
        return super().get_key(fileobj) if key is None else key

    def get_map(self) -> abc.Mapping[typing.Any, selectors.SelectorKey]:
        """See base class."""
        return collections.ChainMap(self._caller_keys, super().get_map())

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """See base class."""
        ready = super().select(timeout)
        callers_fd = self._callers.fileno()
        others = [item for item in ready if item[0].fd != callers_fd]
        if len(others) < len(ready):
            others += self._select_callers()
        return others

    def close(self) -> None:
        """See base class."""
        super().close()
        self._callers.close()

    def _select_callers(self) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the events of at most `EVENTS_PER_TURN` callers."""
        found = []
        for fd, events in self._callers.poll(0, EVENTS_PER_TURN):
            key = self._caller_keys[fd]
            # Errors and the end of a connection count as both.
            mask = 0
            if events & ~select.EPOLLIN:
                mask |= selectors.EVENT_WRITE
            if events & ~select.EPOLLOUT:
                mask |= selectors.EVENT_READ
            found.append((key, mask & key.events))
        return found


class Loop(asyncio.SelectorEventLoop):
    """Event loop of a host.

    Attributes:
        turns: Selector that is told which descriptors belong to callers.
    """

    def __init__(self) -> None:
        self.turns = TurnSelector()
        super().__init__(self.turns)


def current() -> TurnSelector | None:
    """Returns the selector of the running loop, None if it is another loop."""
    loop = asyncio.get_running_loop()
    return loop.turns if isinstance(loop, Loop) else None


def _epoll_events(events: int) -> int:
    mask = 0
    if events & selectors.EVENT_READ:
        mask |= select.EPOLLIN
    if events & selectors.EVENT_WRITE:
        mask |= select.EPOLLOUT
    return mask
