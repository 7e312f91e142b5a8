"""At-most-once execution by binding each key to one origin."""

import asyncio
from collections import abc
import functools

from absl import logging
import msgspec
from returns import result

from ragwortchute import calls
from ragwortchute import clock as clock_lib
from ragwortchute import errors
from ragwortchute import membership as membership_lib
from ragwortchute import peers
from ragwortchute import records
from ragwortchute import wire
from ragwortchute.records import handover as handover_lib
from ragwortchute.records import record as record_lib
from ragwortchute.records import tokens as tokens_lib

MAX_KEY_CHARS = 256
# Largest number of resends that wait for one pending key. Each of them holds a
# connection; a caller has one or two open at a time.
MAX_WAITING_RESENDS = 16

_STEP = 'record'
_CANCEL_TIMEOUT_S = 1.0

AddressLookup = abc.Callable[[calls.Call], calls.AddressAnswer | None]
Spill = abc.Callable[
    [str, wire.CallForward], abc.Awaitable[wire.Message | None]
]


class OriginRecorder(records.Recorder):
    """Runs each key only on its origin and answers resends from the record.

    The origin of a key is the process named in its origin token.

    Args:
        clock: Clock for deadlines and for the expiry of tokens.
        transport: Carries forwarded calls and handovers.
        membership: This host and the hosts it may hand over to.
        tokens: Verifies origin tokens.
        record_bytes: Memory limit in bytes for the record of this host and
            the records received from others.
        addresses: Returns the entry hosts that a refused call may be sent to.

    Attributes:
        budget: Memory limit that these records share.
        record: Record of the keys whose origin is this process.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        transport: peers.Transport,
        membership: membership_lib.Membership,
        tokens: tokens_lib.TokenMint,
        record_bytes: int,
        addresses: AddressLookup | None = None,
    ) -> None:
        self._clock = clock
        self._transport = transport
        self._membership = membership
        self._tokens = tokens
        self._addresses = addresses or (lambda call: None)
        self._me = membership.me
        self.budget = record_lib.MemoryBudget(record_bytes)
        self.record = record_lib.Record(clock, self.budget)
        self._handover = handover_lib.Handover(
            clock=clock,
            transport=transport,
            membership=membership,
            budget=self.budget,
            record=self.record,
            token_lifetime_s=tokens.lifetime_s,
        )
        self._dispatch_stopped = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._run: records.Run | None = None
        self._spill: Spill | None = None

    def start(self, run: records.Run, spill: Spill | None = None) -> None:
        """Starts receiving messages.

        Args:
            run: Dispatches calls that other hosts forward to this origin.
            spill: Handles forwarded calls whose purpose is `spill`.
        """
        self._run = run
        self._spill = spill
        self._transport.on(wire.CallForward, self._on_forward)
        self._handover.start()

    async def execute(
        self, call: calls.Call, run: records.Run
    ) -> records.Outcome:
        """Returns the outcome of a call, which runs at most once per key.

        A call without a key runs directly, since it cannot be resent. The
        dispatch of a call with a key continues until its deadline even if the
        awaiting task is cancelled, so that a resend finds the answer in the
        record.

        Args:
            call: A call that is not idempotent.
            run: Dispatches the call if this process is the origin.

        Returns:
            The answer of the target, or a refusal.
        """
        if not call.key:
            return await run(call)
        return await self._execute(call, run, forwarded=False)

    async def hand_over(self, timeout_s: float) -> bool:
        """Stops dispatching and hands the record over to a successor.

        Called during a planned stop, after the calls were drained. Calls that
        are still pending are cancelled after half of the time.

        Args:
            timeout_s: Time for pending calls and the handover, in seconds.

        Returns:
            False if no successor has the complete record.
        """
        deadline_s = self._clock.monotonic() + timeout_s
        self._dispatch_stopped = True
        await self._drain_pending(timeout_s / 2)
        return await self._handover.send_all(deadline_s)

    async def close(self) -> None:
        """Cancels the running dispatches; their entries become `unknown`."""
        self._dispatch_stopped = True
        await self._cancel_tasks()
        await self._handover.close()

    def dump(self) -> dict[str, object]:
        """Returns entry counts by state, memory use and running dispatches."""
        states: dict[str, int] = {}
        for entry in self.record:
            states[entry.state] = states.get(entry.state, 0) + 1
        return {
            'entries': states,
            'used_bytes': self.budget.used_bytes,
            'limit_bytes': self.budget.limit_bytes,
            'running': len(self._tasks),
        }

    async def _execute(
        self, call: calls.Call, run: records.Run, *, forwarded: bool
    ) -> records.Outcome:
        if not _is_valid_key(call.key):
            detail = f'the key must have 1 to {MAX_KEY_CHARS} printable ASCII'
            return self._refuse(call, 'bad-key', 400, detail, first_retry_ms=-1)
        if call.homes and self._me.region not in call.homes:
            detail = f'region {self._me.region!r} is not a home region'
            return self._refuse(
                call, 'home-regions', 421, detail, resend_retry_ms=0
            )
        if not call.origin_token:
            return await self._execute_without_token(call)
        parsed = self._tokens.parse(call.origin_token)
        if isinstance(parsed, result.Failure):
            detail = f'the origin token is {parsed.failure()}'
            return self._refuse(call, 'bad-token', 400, detail)
        token = parsed.unwrap()
        if token.origin == (self._me.host, self._me.incarnation):
            return await self._execute_at_origin(call, token, run)
        received = self._handover.received_record(token.origin)
        if received is not None:
            return self._answer_from_received(call, token, received)
        if forwarded:
            detail = f'host {token.host!r} has no record of this origin'
            return self._origin_gone(call, detail)
        return await self._forward_to_origin(call, token)

    async def _execute_without_token(self, call: calls.Call) -> records.Outcome:
        # Only looked up, never run: running it would bind the key to this host
        # without a token, and a resend with the token of another host would
        # run it a second time.
        entry = self.record.find(record_lib.entry_name(call))
        if entry is None:
            detail = 'a request key needs an origin token; query the addresses'
            return self._refuse(call, 'no-origin-token', 428, detail)
        if entry.digest != record_lib.request_digest(call):
            return self._key_reused()
        return await self._await_outcome(entry, call)

    async def _execute_at_origin(
        self, call: calls.Call, token: tokens_lib.OriginToken, run: records.Run
    ) -> records.Outcome:
        name = record_lib.entry_name(call)
        digest = record_lib.request_digest(call)
        entry = self.record.find(name)
        if entry is not None and entry.digest != digest:
            return self._key_reused()
        if entry is not None and not _may_run_again(entry, token):
            token_added = self.record.add_token(
                entry, token.token_id, token.expires_at
            )
            if not token_added and entry.state is record_lib.State.PENDING:
                # The entry could not store this token. If the dispatch ends
                # in `not-run`, a late send under the token would run the key.
                return _unknown('too-many-tokens', 503, retry_after_ms=100)
            return await self._await_outcome(entry, call)
        refusal = self._check_dispatch(call, token)
        if refusal is not None:
            return refusal
        if entry is None:
            entry = record_lib.Entry(
                name=name,
                digest=digest,
                state=record_lib.State.PENDING,
                expires_at=token.expires_at,
                token_id=token.token_id,
                homes=call.homes,
            )
            added = self.record.add(entry)
        else:
            added = self.record.add_token(
                entry, token.token_id, token.expires_at
            )
            if added:
                self.record.reset_pending(entry)
        if not added:
            detail = 'the request record of the origin is full'
            return self._refuse(
                call,
                'record-full',
                503,
                detail,
                first_retry_ms=100,
                resend_retry_ms=1000,
            )
        return await self._start_dispatch(entry, call, run)

    def _check_dispatch(
        self, call: calls.Call, token: tokens_lib.OriginToken
    ) -> records.Outcome | None:
        """Returns a refusal if the key must not be dispatched now."""
        if self.record.expired(token.expires_at):
            return self._refuse(call, 'token-expired', 503)
        if self._dispatch_stopped:
            # This process dispatches nothing any more, so `not-run` holds for
            # every send of the key.
            return self._not_run(call, 'leaving')
        if self._clock.monotonic() >= call.deadline_s:
            return self._refuse(call, 'deadline', 504, first_retry_ms=-1)
        return None

    async def _start_dispatch(
        self, entry: record_lib.Entry, call: calls.Call, run: records.Run
    ) -> records.Outcome:
        loop = asyncio.get_running_loop()
        fut = loop.create_future()
        entry.waiters = (fut,)
        task = loop.create_task(self._dispatch_and_record(entry, call, run))
        self._tasks.add(task)
        task.add_done_callback(functools.partial(self._on_dispatch_done, entry))
        # The dispatch is a separate task, so it continues if this one is
        # cancelled.
        return await fut

    def _on_dispatch_done(
        self, entry: record_lib.Entry, task: asyncio.Task[None]
    ) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            # A task that is cancelled before its first step never reaches the
            # `finally` of `_dispatch_and_record`. Other tasks do, and their
            # entry may already be pending again under a later token.
            self._finish_entry(entry, _DISPATCH_LOST)

    async def _dispatch_and_record(
        self, entry: record_lib.Entry, call: calls.Call, run: records.Run
    ) -> None:
        outcome = _DISPATCH_LOST
        try:
            outcome = await run(call)
        except Exception:
            logging.exception('records: dispatch failed, call=%s', call.call_id)
        finally:
            self._finish_entry(entry, outcome)

    def _finish_entry(
        self, entry: record_lib.Entry, outcome: records.Outcome
    ) -> None:
        if entry.state is not record_lib.State.PENDING:
            return
        self.record.finish(entry, outcome)
        for fut in entry.waiters:
            if not fut.done():
                fut.set_result(outcome)
        entry.waiters = ()

    async def _await_outcome(
        self, entry: record_lib.Entry, call: calls.Call
    ) -> records.Outcome:
        """Returns the outcome of an entry; waits until the call's deadline."""
        if entry.state is not record_lib.State.PENDING:
            return self._replay(entry, call)
        if len(entry.waiters) > MAX_WAITING_RESENDS:
            return _unknown('too-many-resends', 503, retry_after_ms=100)
        fut = asyncio.get_running_loop().create_future()
        entry.waiters += (fut,)
        remaining_s = call.deadline_s - self._clock.monotonic()
        timer = asyncio.ensure_future(self._clock.sleep(remaining_s))
        try:
            await asyncio.wait(
                {fut, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()
            entry.waiters = tuple(w for w in entry.waiters if w is not fut)
        if fut.done():
            return fut.result()
        return _unknown('pending', 504, retry_after_ms=100)

    def _answer_from_received(
        self,
        call: calls.Call,
        token: tokens_lib.OriginToken,
        received: record_lib.Record,
    ) -> records.Outcome:
        entry = received.find(record_lib.entry_name(call))
        if entry is not None:
            if entry.digest != record_lib.request_digest(call):
                return self._key_reused()
            return self._replay(entry, call)
        if received.expired(token.expires_at):
            return self._refuse(call, 'token-expired', 503)
        # The origin stopped dispatching before the handover, so a key that is
        # not in its record was not dispatched and never will be.
        return self._not_run(call, 'origin-left')

    def _replay(
        self, entry: record_lib.Entry, call: calls.Call
    ) -> records.Outcome:
        if entry.state is record_lib.State.RAN:
            return result.Success(entry.answer())
        refusal = entry.refusal()
        if entry.state is record_lib.State.NOT_RUN:
            if refusal is None:
                return self._not_run(call, 'recorded')
            addresses = self._addresses(call)
            return result.Failure(
                msgspec.structs.replace(refusal, addresses=addresses)
            )
        if refusal is not None:
            return result.Failure(refusal)
        if entry.state is record_lib.State.RAN_NO_ANSWER:
            return result.Failure(
                calls.Refusal(
                    outcome=calls.Outcome.RAN,
                    reason='answer-not-kept',
                    step=_STEP,
                    status=409,
                    detail='the request ran; its answer was not retained',
                )
            )
        return _unknown('answer-lost', 504)

    async def _forward_to_origin(
        self, call: calls.Call, token: tokens_lib.OriginToken
    ) -> records.Outcome:
        if call.homes and token.region not in call.homes:
            detail = f'the origin is in region {token.region!r}'
            return self._refuse(call, 'home-regions', 421, detail)
        host = self._handover.successor(token.origin) or token.host
        if host == self._me.host:
            return self._origin_gone(call, 'this host was restarted')
        remaining_s = call.deadline_s - self._clock.monotonic()
        if remaining_s <= 0:
            return self._refuse(call, 'deadline', 504, first_retry_ms=-1)
        message = wire.CallForward(
            call=msgspec.structs.replace(call, deadline_s=0.0),
            remaining_ms=max(1, int(remaining_s * 1000)),
        )
        try:
            answer = await self._transport.request(
                host, message, timeout_s=remaining_s, bulk=True
            )
        except errors.PeerUnreachable:
            detail = f'origin {host!r} is unreachable'
            return self._refuse(
                call, 'origin-unreachable', 503, detail, resend_retry_ms=200
            )
        except errors.PeerError as exc:
            # The origin may have dispatched the call, even on a first send.
            return _unknown('forward-lost', 504, str(exc), 100)
        if isinstance(answer, wire.CallAnswer):
            if answer.answer is not None:
                return result.Success(answer.answer)
            if answer.refusal is not None:
                return result.Failure(answer.refusal)
        return _unknown('forward-lost', 504, 'no outcome came back', 100)

    async def _on_forward(
        self, sender: str, message: wire.CallForward
    ) -> wire.Message | None:
        if message.purpose != 'origin':
            if self._spill is None:
                return None
            return await self._spill(sender, message)
        deadline_s = self._clock.monotonic() + message.remaining_ms / 1000
        call = msgspec.structs.replace(message.call, deadline_s=deadline_s)
        if self._run is None:
            return None
        outcome = await self._execute(call, self._run, forwarded=True)
        if isinstance(outcome, result.Success):
            return wire.CallAnswer(answer=outcome.unwrap())
        return wire.CallAnswer(refusal=outcome.failure())

    async def _drain_pending(self, timeout_s: float) -> None:
        if self._tasks:
            timer = asyncio.ensure_future(self._clock.sleep(timeout_s))
            drained = asyncio.ensure_future(asyncio.wait(set(self._tasks)))
            await asyncio.wait(
                {timer, drained}, return_when=asyncio.FIRST_COMPLETED
            )
            timer.cancel()
            drained.cancel()
        await self._cancel_tasks()
        for entry in self.record:
            self._finish_entry(entry, _DISPATCH_LOST)

    async def _cancel_tasks(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            # A dispatch that ignores its cancellation must not block the stop.
            await asyncio.wait(tasks, timeout=_CANCEL_TIMEOUT_S)

    def _refuse(
        self,
        call: calls.Call,
        reason: str,
        status: int,
        detail: str = '',
        *,
        first_retry_ms: int = 0,
        resend_retry_ms: int = -1,
    ) -> records.Outcome:
        """Refuses a send that creates no entry in the record.

        The outcome is `not-run` for a first send, since no other send can have
        run the key, and `unknown` for a resend: an earlier send may have run
        it, or may still arrive and run it.

        Args:
            call: The refused call.
            reason: Short fixed word.
            status: HTTP status.
            detail: One sentence for people.
            first_retry_ms: Milliseconds after which a first send may be
                repeated; -1 for never.
            resend_retry_ms: Milliseconds after which a resend may get another
                outcome; -1 for never.
        """
        if not call.first_send:
            return _unknown(reason, status, detail, resend_retry_ms)
        return result.Failure(
            calls.Refusal(
                outcome=calls.Outcome.NOT_RUN,
                reason=reason,
                step=_STEP,
                status=status,
                detail=detail,
                retry_after_ms=first_retry_ms,
                addresses=(
                    self._addresses(call) if first_retry_ms >= 0 else None
                ),
            )
        )

    def _origin_gone(self, call: calls.Call, detail: str) -> records.Outcome:
        # The successor announces itself every second, so a later resend may be
        # forwarded to it.
        return self._refuse(
            call, 'origin-gone', 503, detail, resend_retry_ms=500
        )

    def _not_run(self, call: calls.Call, reason: str) -> records.Outcome:
        """Refuses a key that will never run under the token of this call."""
        return result.Failure(
            calls.Refusal(
                outcome=calls.Outcome.NOT_RUN,
                reason=reason,
                step=_STEP,
                status=503,
                retry_after_ms=0,
                addresses=self._addresses(call),
            )
        )

    def _key_reused(self) -> records.Outcome:
        # The refused request did not run, but the key may have run with another
        # request: `not-run` would let the caller send it to another origin.
        return _unknown(
            'key-reused', 422, 'the key belongs to a different request'
        )


def _unknown(
    reason: str, status: int, detail: str = '', retry_after_ms: int = -1
) -> result.Failure[calls.Refusal]:
    return result.Failure(
        calls.Refusal(
            outcome=calls.Outcome.UNKNOWN,
            reason=reason,
            step=_STEP,
            status=status,
            detail=detail,
            retry_after_ms=retry_after_ms,
        )
    )


_DISPATCH_LOST = _unknown(
    'dispatch-lost', 504, 'the dispatch ended without an outcome'
)


def _is_valid_key(key: str) -> bool:
    return len(key) <= MAX_KEY_CHARS and key.isascii() and key.isprintable()


def _may_run_again(
    entry: record_lib.Entry, token: tokens_lib.OriginToken
) -> bool:
    """Returns whether a key that did not run may be run under a token.

    A key may run only under a token that was not refused for it before. After
    such a refusal the caller may have sent the key to another origin, so a late
    send under the refused token must not run it.

    Args:
        entry: Entry of the key.
        token: Token of the current send.
    """
    return entry.state is record_lib.State.NOT_RUN and not entry.has_token(
        token.token_id
    )
