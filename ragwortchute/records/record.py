"""In-memory record of the request keys that are bound to one origin."""

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

# Memory charged for an entry besides its name and its encoded answer. It must
# not be lower than what is allocated, which benchmarks/records.py measures.
ENTRY_BYTES = 480
_EXTRA_TOKEN_BYTES = 48

_ENCODER = msgspec.msgpack.Encoder()
_ANSWER_DECODER = msgspec.msgpack.Decoder(calls.Answer)
_REFUSAL_DECODER = msgspec.msgpack.Decoder(calls.Refusal)


class State(enum.StrEnum):
    """What the origin knows about the execution of a key.

    Attributes:
        PENDING: The dispatch is running.
        NOT_RUN: The dispatch was refused; the request did not run.
        RAN: The request ran and its answer is recorded.
        RAN_NO_ANSWER: The request ran, but its answer is not recorded.
        UNKNOWN: The request may or may not have run.
    """

    PENDING = 'pending'
    NOT_RUN = 'not-run'
    RAN = 'ran'
    RAN_NO_ANSWER = 'ran-no-answer'
    UNKNOWN = 'unknown'


class Entry(msgspec.Struct, eq=False):
    """Execution state of one request key.

    Attributes:
        name: Scope and key, as returned by `entry_name`.
        digest: Digest of the request, see `request_digest`.
        state: What is known about the execution.
        expires_at: Latest expiry of its tokens in wall-clock seconds.
        token_id: Id of the first token under which the key was sent.
        more_token_ids: Ids of further tokens under which it was sent.
        homes: Home regions of the request; empty means any.
        encoded: The recorded answer or refusal in MessagePack, or empty.
        waiters: Futures of the sends that wait for the outcome; empty unless
            the entry is pending.
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

    def has_token(self, token_id: int) -> bool:
        """Returns whether the key was already sent under a token."""
        return token_id == self.token_id or token_id in self.more_token_ids

    def answer(self) -> calls.Answer:
        """Returns the recorded answer; valid only in state `RAN`."""
        return _ANSWER_DECODER.decode(self.encoded)

    def refusal(self) -> calls.Refusal | None:
        """Returns the recorded refusal, or None if there is none."""
        if not self.encoded:
            return None
        return _REFUSAL_DECODER.decode(self.encoded)


class MemoryBudget:
    """Memory limit that all records of a host share.

    Attributes:
        limit_bytes: Largest number of bytes that may be reserved.
        used_bytes: Bytes reserved at present.
    """

    __slots__ = ('limit_bytes', 'used_bytes')

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def reserve(self, count: int) -> bool:
        """Reserves bytes.

        Returns:
            False if fewer than `count` bytes are free; then none is reserved.
        """
        if self.used_bytes + count > self.limit_bytes:
            return False
        self.used_bytes += count
        return True

    def release(self, count: int) -> None:
        """Releases reserved bytes."""
        self.used_bytes -= count


class Record:
    """Entries of the keys that are bound to one origin.

    An entry is evicted only after all its tokens have expired. The record
    remembers the highest expiry among evicted entries and tokens found
    expired, so that a wall clock that steps back does not make such a token
    valid again.

    Attributes:
        evicted_expiry: That highest expiry in wall-clock seconds. Tokens that
            expire at or before it stay expired.
    """

    __slots__ = ('_budget', '_clock', '_entries', '_expiry_buckets',
                 '_expiry_heap', 'evicted_expiry')  # fmt: skip

    def __init__(self, clock: clock_lib.Clock, budget: MemoryBudget) -> None:
        self._clock = clock
        self._budget = budget
        self._entries: dict[str, Entry] = {}
        self._expiry_buckets: dict[int, list[Entry]] = {}
        self._expiry_heap: list[int] = []
        self.evicted_expiry = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> abc.Iterator[Entry]:
        return iter(self._entries.values())

    def find(self, name: str) -> Entry | None:
        """Returns the entry of a key, or None.

        Args:
            name: Name of the entry, as returned by `entry_name`.
        """
        return self._entries.get(name)

    def expired(self, expires_at: float) -> bool:
        """Returns whether a token with this expiry can no longer run a key.

        A token found expired stays expired, even if the clock steps back.

        Args:
            expires_at: Expiry of the token in wall-clock seconds.
        """
        if expires_at <= self.evicted_expiry:
            return True
        if expires_at > self._clock.wall():
            return False
        self.evicted_expiry = expires_at
        return True

    def add(self, entry: Entry) -> bool:
        """Adds an entry after evicting the expired ones.

        Returns:
            False if the memory budget is exhausted.
        """
        self.evict()
        if not self._budget.reserve(_entry_bytes(entry)):
            return False
        self._entries[entry.name] = entry
        self._schedule(entry, entry.expires_at)
        return True

    def add_token(self, entry: Entry, token_id: int, expires_at: float) -> bool:
        """Adds a token under which a key was sent to its entry.

        Args:
            entry: Entry of the key.
            token_id: Id of the token.
            expires_at: Expiry of the token in wall-clock seconds.

        Returns:
            False if the entry holds `MAX_TOKENS_PER_KEY` tokens already or the
            memory budget is exhausted.
        """
        entry.expires_at = max(entry.expires_at, expires_at)
        if entry.has_token(token_id):
            return True
        if len(entry.more_token_ids) + 1 >= MAX_TOKENS_PER_KEY:
            return False
        if not self._budget.reserve(_EXTRA_TOKEN_BYTES):
            return False
        entry.more_token_ids += (token_id,)
        return True

    def reset_pending(self, entry: Entry) -> None:
        """Makes an entry in state `NOT_RUN` pending again."""
        self._budget.release(len(entry.encoded))
        entry.encoded = b''
        entry.state = State.PENDING

    def finish(self, entry: Entry, outcome: records.Outcome) -> None:
        """Records the outcome of a pending entry.

        An answer that is larger than `MAX_KEPT_BODY_BYTES`, or does not fit
        the memory budget, is dropped; the entry becomes `RAN_NO_ANSWER`.
        """
        if isinstance(outcome, result.Success):
            entry.state, encoded = _encode_answer(outcome.unwrap())
        else:
            entry.state, encoded = _encode_refusal(outcome.failure())
        if encoded and self._budget.reserve(len(encoded)):
            entry.encoded = encoded
        elif entry.state is State.RAN:
            entry.state = State.RAN_NO_ANSWER

    def evict(self) -> None:
        """Drops the entries whose tokens have all expired."""
        now_s = self._clock.wall()
        while self._expiry_heap and self._expiry_heap[0] <= now_s:
            due_s = heapq.heappop(self._expiry_heap)
            for entry in self._expiry_buckets.pop(due_s):
                self._evict_or_reschedule(entry, now_s)

    def clear(self) -> None:
        """Drops all entries and releases their memory."""
        for entry in self._entries.values():
            self._budget.release(_entry_bytes(entry))
        self._entries.clear()
        self._expiry_buckets.clear()
        self._expiry_heap.clear()

    def _evict_or_reschedule(self, entry: Entry, now_s: float) -> None:
        if entry.expires_at > now_s:
            self._schedule(entry, entry.expires_at)
        elif entry.state is State.PENDING:
            # The running dispatch still needs the entry: its outcome must be
            # recorded and its memory accounted for. Checked again in a second.
            self._schedule(entry, now_s + 1.0)
        else:
            del self._entries[entry.name]
            self._budget.release(_entry_bytes(entry))
            self.evicted_expiry = max(self.evicted_expiry, entry.expires_at)

    def _schedule(self, entry: Entry, at_s: float) -> None:
        due_s = math.floor(at_s) + 1
        bucket = self._expiry_buckets.get(due_s)
        if bucket is None:
            bucket = self._expiry_buckets[due_s] = []
            heapq.heappush(self._expiry_heap, due_s)
        bucket.append(entry)


def entry_name(call: calls.Call) -> str:
    """Returns the name of a call's entry: organisation, service and key."""
    return f'{call.tenant}\0{call.service}\0{call.key}'


def split_entry_name(name: str) -> tuple[str, str]:
    """Returns the scope (organisation and service) and the key of a name."""
    scope, _, key = name.rpartition('\0')
    return scope, key


def request_digest(call: calls.Call) -> bytes:
    """Returns a digest of the parts of a request that a resend must repeat.

    Headers for tracing and deadlines differ between resends, so `Content-Type`
    is the only header in the digest.
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
    """Returns an answer in the form of `Entry.encoded`."""
    return b'' if answer is None else _ENCODER.encode(answer)


def _entry_bytes(entry: Entry) -> int:
    return (
        ENTRY_BYTES
        + len(entry.name)
        + len(entry.encoded)
        + _EXTRA_TOKEN_BYTES * len(entry.more_token_ids)
    )


def _encode_answer(answer: calls.Answer) -> tuple[State, bytes]:
    head_bytes = sum(len(k) + len(v) for k, v in answer.headers)
    if len(answer.body) + head_bytes > MAX_KEPT_BODY_BYTES:
        return State.RAN_NO_ANSWER, b''
    return State.RAN, _ENCODER.encode(answer)


def _encode_refusal(refusal: calls.Refusal) -> tuple[State, bytes]:
    stored = msgspec.structs.replace(refusal, addresses=None)
    state = {
        calls.Outcome.NOT_RUN: State.NOT_RUN,
        calls.Outcome.UNKNOWN: State.UNKNOWN,
        calls.Outcome.RAN: State.RAN_NO_ANSWER,
    }[refusal.outcome]
    return state, _ENCODER.encode(stored)
