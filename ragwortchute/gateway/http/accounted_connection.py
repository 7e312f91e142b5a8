"""Connection of a caller as the account of memory and connections sees it."""

import asyncio
from collections import abc

from ragwortchute.gateway.http import delivery as delivery_
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.http import pipeline as pipeline_
from ragwortchute.gateway.http import request_reader
from ragwortchute.gateway.http import response_writer
from ragwortchute.gateway.resources import account as account_

# Named to a caller whose request is refused at a limit.
_RETRY_AFTER_S = 0.5


class AccountedConnection:
    """Implements `victims.Holder` for a connection of a caller."""

    __slots__ = ()

    # Attributes of the connection.
    _account: account_.Account
    _delivery: delivery_.Delivery
    _held_bytes: int
    _idle_since_s: float
    _pipeline: pipeline_.Pipeline
    _reader: request_reader.RequestReader
    _received_s: float
    _transport: asyncio.Transport | None
    _writer: response_writer.ResponseWriter | None

    @property
    def progress_s(self) -> float:
        """See `victims.Holder`."""
        return max(
            self._received_s,
            self._reader.started_s,
            self._idle_since_s,
            self._delivery.progress_s,
        )

    def is_at_work(self) -> bool:
        """See `victims.Holder`."""
        return self._pipeline.has_running()

    def is_incomplete(self) -> bool:
        """See `victims.Holder`."""
        return bool(self._reader.started_s) and not self._reader.waiting

    def has_body(self) -> bool:
        """See `victims.Holder`."""
        return self.is_incomplete() and self._reader.has_reservation

    def has_unread(self) -> bool:
        """See `victims.Holder`."""
        return (
            self._writer is None
            and self._transport is not None
            and self._transport.get_write_buffer_size() > 0
        )

    def has_streams(self) -> bool:
        """See `victims.Holder`."""
        if self._writer is not None:
            return not self._pipeline.has_running()
        return self._pipeline.has_streams()

    def has_queue(self) -> bool:
        """See `victims.Holder`."""
        return self._pipeline.has_queue()

    def shed_request(self) -> None:
        """See `victims.Holder`."""
        if self._reader.started_s:
            self._refuse(503, [http_messages.retry_after(_RETRY_AFTER_S)])

    def shed_queue(self) -> None:
        """See `victims.Holder`."""
        self._pipeline.shed_queue()
        self._flush()

    def shed_streams(self) -> None:
        """See `victims.Holder`."""
        if self._writer is not None:
            self.shed()
            return
        self._pipeline.drop_streams()
        self._flush()

    def shed(self) -> None:
        """See `victims.Holder`."""
        if self._transport is None:
            return
        if self._reader.started_s and not self._pipeline:
            self.shed_request()
        self._transport.abort()
        # The connection is lost only later, and others would be closed for
        # what it no longer holds.
        self._set_held(0)

    def _update_held(self) -> None:
        """Tells the account what this connection holds."""
        held_bytes = 0
        if self._transport is not None:
            held_bytes = self._pipeline.held_bytes
            if self._reader.started_s:
                held_bytes += self._reader.held_bytes
            if self._writer is None:
                held_bytes += self._transport.get_write_buffer_size()
        if held_bytes != self._held_bytes:
            self._set_held(held_bytes)

    def _set_held(self, held_bytes: int) -> None:
        change_bytes = held_bytes - self._held_bytes
        self._held_bytes = held_bytes
        if change_bytes:
            self._account.hold(self, change_bytes)

    # Methods of the connection.

    def _end_reading(self) -> None:
        """Ignores all further data."""
        raise NotImplementedError

    def _flush(self) -> None:
        """Writes available responses."""
        raise NotImplementedError

    def _refuse(
        self, status: int, headers: abc.Sequence[tuple[bytes, bytes]]
    ) -> None:
        """Responds to an incomplete request and closes."""
        raise NotImplementedError
