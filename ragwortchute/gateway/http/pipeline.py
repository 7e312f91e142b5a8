"""Pending requests of a connection: their handlers and responses, in order.

Load: a caller may send thousands of requests before it reads a response. Only
some of them are started, and the others wait in order.
"""

import asyncio
import collections
from collections import abc

from ragwortchute.gateway import eventlog
from ragwortchute.gateway.http import body_budget
from ragwortchute.gateway.http import exchanges as exchanges_
from ragwortchute.gateway.http import http_messages
from ragwortchute.gateway.resources import account as account_

# Named to a caller whose request waited behind others and was refused.
RETRY_AFTER_S = 0.5
# Requests behind others that a connection starts before other connections get
# their turn: no other connection is served until a handler first waits.
STARTS_PER_TURN = 4

Handler = abc.Callable[
    [http_messages.Request], abc.Awaitable[http_messages.Response]
]


class Pipeline:
    """Runs the handlers of the requests of a connection.

    Args:
        handler: Returns the response to a request.
        account: Account of memory and connections.
        bodies: Memory for bodies with a reservation.
        log: Event log.
        on_response: Called when a request has a response.

    Attributes:
        exchanges: Pending requests, the oldest first.
        held_bytes: Memory of the requests and their responses.
    """

    __slots__ = (
        '_account',
        '_bodies',
        '_handler',
        '_log',
        '_loop',
        '_on_response',
        '_starts_left',
        '_waiting',
        'exchanges',
        'held_bytes',
    )

    def __init__(
        self,
        handler: Handler,
        account: account_.Account,
        bodies: body_budget.BodyBudget,
        log: eventlog.EventLog,
        on_response: abc.Callable[[], None],
    ) -> None:
        self._handler = handler
        self._account = account
        self._bodies = bodies
        self._log = log
        self._on_response = on_response
        self._loop = asyncio.get_running_loop()
        self._starts_left = STARTS_PER_TURN
        self._waiting: collections.deque[exchanges_.Exchange] = (
            collections.deque()
        )
        self.exchanges: collections.deque[exchanges_.Exchange] = (
            collections.deque()
        )
        self.held_bytes = 0

    def __len__(self) -> int:
        """Returns the number of pending requests."""
        return len(self.exchanges)

    def has_work(self) -> bool:
        """Returns whether a request has no response yet."""
        return any(exchange.response is None for exchange in self.exchanges)

    def has_running(self) -> bool:
        """Returns whether a handler runs whose request has no response yet."""
        return any(
            exchange.response is None and exchange.waiting is None
            for exchange in self.exchanges
        )

    def has_streams(self) -> bool:
        """Returns whether a response has a body that is still arriving."""
        return any(_is_streamed(exchange) for exchange in self.exchanges)

    def add(
        self,
        req: http_messages.Request,
        reservation: body_budget.Reservation,
        head_bytes: int,
    ) -> None:
        """Adds a request, and starts its handler or lets it wait.

        Args:
            req: The request.
            reservation: Memory of its body.
            head_bytes: Memory of its head.
        """
        held_bytes = account_.REQUEST_BYTES + head_bytes
        if not reservation.size_bytes:
            held_bytes += req.body_bytes
        exchange = exchanges_.Exchange(req, held_bytes)
        self.exchanges.append(exchange)
        self.held_bytes += held_bytes
        exchange.waiting = req, reservation
        self._waiting.append(exchange)
        self._start_waiting()

    def add_response(self, resp: http_messages.Response) -> None:
        """Adds the response to a request that is not handled."""
        exchange = exchanges_.Exchange()
        exchange.response = resp
        self.exchanges.append(exchange)

    def pop(self) -> None:
        """Removes the oldest request, whose response has been written."""
        exchange = self.exchanges.popleft()
        self.held_bytes -= exchange.held_bytes
        self._release_answer(exchange)
        self._start_waiting()

    def fail_work(self) -> bool:
        """Gives requests without a response one, as the host ends.

        Returns:
            Whether there were any.
        """
        had_work = False
        for exchange in self.exchanges:
            if exchange.response is not None:
                continue
            had_work = True
            # Those that were started may have run.
            status = 502 if exchange.waiting is None else 503
            exchange.response = http_messages.Response(status)
        self._drop_waiting()
        return had_work

    def drop(self) -> None:
        """Drops all pending requests and their responses.

        Handlers that run are not ended.
        """
        while self.exchanges:
            exchange = self.exchanges.pop()
            self.held_bytes -= exchange.held_bytes
            self._release_answer(exchange)
            if exchange.response is not None:
                exchange.response.drop_rest()
        self._drop_waiting()

    def has_queue(self) -> bool:
        """Returns whether requests wait behind others."""
        return bool(self._waiting)

    def shed_queue(self) -> None:
        """Refuses the requests that wait."""
        headers = [http_messages.retry_after(RETRY_AFTER_S)]
        for exchange in self._waiting:
            self._set_response(exchange, http_messages.Response(503, headers))
        self._drop_waiting()

    def drop_streams(self) -> None:
        """Gives up responses that arrive in parts.

        Their requests have run, and those behind them are answered as usual.
        """
        for exchange in self.exchanges:
            if _is_streamed(exchange):
                exchange.response.drop_rest()
                self._set_response(exchange, http_messages.Response(502))

    def _start_waiting(self) -> None:
        """Starts the handlers of requests that wait, as many as may run."""
        while self._waiting and self._may_start(self._waiting[0]):
            exchange = self._waiting.popleft()
            req, reservation = exchange.waiting
            exchange.waiting = None
            exchange.task = self._loop.create_task(
                self._serve(req, exchange, reservation)
            )

    def _may_start(self, exchange: exchanges_.Exchange) -> bool:
        """Returns whether a request may run now.

        The oldest one always may: its response is written at once. Those behind
        it need memory for responses that have to wait, which is why none of
        these is ever dropped.
        """
        if exchange is self.exchanges[0]:
            return True
        started = len(self.exchanges) - len(self._waiting)
        if (
            not self._starts_left
            or started >= self._account.max_started()
            or not self._account.reserve_answer()
        ):
            return False
        exchange.has_answer_memory = True
        if self._starts_left == STARTS_PER_TURN:
            self._loop.call_soon(self._begin_turn)
        self._starts_left -= 1
        return True

    def _begin_turn(self) -> None:
        self._starts_left = STARTS_PER_TURN
        self._start_waiting()

    def _release_answer(self, exchange: exchanges_.Exchange) -> None:
        if exchange.has_answer_memory:
            exchange.has_answer_memory = False
            self._account.release_answer()

    def _set_response(
        self, exchange: exchanges_.Exchange, resp: http_messages.Response
    ) -> None:
        exchange.response = resp
        self._hold(exchange, exchanges_.response_bytes(resp))

    def _drop_waiting(self) -> None:
        waiting, self._waiting = self._waiting, collections.deque()
        for exchange in waiting:
            _, reservation = exchange.waiting
            exchange.waiting = None
            self._bodies.shrink(reservation, 0)

    async def _serve(
        self,
        req: http_messages.Request,
        exchange: exchanges_.Exchange,
        reservation: body_budget.Reservation,
    ) -> None:
        try:
            resp = await self._handler(req)
        except Exception:
            self._log.failure('handler', exchange.target)
            resp = http_messages.Response(502)
        finally:
            exchange.task = None
            self._bodies.shrink(reservation, 0)
        if exchange in self.exchanges:
            if exchange is not self.exchanges[0]:
                # It has to wait; the first one is written at once.
                self._hold(exchange, exchanges_.response_bytes(resp))
            exchange.response = resp
            self._on_response()
        else:
            resp.drop_rest()

    def _hold(self, exchange: exchanges_.Exchange, held_bytes: int) -> None:
        self.held_bytes += held_bytes - exchange.held_bytes
        exchange.held_bytes = held_bytes


def _is_streamed(exchange: exchanges_.Exchange) -> bool:
    resp = exchange.response
    return resp is not None and resp.rest is not None
