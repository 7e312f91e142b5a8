"""The request record of one origin, kept in memory."""

import asyncio
from collections import abc
import enum
import hashlib
import heapq
import math

import msgspec
from returns import result

from ragwortchute import calls
from ragwortchute import clock as clock_lib
from ragwortchute import records

MAX_KEPT_BODY_BYTES = 65536
MAX_TOKENS_PER_KEY = 8

# benchmarks/records.py measures the memory of an entry without an answer and
# without its name; the bound must not be lower than what is allocated.
ENTRY_BYTES = 480
_TOKEN_BYTES = 48

_ENCODER = msgspec.msgpack.Encoder()
_ANSWER_DECODER = msgspec.msgpack.Decoder(calls.Answer)
_REFUSAL_DECODER = msgspec.msgpack.Decoder(calls.Refusal)


class State(enum.StrEnum):
    """What is known of a key."""

    PENDING = 'pending'
    NOT_RUN = 'not-run'
    RAN = 'ran'
    RAN_NO_ANSWER = 'ran-no-answer'
    UNKNOWN = 'unknown'


class Entry(msgspec.Struct, eq=False):
    """What the origin knows of one key.

    Attributes:
        name: Scope and key, see `entry_name`.
        digest: Digest of the request.
        state: What is known of the key.
        expires_at: Latest expiry of its tokens, in wall-clock seconds.
        token_id: First token under which the key was sent.
        more_token_ids: Further tokens under which it was sent.
        homes: Home regions of the request.
        encoded: The recorded answer or refusal.
        waiters: Sends that wait for the outcome; empty unless pending.
    """

    name: str
    digest: bytes
    state: State
    expires_at: float
    token_id: int
    more_token_ids: tuple[int, ...] = ()
    homes: tuple[str, ...] = ()
    encoded: bytes = b''
    waiters: tuple[asyncio.Future[records.Outcome], ...] = ()

    def knows_token(self, token_id: int) -> bool:
        """Tells whether the key was already sent under a token."""
        return token_id == self.token_id or token_id in self.more_token_ids

    def answer(self) -> calls.Answer:
        """Returns the recorded answer; only in state `RAN`."""
        return _ANSWER_DECODER.decode(self.encoded)

    def refusal(self) -> calls.Refusal | None:
        """Returns the recorded refusal, or None if it was not kept."""
        if not self.encoded:
            return None
        return _REFUSAL_DECODER.decode(self.encoded)


class MemoryBudget:
    """Bytes that all records of a host may take together.

    Attributes:
        limit_bytes: Upper bound.
        used_bytes: Bytes taken.
    """

    __slots__ = ('limit_bytes', 'used_bytes')

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def take(self, count: int) -> bool:
        """Takes bytes if they are free."""
        if self.used_bytes + count > self.limit_bytes:
            return False
        self.used_bytes += count
        return True

    def give(self, count: int) -> None:
        """Returns bytes."""
        self.used_bytes -= count


class Record:
    """Entries of the keys that are bound to one origin.

    An entry leaves only when its tokens have expired. The highest expiry
    that was evicted or seen as expired is kept, so that a wall clock that
    steps back does not make such a token valid again.

    Attributes:
        evicted_expiry: Tokens that expire at or before this wall-clock second
            are expired for good.
    """

    __slots__ = ('_budget', '_clock', '_due', '_due_heap', '_entries',
                 'evicted_expiry')  # fmt: skip

    def __init__(self, clock: clock_lib.Clock, budget: MemoryBudget) -> None:
        self._clock = clock
        self._budget = budget
        self._entries: dict[str, Entry] = {}
        self._due: dict[int, list[Entry]] = {}
        self._due_heap: list[int] = []
        self.evicted_expiry = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> abc.Iterator[Entry]:
        return iter(self._entries.values())

    def find(self, name: str) -> Entry | None:
        """Returns the entry of a key."""
        return self._entries.get(name)

    def expired(self, expires_at: float) -> bool:
        """Tells whether a token with this expiry runs nothing any more."""
        if expires_at <= self.evicted_expiry:
            return True
        if expires_at > self._clock.wall():
            return False
        self.evicted_expiry = expires_at
        return True

    def add(self, entry: Entry) -> bool:
        """Adds an entry, or returns False if the record is full."""
        self.evict()
        if not self._budget.take(_cost(entry)):
            return False
        self._entries[entry.name] = entry
        self._schedule(entry, entry.expires_at)
        return True

    def bind(self, entry: Entry, token_id: int, expires_at: float) -> bool:
        """Notes a further token under which a key was sent.

        Returns:
            False if the entry can't hold another token.
        """
        entry.expires_at = max(entry.expires_at, expires_at)
        if entry.knows_token(token_id):
            return True
        if len(entry.more_token_ids) + 1 >= MAX_TOKENS_PER_KEY:
            return False
        if not self._budget.take(_TOKEN_BYTES):
            return False
        entry.more_token_ids += (token_id,)
        return True

    def restart(self, entry: Entry) -> None:
        """Makes an entry in state `NOT_RUN` pending again."""
        self._budget.give(len(entry.encoded))
        entry.encoded = b''
        entry.state = State.PENDING

    def finish(self, entry: Entry, outcome: records.Outcome) -> None:
        """Records how a pending call ended."""
        if isinstance(outcome, result.Success):
            entry.state, encoded = _encode_answer(outcome.unwrap())
        else:
            entry.state, encoded = _encode_refusal(outcome.failure())
        if encoded and self._budget.take(len(encoded)):
            entry.encoded = encoded
        elif entry.state is State.RAN:
            entry.state = State.RAN_NO_ANSWER

    def evict(self) -> None:
        """Drops the entries whose tokens have expired."""
        now_s = self._clock.wall()
        while self._due_heap and self._due_heap[0] <= now_s:
            second = heapq.heappop(self._due_heap)
            for entry in self._due.pop(second):
                self._evict_or_keep(entry, now_s)

    def clear(self) -> None:
        """Drops all entries and returns their memory."""
        for entry in self._entries.values():
            self._budget.give(_cost(entry))
        self._entries.clear()
        self._due.clear()
        self._due_heap.clear()

    def _evict_or_keep(self, entry: Entry, now_s: float) -> None:
        if entry.expires_at > now_s:
            self._schedule(entry, entry.expires_at)
        elif entry.state is State.PENDING:
            # Its outcome must still be recorded and counted.
            self._schedule(entry, now_s + 1.0)
        else:
            del self._entries[entry.name]
            self._budget.give(_cost(entry))
            self.evicted_expiry = max(self.evicted_expiry, entry.expires_at)

    def _schedule(self, entry: Entry, at_s: float) -> None:
        second = math.floor(at_s) + 1
        bucket = self._due.get(second)
        if bucket is None:
            bucket = self._due[second] = []
            heapq.heappush(self._due_heap, second)
        bucket.append(entry)


def entry_name(call: calls.Call) -> str:
    """Returns the name of a call's entry: tenant, service and key."""
    return f'{call.tenant}\0{call.service}\0{call.key}'


def split_name(name: str) -> tuple[str, str]:
    """Returns scope and key of an entry's name."""
    scope, _, key = name.rpartition('\0')
    return scope, key


def request_digest(call: calls.Call) -> bytes:
    """Returns a digest of what must be equal in a resend.

    Headers differ between resends (tracing, deadlines), so of them only the
    content type counts.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (
        call.service.encode(),
        call.method.encode(),
        call.path.encode(),
        calls.header(call.headers, 'content-type').encode(),
        call.body,
    ):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()


def encode(answer: calls.Answer | None) -> bytes:
    """Returns an answer as kept in `Entry.encoded`."""
    return b'' if answer is None else _ENCODER.encode(answer)


def _cost(entry: Entry) -> int:
    return (
        ENTRY_BYTES
        + len(entry.name)
        + len(entry.encoded)
        + _TOKEN_BYTES * len(entry.more_token_ids)
    )


def _encode_answer(answer: calls.Answer) -> tuple[State, bytes]:
    head_bytes = sum(len(k) + len(v) for k, v in answer.headers)
    if len(answer.body) + head_bytes > MAX_KEPT_BODY_BYTES:
        return State.RAN_NO_ANSWER, b''
    return State.RAN, _ENCODER.encode(answer)


def _encode_refusal(refusal: calls.Refusal) -> tuple[State, bytes]:
    kept = msgspec.structs.replace(refusal, addresses=None)
    state = {
        calls.Outcome.NOT_RUN: State.NOT_RUN,
        calls.Outcome.UNKNOWN: State.UNKNOWN,
        calls.Outcome.RAN: State.RAN_NO_ANSWER,
    }[refusal.outcome]
    return state, _ENCODER.encode(kept)
