"""Hand-over of request records at a planned stop."""

import asyncio
from collections import abc
import contextlib
import secrets

from absl import logging
import msgspec

from ragwortchute import clock as clock_lib
from ragwortchute import errors
from ragwortchute import membership as membership_lib
from ragwortchute import peers
from ragwortchute import wire
from ragwortchute.records import record as record_lib

# A part shares the bulk connection with forwarded calls of up to 1 MiB.
PART_BYTES = 262144
PART_ENTRIES = 1000

_PART_TIMEOUT_S = 2.0
_PART_ATTEMPTS = 3
_ANNOUNCE_INTERVAL_S = 1.0
# Expired tokens are refused anyway; twice their life covers skewed clocks.
_KEEP_LIFETIMES = 2
_MAX_SUCCESSORS = 4096

Origin = tuple[str, int]


class _Adopted(msgspec.Struct, eq=False):
    """A record received from a stopped origin.

    Attributes:
        record: The entries received so far.
        transfer_id: The transfer whose parts are counted.
        next_part: Number of the next part of that transfer.
        complete: True once all parts of one transfer have arrived.
        received_s: When the last part arrived, in monotonic seconds.
        told: Processes that were told where the record is.
    """

    record: record_lib.Record
    transfer_id: int = 0
    next_part: int = 0
    complete: bool = False
    received_s: float = 0.0
    told: set[Origin] = msgspec.field(default_factory=set)


class _Successor(msgspec.Struct):
    host: str
    learned_s: float


class Handover:
    """Sends the records of this host, and keeps those of stopped origins.

    An adopted record answers only once all parts of one transfer have
    arrived: absence from a partial record proves nothing.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        transport: peers.Transport,
        membership: membership_lib.Membership,
        budget: record_lib.MemoryBudget,
        record: record_lib.Record,
        token_lifetime_s: float,
    ) -> None:
        self._clock = clock
        self._transport = transport
        self._membership = membership
        self._me = membership.me
        self._budget = budget
        self._record = record
        self._keep_s = _KEEP_LIFETIMES * token_lifetime_s
        self._adopted: dict[Origin, _Adopted] = {}
        self._successors: dict[Origin, _Successor] = {}
        self._sending = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begins to take messages and to announce adopted records."""
        self._transport.on(wire.RecordHandover, self._on_handover)
        self._transport.on(wire.Leaving, self._on_leaving)
        self._task = asyncio.create_task(self._announce_adopted())

    async def close(self) -> None:
        """Ends the announcements."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait({self._task})

    def adopted(self, origin: Origin) -> record_lib.Record | None:
        """Returns the complete record of a stopped origin."""
        self._prune()
        adopted = self._adopted.get(origin)
        if adopted is None or not adopted.complete:
            return None
        adopted.record.evict()
        return adopted.record

    def successor(self, origin: Origin) -> str:
        """Returns the host that answers for a stopped origin, or ''."""
        known = self._successors.get(origin)
        return known.host if known is not None else ''

    async def send_all(self, end_s: float) -> bool:
        """Sends all records to one successor and announces it.

        Args:
            end_s: Monotonic time at which to give up.
        """
        self._sending = True
        self._prune()
        records = {(self._me.host, self._me.incarnation): self._record}
        for origin, adopted in self._adopted.items():
            if adopted.complete:
                records[origin] = adopted.record
        for member in self._candidates():
            if await self._send_to(member, records, end_s):
                await self._announce(member, records)
                return True
        logging.warning('records: no successor took the record')
        return False

    def _candidates(self) -> list[wire.Member]:
        # The region must be equal: homes allow it for each entry then.
        return [
            member
            for member in self._membership.live_members()
            if member.region == self._me.region and member.host != self._me.host
        ]

    async def _send_to(
        self,
        member: wire.Member,
        records: dict[Origin, record_lib.Record],
        end_s: float,
    ) -> bool:
        for origin, record in records.items():
            for message in _parts(origin, record):
                if not await self._send_part(member.host, message, end_s):
                    return False
        logging.info(
            'records: handed over, successor=%s records=%d entries=%d',
            member.host,
            len(records),
            sum(len(record) for record in records.values()),
        )
        return True

    async def _send_part(
        self, host: str, message: wire.RecordHandover, end_s: float
    ) -> bool:
        for _ in range(_PART_ATTEMPTS):
            left_s = end_s - self._clock.monotonic()
            if left_s <= 0:
                return False
            try:
                answer = await self._transport.request(
                    host,
                    message,
                    timeout_s=min(left_s, _PART_TIMEOUT_S),
                    bulk=True,
                )
            except errors.PeerTimeout:
                # The receiver takes a part twice without harm.
                continue
            except errors.PeerError as exc:
                logging.warning('records: hand-over failed: %s', exc)
                return False
            return isinstance(answer, wire.Done) and answer.accepted
        return False

    async def _announce(
        self, member: wire.Member, origins: abc.Iterable[Origin]
    ) -> None:
        notices = [
            wire.Leaving(
                host=host,
                incarnation=incarnation,
                successor=member.host,
                successor_incarnation=member.incarnation,
            )
            for host, incarnation in origins
        ]
        await asyncio.gather(
            *(
                self._notify(other.host, notices)
                for other in self._membership.live_members()
                if other.host != self._me.host
            )
        )

    async def _notify(
        self, host: str, notices: abc.Sequence[wire.Leaving]
    ) -> None:
        try:
            for notice in notices:
                await self._transport.send(host, notice)
        except errors.PeerError as exc:
            logging.info('records: host not told of the successor: %s', exc)

    async def _announce_adopted(self) -> None:
        # The origin is gone after its own notices, so the successor tells
        # hosts that missed them, joined later or restarted.
        while True:
            await self._clock.sleep(_ANNOUNCE_INTERVAL_S)
            self._prune()
            for origin, adopted in list(self._adopted.items()):
                if adopted.complete and not self._sending:
                    await self._tell_hosts(origin, adopted)

    async def _tell_hosts(self, origin: Origin, adopted: _Adopted) -> None:
        notice = wire.Leaving(
            host=origin[0],
            incarnation=origin[1],
            successor=self._me.host,
            successor_incarnation=self._me.incarnation,
        )
        for other in self._membership.live_members():
            process = (other.host, other.incarnation)
            if process in adopted.told or other.host == self._me.host:
                continue
            with contextlib.suppress(errors.PeerError):
                await self._transport.send(other.host, notice)
                adopted.told.add(process)

    async def _on_handover(
        self, sender: str, message: wire.RecordHandover
    ) -> wire.Done:
        origin = (message.host, message.incarnation)
        if self._sending or message.host == self._me.host:
            return wire.Done(accepted=False)
        if any(
            entry.homes and self._me.region not in entry.homes
            for entry in message.entries
        ):
            logging.error('records: hand-over outside homes, from=%s', sender)
            return wire.Done(accepted=False)
        self._prune()
        adopted = self._adopted.get(origin)
        if adopted is None:
            record = record_lib.Record(self._clock, self._budget)
            adopted = self._adopted[origin] = _Adopted(record)
        return wire.Done(accepted=self._take_part(origin, adopted, message))

    def _take_part(
        self, origin: Origin, adopted: _Adopted, message: wire.RecordHandover
    ) -> bool:
        if message.transfer_id != adopted.transfer_id:
            if message.part != 0:
                return False
            adopted.transfer_id = message.transfer_id
            adopted.next_part = 0
        if message.part > adopted.next_part:
            return False
        adopted.received_s = self._clock.monotonic()
        if message.part < adopted.next_part:
            return True
        if not _merge(adopted.record, message.entries):
            logging.warning('records: no room for hand-over, from=%s', origin)
            adopted.record.clear()
            del self._adopted[origin]
            return False
        adopted.record.evicted_expiry = max(
            adopted.record.evicted_expiry, message.evicted_expiry
        )
        adopted.next_part += 1
        adopted.complete = adopted.complete or message.last
        return True

    async def _on_leaving(self, sender: str, message: wire.Leaving) -> None:
        origin = (message.host, message.incarnation)
        self._successors.pop(origin, None)
        self._successors[origin] = _Successor(
            message.successor, self._clock.monotonic()
        )
        while len(self._successors) > _MAX_SUCCESSORS:
            del self._successors[next(iter(self._successors))]
        self._prune()

    def _prune(self) -> None:
        oldest_s = self._clock.monotonic() - self._keep_s
        for origin, adopted in list(self._adopted.items()):
            if adopted.received_s and adopted.received_s < oldest_s:
                adopted.record.clear()
                del self._adopted[origin]
        while self._successors:
            origin, known = next(iter(self._successors.items()))
            if known.learned_s >= oldest_s:
                break
            del self._successors[origin]


def _parts(
    origin: Origin, record: record_lib.Record
) -> abc.Iterator[wire.RecordHandover]:
    """Cuts a record into messages of bounded size."""
    host, incarnation = origin
    record.evict()
    evicted_expiry = record.evicted_expiry
    transfer_id = secrets.randbits(62) + 1
    cuts = _cut(list(record))
    for number, entries in enumerate(cuts):
        yield wire.RecordHandover(
            host=host,
            incarnation=incarnation,
            entries=tuple(_to_wire(entry) for entry in entries),
            last=number == len(cuts) - 1,
            evicted_expiry=evicted_expiry,
            transfer_id=transfer_id,
            part=number,
        )


def _cut(
    entries: abc.Sequence[record_lib.Entry],
) -> list[list[record_lib.Entry]]:
    cuts: list[list[record_lib.Entry]] = [[]]
    size_bytes = 0
    for entry in entries:
        entry_bytes = len(entry.encoded) + len(entry.name)
        full = size_bytes + entry_bytes > PART_BYTES
        if cuts[-1] and (full or len(cuts[-1]) >= PART_ENTRIES):
            cuts.append([])
            size_bytes = 0
        cuts[-1].append(entry)
        size_bytes += entry_bytes
    return cuts


def _to_wire(entry: record_lib.Entry) -> wire.RecordEntry:
    scope, key = record_lib.split_name(entry.name)
    ran = entry.state is record_lib.State.RAN
    return wire.RecordEntry(
        scope=scope,
        key=key,
        digest=entry.digest,
        state=entry.state.value,
        expires_at=entry.expires_at,
        homes=entry.homes,
        answer=entry.answer() if ran else None,
    )


def _merge(
    record: record_lib.Record, entries: abc.Iterable[wire.RecordEntry]
) -> bool:
    """Adds entries to an adopted record; returns False if it is full."""
    for item in entries:
        name = f'{item.scope}\0{item.key}'
        if record.find(name) is not None:
            continue
        entry = record_lib.Entry(
            name=name,
            digest=item.digest,
            state=record_lib.State(item.state),
            expires_at=item.expires_at,
            token_id=0,
            homes=item.homes,
            encoded=record_lib.encode(item.answer),
        )
        if not record.add(entry):
            return False
    return True
