"""Handover of request records to another host at a planned stop."""

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

# Parts share the bulk connection with forwarded calls of up to 1 MiB.
PART_BYTES = 262144
PART_ENTRIES = 1000

_PART_TIMEOUT_S = 2.0
_PART_ATTEMPTS = 3
_ANNOUNCE_INTERVAL_S = 1.0
# Records are needed only while their tokens are valid, since expired tokens are
# refused anyway. Twice the token lifetime allows for clock skew.
_RETENTION_LIFETIMES = 2
_MAX_SUCCESSORS = 4096

Origin = tuple[str, int]


class _ReceivedRecord(msgspec.Struct, eq=False):
    """A record that a stopped origin handed over to this host.

    Attributes:
        record: The entries received so far.
        transfer_id: Id of the transfer that `next_part` belongs to.
        next_part: Number of the next expected part of that transfer.
        complete: Whether all parts of one transfer have arrived.
        last_part_s: Monotonic time at which the latest part arrived.
        notified: Processes that were sent the notice of this successor.
    """

    record: record_lib.Record
    transfer_id: int = 0
    next_part: int = 0
    complete: bool = False
    last_part_s: float = 0.0
    notified: set[Origin] = msgspec.field(default_factory=set)


class _Successor(msgspec.Struct):
    """The host that holds the record of a stopped origin.

    Attributes:
        host: Name of that host.
        learned_s: Monotonic time at which the notice arrived.
    """

    host: str
    learned_s: float


class Handover:
    """Hands over the records of this host and receives those of others.

    A received record is used only after all parts of one transfer have
    arrived: a key that is missing from a partial record may still have run.

    Args:
        clock: Clock for timeouts and retention.
        transport: Carries the parts and the notices of successors.
        membership: This host and the hosts it may hand over to.
        budget: Memory limit that received records share with `record`.
        record: The record of this host.
        token_lifetime_s: Lifetime of origin tokens in seconds.
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
        self._retention_s = _RETENTION_LIFETIMES * token_lifetime_s
        self._received: dict[Origin, _ReceivedRecord] = {}
        self._successors: dict[Origin, _Successor] = {}
        self._sending = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts receiving messages and announcing received records."""
        self._transport.on(wire.RecordHandover, self._on_handover)
        self._transport.on(wire.Leaving, self._on_leaving)
        self._task = asyncio.create_task(self._announce_received())

    async def close(self) -> None:
        """Stops the announcements."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait({self._task})

    def received_record(self, origin: Origin) -> record_lib.Record | None:
        """Returns the record received from an origin, or None if incomplete."""
        self._prune()
        received = self._received.get(origin)
        if received is None or not received.complete:
            return None
        received.record.evict()
        return received.record

    def successor(self, origin: Origin) -> str:
        """Returns the host that holds the record of an origin, or ''."""
        successor = self._successors.get(origin)
        return successor.host if successor is not None else ''

    async def send_all(self, deadline_s: float) -> bool:
        """Sends all complete records to one successor and announces it.

        Args:
            deadline_s: Monotonic time at which to give up.

        Returns:
            False if no host accepted all the records.
        """
        self._sending = True
        self._prune()
        records = {(self._me.host, self._me.incarnation): self._record}
        for origin, received in self._received.items():
            if received.complete:
                records[origin] = received.record
        for member in self._find_candidates():
            if await self._send_records(member, records, deadline_s):
                await self._announce(member, records)
                return True
        logging.warning(
            'records: handover failed: no host accepted the records'
        )
        return False

    def _find_candidates(self) -> list[wire.Member]:
        # Only hosts of this region: it is a home region of every entry, while
        # another region may not be.
        return [
            member
            for member in self._membership.live_members()
            if member.region == self._me.region and member.host != self._me.host
        ]

    async def _send_records(
        self,
        member: wire.Member,
        records: dict[Origin, record_lib.Record],
        deadline_s: float,
    ) -> bool:
        for origin, record in records.items():
            for message in _make_parts(origin, record):
                if not await self._send_part(member.host, message, deadline_s):
                    return False
        logging.info(
            'records: handed over, successor=%s records=%d entries=%d',
            member.host,
            len(records),
            sum(len(record) for record in records.values()),
        )
        return True

    async def _send_part(
        self, host: str, message: wire.RecordHandover, deadline_s: float
    ) -> bool:
        for _ in range(_PART_ATTEMPTS):
            remaining_s = deadline_s - self._clock.monotonic()
            if remaining_s <= 0:
                return False
            try:
                answer = await self._transport.request(
                    host,
                    message,
                    timeout_s=min(remaining_s, _PART_TIMEOUT_S),
                    bulk=True,
                )
            except errors.PeerTimeout:
                # The receiver ignores a part that it already has.
                continue
            except errors.PeerError as exc:
                logging.warning('records: handover failed: %s', exc)
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
                self._send_notices(other.host, notices)
                for other in self._membership.live_members()
                if other.host != self._me.host
            )
        )

    async def _send_notices(
        self, host: str, notices: abc.Sequence[wire.Leaving]
    ) -> None:
        try:
            for notice in notices:
                await self._transport.send(host, notice)
        except errors.PeerError as exc:
            logging.info('records: successor notice not sent: %s', exc)

    async def _announce_received(self) -> None:
        # The origin sends its notices once and then exits, so the successor
        # repeats them to hosts that missed them, joined later or restarted.
        while True:
            await self._clock.sleep(_ANNOUNCE_INTERVAL_S)
            self._prune()
            for origin, received in list(self._received.items()):
                if received.complete and not self._sending:
                    await self._notify_hosts(origin, received)

    async def _notify_hosts(
        self, origin: Origin, received: _ReceivedRecord
    ) -> None:
        notice = wire.Leaving(
            host=origin[0],
            incarnation=origin[1],
            successor=self._me.host,
            successor_incarnation=self._me.incarnation,
        )
        for other in self._membership.live_members():
            process = (other.host, other.incarnation)
            if process in received.notified or other.host == self._me.host:
                continue
            with contextlib.suppress(errors.PeerError):
                await self._transport.send(other.host, notice)
                received.notified.add(process)

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
            logging.error(
                'records: handover refused, entry outside its home regions, '
                'from=%s',
                sender,
            )
            return wire.Done(accepted=False)
        self._prune()
        received = self._received.get(origin)
        if received is None:
            record = record_lib.Record(self._clock, self._budget)
            received = self._received[origin] = _ReceivedRecord(record)
        return wire.Done(accepted=self._apply_part(origin, received, message))

    def _apply_part(
        self,
        origin: Origin,
        received: _ReceivedRecord,
        message: wire.RecordHandover,
    ) -> bool:
        """Adds a part to a received record.

        A part of another transfer is refused, unless it is the first one, with
        which a transfer starts over.

        Returns:
            False if the part is refused.
        """
        if message.transfer_id != received.transfer_id:
            if message.part != 0:
                return False
            received.transfer_id = message.transfer_id
            received.next_part = 0
        if message.part > received.next_part:
            return False
        received.last_part_s = self._clock.monotonic()
        if message.part < received.next_part:
            return True
        if not _merge(received.record, message.entries):
            logging.warning(
                'records: handover refused, record memory full, from=%s', origin
            )
            received.record.clear()
            del self._received[origin]
            return False
        received.record.evicted_expiry = max(
            received.record.evicted_expiry, message.evicted_expiry
        )
        received.next_part += 1
        received.complete = received.complete or message.last
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
        oldest_s = self._clock.monotonic() - self._retention_s
        for origin, received in list(self._received.items()):
            if received.last_part_s and received.last_part_s < oldest_s:
                received.record.clear()
                del self._received[origin]
        while self._successors:
            origin, successor = next(iter(self._successors.items()))
            if successor.learned_s >= oldest_s:
                break
            del self._successors[origin]


def _make_parts(
    origin: Origin, record: record_lib.Record
) -> abc.Iterator[wire.RecordHandover]:
    """Yields a record as messages of bounded size.

    Args:
        origin: Origin of the record.
        record: The record.
    """
    host, incarnation = origin
    record.evict()
    evicted_expiry = record.evicted_expiry
    transfer_id = secrets.randbits(62) + 1
    batches = _split_entries(list(record))
    for number, entries in enumerate(batches):
        yield wire.RecordHandover(
            host=host,
            incarnation=incarnation,
            entries=tuple(_to_wire(entry) for entry in entries),
            last=number == len(batches) - 1,
            evicted_expiry=evicted_expiry,
            transfer_id=transfer_id,
            part=number,
        )


def _split_entries(
    entries: abc.Sequence[record_lib.Entry],
) -> list[list[record_lib.Entry]]:
    """Returns entries in batches that fit into one part each."""
    batches: list[list[record_lib.Entry]] = [[]]
    size_bytes = 0
    for entry in entries:
        entry_bytes = len(entry.encoded) + len(entry.name)
        full = size_bytes + entry_bytes > PART_BYTES
        if batches[-1] and (full or len(batches[-1]) >= PART_ENTRIES):
            batches.append([])
            size_bytes = 0
        batches[-1].append(entry)
        size_bytes += entry_bytes
    return batches


def _to_wire(entry: record_lib.Entry) -> wire.RecordEntry:
    scope, key = record_lib.split_entry_name(entry.name)
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
    """Adds entries to a received record, except for keys it already has.

    Returns:
        False if the memory budget is exhausted.
    """
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
