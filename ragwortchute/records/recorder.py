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
# Each resend holds a connection; a caller has one or two open at a time.
MAX_WAITING = 16

_STEP = 'record'
_CANCEL_S = 1.0

Addresses = abc.Callable[[calls.Call], calls.AddressAnswer | None]
Spill = abc.Callable[
    [str, wire.CallForward], abc.Awaitable[wire.Message | None]
]


class OriginRecorder(records.Recorder):
    """Runs each key on its origin only and answers resends from the record.

    Args:
        clock: Source of time.
        transport: Carries forwarded calls and hand-overs.
        membership: This host and the hosts it may hand over to.
        tokens: Reads origin tokens.
        record_bytes: Memory for the record and adopted records, in bytes.
        addresses: Returns new addresses for a refused call.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        transport: peers.Transport,
        membership: membership_lib.Membership,
        tokens: tokens_lib.TokenMint,
        record_bytes: int,
        addresses: Addresses | None = None,
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
        self._frozen = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._run: records.Run | None = None
        self._spill: Spill | None = None

    def start(self, run: records.Run, spill: Spill | None = None) -> None:
        """Begins to take messages.

        Args:
            run: Dispatches calls that other hosts forward to this origin.
            spill: Handles forwarded calls with purpose `spill`.
        """
        self._run = run
        self._spill = spill
        self._transport.on(wire.CallForward, self._on_forward)
        self._handover.start()

    async def execute(
        self, call: calls.Call, run: records.Run
    ) -> records.Outcome:
        """Runs a call, or answers from the record, or asks the origin.

        A call without a key is run directly: nobody can resend it. The
        dispatch of a call with a key goes on until its own deadline when the
        caller is cancelled, so that a resend finds the answer.
        """
        if not call.key:
            return await run(call)
        return await self._execute(call, run, forwarded=False)

    async def hand_over(self, timeout_s: float) -> bool:
        """Ends dispatching and hands the record to a successor.

        Called in a planned stop, after calls were drained. Calls that are
        still pending get half of the time, then they are cancelled.

        Returns:
            False if no successor has the whole record.
        """
        end_s = self._clock.monotonic() + timeout_s
        self._frozen = True
        await self._end_pending(timeout_s / 2)
        return await self._handover.send_all(end_s)

    async def close(self) -> None:
        """Cancels what still runs; their entries become `unknown`."""
        self._frozen = True
        await self._cancel_tasks()
        await self._handover.close()

    def dump(self) -> dict[str, object]:
        """Returns the number of entries by state, without their content."""
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
        if not _key_allowed(call.key):
            detail = f'the key must have 1 to {MAX_KEY_CHARS} printable ASCII'
            return self._refuse(call, 'bad-key', 400, detail, first_retry_ms=-1)
        if call.homes and self._me.region not in call.homes:
            detail = f'region {self._me.region!r} is not a home region'
            return self._refuse(
                call, 'home-regions', 421, detail, resend_retry_ms=0
            )
        if not call.origin_token:
            return await self._without_token(call)
        parsed = self._tokens.parse(call.origin_token)
        if isinstance(parsed, result.Failure):
            detail = f'the origin token is {parsed.failure()}'
            return self._refuse(call, 'bad-token', 400, detail)
        token = parsed.unwrap()
        if token.origin == (self._me.host, self._me.incarnation):
            return await self._at_origin(call, token, run)
        adopted = self._handover.adopted(token.origin)
        if adopted is not None:
            return self._from_adopted(call, token, adopted)
        if forwarded:
            detail = f'host {token.host!r} has no record of this origin'
            return self._origin_gone(call, detail)
        return await self._forward(call, token)

    async def _without_token(self, call: calls.Call) -> records.Outcome:
        # Running it here would bind the key to this host without a token, and
        # a resend with a token of another host would run it a second time.
        entry = self.record.find(record_lib.entry_name(call))
        if entry is None:
            detail = 'a request key needs an origin token; query the addresses'
            return self._refuse(call, 'no-origin-token', 428, detail)
        if entry.digest != record_lib.request_digest(call):
            return self._other_request()
        return await self._recorded(entry, call)

    async def _at_origin(
        self, call: calls.Call, token: tokens_lib.OriginToken, run: records.Run
    ) -> records.Outcome:
        name = record_lib.entry_name(call)
        digest = record_lib.request_digest(call)
        entry = self.record.find(name)
        if entry is not None and entry.digest != digest:
            return self._other_request()
        if entry is not None and not _may_run_again(entry, token):
            bound = self.record.bind(entry, token.token_id, token.expires_at)
            if not bound and entry.state is record_lib.State.PENDING:
                # If it ends in `not-run`, this token could run it again.
                return _unknown('too-many-tokens', 503, retry_after_ms=100)
            return await self._recorded(entry, call)
        refusal = self._check_new(call, token)
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
            added = self.record.bind(entry, token.token_id, token.expires_at)
            if added:
                self.record.restart(entry)
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
        return await self._start_run(entry, call, run)

    def _check_new(
        self, call: calls.Call, token: tokens_lib.OriginToken
    ) -> records.Outcome | None:
        """Returns the refusal of a key that must not be dispatched now."""
        if self.record.expired(token.expires_at):
            return self._refuse(call, 'token-expired', 503)
        if self._frozen:
            # This process dispatches no key any more, so this holds for all
            # sends of the key.
            return self._not_run(call, 'leaving')
        if self._clock.monotonic() >= call.deadline_s:
            return self._refuse(call, 'deadline', 504, first_retry_ms=-1)
        return None

    async def _start_run(
        self, entry: record_lib.Entry, call: calls.Call, run: records.Run
    ) -> records.Outcome:
        loop = asyncio.get_running_loop()
        done = loop.create_future()
        entry.waiters = (done,)
        task = loop.create_task(self._complete(entry, call, run))
        self._tasks.add(task)
        task.add_done_callback(functools.partial(self._ended, entry))
        # The dispatch is a task of its own, so it goes on if the caller is
        # cancelled here.
        return await done

    def _ended(self, entry: record_lib.Entry, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            # It may have been cancelled before its first step. In other cases
            # the entry may already be pending under a later token.
            self._finish(entry, _LOST)

    async def _complete(
        self, entry: record_lib.Entry, call: calls.Call, run: records.Run
    ) -> None:
        outcome = _LOST
        try:
            outcome = await run(call)
        except Exception:
            logging.exception('records: dispatch failed, call=%s', call.call_id)
        finally:
            self._finish(entry, outcome)

    def _finish(
        self, entry: record_lib.Entry, outcome: records.Outcome
    ) -> None:
        if entry.state is not record_lib.State.PENDING:
            return
        self.record.finish(entry, outcome)
        for done in entry.waiters:
            if not done.done():
                done.set_result(outcome)
        entry.waiters = ()

    async def _recorded(
        self, entry: record_lib.Entry, call: calls.Call
    ) -> records.Outcome:
        if entry.state is not record_lib.State.PENDING:
            return self._replay(entry, call)
        if len(entry.waiters) > MAX_WAITING:
            return _unknown('too-many-resends', 503, retry_after_ms=100)
        done = asyncio.get_running_loop().create_future()
        entry.waiters += (done,)
        left_s = call.deadline_s - self._clock.monotonic()
        timer = asyncio.ensure_future(self._clock.sleep(left_s))
        try:
            await asyncio.wait(
                {done, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()
            entry.waiters = tuple(w for w in entry.waiters if w is not done)
        if done.done():
            return done.result()
        return _unknown('pending', 504, retry_after_ms=100)

    def _from_adopted(
        self,
        call: calls.Call,
        token: tokens_lib.OriginToken,
        adopted: record_lib.Record,
    ) -> records.Outcome:
        entry = adopted.find(record_lib.entry_name(call))
        if entry is not None:
            if entry.digest != record_lib.request_digest(call):
                return self._other_request()
            return self._replay(entry, call)
        if adopted.expired(token.expires_at):
            return self._refuse(call, 'token-expired', 503)
        # The origin ended dispatching before it handed over, so a key that
        # is not in its record was not and will not be dispatched.
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

    async def _forward(
        self, call: calls.Call, token: tokens_lib.OriginToken
    ) -> records.Outcome:
        if call.homes and token.region not in call.homes:
            detail = f'the origin is in region {token.region!r}'
            return self._refuse(call, 'home-regions', 421, detail)
        host = self._handover.successor(token.origin) or token.host
        if host == self._me.host:
            return self._origin_gone(call, 'this host was restarted')
        left_s = call.deadline_s - self._clock.monotonic()
        if left_s <= 0:
            return self._refuse(call, 'deadline', 504, first_retry_ms=-1)
        message = wire.CallForward(
            call=msgspec.structs.replace(call, deadline_s=0.0),
            remaining_ms=max(1, int(left_s * 1000)),
        )
        try:
            answer = await self._transport.request(
                host, message, timeout_s=left_s, bulk=True
            )
        except errors.PeerUnreachable:
            detail = f'origin {host!r} is unreachable'
            return self._refuse(
                call, 'origin-unreachable', 503, detail, resend_retry_ms=200
            )
        except errors.PeerError as exc:
            # The origin may have dispatched it, even for a first send.
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

    async def _end_pending(self, timeout_s: float) -> None:
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
            self._finish(entry, _LOST)

    async def _cancel_tasks(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            # A dispatch that ignores cancellation must not hold up the stop.
            await asyncio.wait(tasks, timeout=_CANCEL_S)

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
        """Refuses a send that leaves no trace in the record.

        For a first send, nothing else can have run the key. For a resend an
        earlier send may have run, or may still arrive and run.

        Args:
            call: The refused call.
            reason: Short fixed word.
            status: HTTP status.
            detail: One sentence for people.
            first_retry_ms: When a first send may be repeated; -1 for never.
            resend_retry_ms: When another resend may tell more; -1 for never.
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
        # A successor repeats its notice every second.
        return self._refuse(
            call, 'origin-gone', 503, detail, resend_retry_ms=500
        )

    def _not_run(self, call: calls.Call, reason: str) -> records.Outcome:
        """Refuses a key that no send under this token will ever run."""
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

    def _other_request(self) -> records.Outcome:
        # The refused request did not run, but its key may have: `not-run`
        # would allow the caller to send the key to another origin.
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


_LOST = _unknown('dispatch-lost', 504, 'the dispatch ended without an outcome')


def _key_allowed(key: str) -> bool:
    return len(key) <= MAX_KEY_CHARS and key.isascii() and key.isprintable()


def _may_run_again(
    entry: record_lib.Entry, token: tokens_lib.OriginToken
) -> bool:
    """Tells whether a refused key is sent again under a new token.

    Under a token that was refused before, a late send must not run: its
    caller may already have sent the key to another origin.
    """
    return entry.state is record_lib.State.NOT_RUN and not entry.knows_token(
        token.token_id
    )
