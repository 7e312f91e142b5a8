"""Pending requests of a connection: their handlers and responses, in order.

Load: a caller may send thousands of requests before it reads a response. Only
some of them are at work at the same time, and the others wait in order.
"""

import asyncio
import collections
from collections import abc

from ragwortchute.gateway import body_budget
from ragwortchute.gateway import eventlog
from ragwortchute.gateway import exchanges as exchanges_
from ragwortchute.gateway import http_messages
from ragwortchute.gateway.resources import account as account_

# Named to a caller whose request waited behind others and was refused.
RETRY_AFTER_S = 0.5

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
        '_at_work',
        '_bodies',
        '_handler',
        '_log',
        '_loop',
        '_on_response',
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
        self._at_work = 0
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
        self.held_bytes -= self.exchanges.popleft().held_bytes

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

    def drop(self, start: int = 0) -> None:
        """Drops pending requests and their responses.

        Handlers that run are not ended.

        Args:
            start: Number of the oldest ones that are kept.
        """
        while len(self.exchanges) > start:
            exchange = self.exchanges.pop()
            self.held_bytes -= exchange.held_bytes
            if exchange.response is not None:
                exchange.response.drop_rest()
        if not start:
            self._drop_waiting()

    def has_queue(self) -> bool:
        """Returns whether requests or responses wait behind one at work."""
        return bool(self._waiting) or (
            len(self.exchanges) > 1
            and self.exchanges[0].response is None
            and self.exchanges[-1].response is not None
        )

    def shed_queue(self) -> bool:
        """Refuses requests that wait, or else drops responses that wait.

        Returns:
            Whether responses were dropped, so that the connection must end.
        """
        if not self._waiting:
            start = len(self.exchanges)
            while start and self.exchanges[start - 1].response is not None:
                start -= 1
            self.drop(start)
            return True
        headers = [http_messages.retry_after(RETRY_AFTER_S)]
        for exchange in self._waiting:
            exchange.response = http_messages.Response(503, headers)
            resp_bytes = exchanges_.response_bytes(exchange.response)
            self._hold(exchange, resp_bytes)
        self._drop_waiting()
        return False

    def drop_streams(self) -> None:
        """Drops the first response that arrives in parts, and all behind it."""
        for number, exchange in enumerate(self.exchanges):
            if _is_streamed(exchange):
                self._drop_waiting()
                self.drop(number)
                return

    def _start_waiting(self) -> None:
        """Starts the handlers of requests that wait, as many as may run."""
        while self._waiting and (
            not self._at_work or self._at_work < self._account.max_at_work()
        ):
            exchange = self._waiting.popleft()
            req, reservation = exchange.waiting
            exchange.waiting = None
            self._at_work += 1
            exchange.task = self._loop.create_task(
                self._serve(req, exchange, reservation)
            )

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
            self._log.failure('handler', req.target)
            resp = http_messages.Response(502)
        finally:
            self._at_work -= 1
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
        self._start_waiting()

    def _hold(self, exchange: exchanges_.Exchange, held_bytes: int) -> None:
        self.held_bytes += held_bytes - exchange.held_bytes
        exchange.held_bytes = held_bytes


def _is_streamed(exchange: exchanges_.Exchange) -> bool:
    resp = exchange.response
    return resp is not None and resp.rest is not None
