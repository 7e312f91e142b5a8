"""Body of an answer that is passed on while it arrives.

The connection to a target adds the parts, and the connection of a caller takes
them. The target is read no faster than the caller reads.
"""

import asyncio
from collections import abc
import typing

from ragwortchute import errors
from ragwortchute.gateway.http import answer_memory

# Shortest time between two checks whether a target has stalled.
MIN_CHECK_S = 0.02

# Called at the end of a body, with the error that broke it off if one did.
OnEnd = abc.Callable[[errors.TargetError | None], None]


class Sink(typing.Protocol):
    """Takes the parts of a body."""

    def write(self, part: bytes) -> None:
        """Takes a part."""

    def finish(self) -> None:
        """Notes that the body is complete."""

    def break_off(self) -> None:
        """Notes that the body will not be complete."""


class BodyStream:
    """Body that is still arriving.

    Nothing is read from the target until a sink is attached.

    Args:
        transport: Transport of the connection to the target.
        peer: `IP:port` of the target, for error messages.
        share: Memory of the answer.
        parts: Parts that have arrived already.
        length: Length of the whole body in bytes, None if it is not known.

    Attributes:
        length: Length of the whole body in bytes, None if it is not known.
        share: Memory of the answer.
    """

    __slots__ = (
        '_due_s',
        '_ended',
        '_ends_with_caller',
        '_error',
        '_left',
        '_loop',
        '_on_end',
        '_parts',
        '_paused_s',
        '_peer',
        '_sink',
        '_timer',
        '_transport',
        'length',
        'share',
    )

    def __init__(
        self,
        transport: asyncio.Transport,
        peer: str,
        share: answer_memory.Share,
        parts: list[bytes],
        length: int | None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport = transport
        self._peer = peer
        self._parts = parts
        self._sink: Sink | None = None
        self._left = False
        self._ended = False
        self._error: errors.TargetError | None = None
        self._on_end: OnEnd | None = None
        self._ends_with_caller = True
        self._due_s = float('inf')
        self._timer: asyncio.TimerHandle | None = None
        # Loop time since which the target is not read, None if it is.
        self._paused_s: float | None = None
        self.length = length
        self.share = share
        self.pause()

    # For the part of the host that decides on the answer.

    def begin(
        self, due_s: float, on_end: OnEnd, *, ends_with_caller: bool
    ) -> None:
        """Sets how the body is passed on, before a sink is attached.

        Args:
            due_s: Loop time at which the body must be complete, in seconds.
                Time in which the caller takes nothing is added to it.
            on_end: Called once the body is complete or broken off, or, without
                an error, when the caller has left.
            ends_with_caller: Whether the connection to the target is closed
                when the caller leaves. Otherwise the body is read to its end.
        """
        self._due_s = due_s
        self._on_end = on_end
        self._ends_with_caller = ends_with_caller
        if self._ended:
            on_end(self._error)
        else:
            self._check_due()

    def discard(self) -> None:
        """Closes the connection to the target; the body is not wanted."""
        self._left = True
        self._drop_parts()
        if self._end(None):
            self._transport.abort()

    # For the connection of the caller.

    def attach(self, sink: Sink) -> None:
        """Starts to pass on parts."""
        self._sink = sink
        parts, self._parts = self._parts, []
        for part in parts:
            sink.write(part)
        if not self._ended:
            return
        if self._error is None:
            sink.finish()
        else:
            sink.break_off()

    def pause(self) -> None:
        """Stops reading from the target."""
        if self._paused_s is None and not self._ended:
            self._paused_s = self._loop.time()
            self._transport.pause_reading()

    def resume(self) -> None:
        """Goes on reading from the target."""
        if self._paused_s is not None and not self._ended:
            self._due_s += self._loop.time() - self._paused_s
            self._paused_s = None
            self._transport.resume_reading()

    def leave(self) -> None:
        """Notes that the caller has closed its connection."""
        if self._ended or self._ends_with_caller:
            self.discard()
            return
        self._left = True
        self._drop_parts()
        self.resume()

    # For the connection to the target.

    def add(self, part: bytes) -> None:
        """Adds a part."""
        if self._sink is not None:
            self._sink.write(part)
        elif not self._left:
            self._parts.append(part)

    def finish(self) -> None:
        """Notes that the body is complete."""
        if self._end(None) and self._sink is not None:
            self._sink.finish()

    def break_off(self, error: errors.TargetError) -> None:
        """Notes that the body will not be complete."""
        if not self._end(error):
            return
        if self._sink is None:
            self._parts = []
            self.share.end()
        else:
            self._sink.break_off()

    def _end(self, error: errors.TargetError | None) -> bool:
        """Ends the body; returns False if it was ended before."""
        if self._ended:
            return False
        if self._paused_s is not None:
            # The connection may carry another request.
            self._transport.resume_reading()
            self._paused_s = None
        self._ended = True
        self._error = error
        if self._timer is not None:
            self._timer.cancel()
        if self._on_end is not None:
            self._on_end(error)
        return True

    def _drop_parts(self) -> None:
        self._sink = None
        self._parts = []
        self.share.end()

    def _check_due(self) -> None:
        """Breaks the body off if the target is late."""
        now_s = self._loop.time()
        due_s = self._due_s
        if self._paused_s is not None:
            due_s += now_s - self._paused_s
        if due_s <= now_s:
            self.break_off(
                errors.AttemptTimeout(
                    'rest of the answer timed out',
                    step='answer',
                    peer=self._peer,
                )
            )
            self._transport.abort()
            return
        self._timer = self._loop.call_at(
            max(due_s, now_s + MIN_CHECK_S), self._check_due
        )
