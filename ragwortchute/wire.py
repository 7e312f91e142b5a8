"""Messages that the entry hosts exchange."""

import msgspec

from ragwortchute import calls


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base of all messages; the class name is the tag on the wire."""


class Hello(Message, frozen=True):
    """First message of a connection, in both directions."""

    host: str
    incarnation: int
    region: str
    failure_domain: str
    nonce: bytes = b''


class Member(msgspec.Struct, frozen=True):
    """One host of a view, with its addresses and location."""

    host: str
    incarnation: int
    peer_address: str
    caller_url: str
    failure_domain: str
    region: str


class View(msgspec.Struct, frozen=True):
    """Members of a region in one epoch.

    Attributes:
        region: Region of the view.
        epoch: Number of the view; a higher one is newer.
        leader: Host that creates the view of the next epoch.
        members: Members in join order.
        witnesses: Hosts of which a majority confirms leases; their number is
            odd.
        previous_witnesses: Witnesses of the previous epoch.
        passive: Members that own no targets because their failure domain is
            out of service.
    """

    region: str
    epoch: int
    leader: str
    members: tuple[Member, ...]
    witnesses: tuple[str, ...] = ()
    previous_witnesses: tuple[str, ...] = ()
    passive: tuple[str, ...] = ()


class Heartbeat(Message, frozen=True):
    """Sent by each member to the witnesses and the leader.

    Attributes:
        member: The sender; only the incarnation is set if the receiver knows
            the other fields from its view.
        epoch: Highest epoch adopted by the sender.
        digest: Digest of the documents and orders in force at the sender.
    """

    member: Member
    epoch: int
    digest: int


class HeartbeatAck(Message, frozen=True):
    """Answer to a heartbeat.

    Attributes:
        host: The answering witness; an empty string stands for the receiver
            of the heartbeat.
        incarnation: Its incarnation.
        epoch: Highest epoch adopted by it.
        digest: Digest of the documents and orders in force at it.
        joined: Whether the sender of the heartbeat is a member in that epoch.
        suspects: Members whose heartbeats the witness has missed for
            `suspect_s`.
    """

    host: str
    incarnation: int
    epoch: int
    digest: int
    joined: bool
    suspects: tuple[str, ...] = ()


class ViewNotice(Message, frozen=True):
    """Sends a view that the receiver may lack."""

    view: View


class ViewPull(Message, frozen=True):
    """Requests the current view; answered by `ViewNotice`."""


class DocumentVersion(msgspec.Struct, frozen=True):
    """Name and version of a document in force."""

    name: str
    version: int


class DocumentBody(msgspec.Struct, frozen=True):
    """One version of a document with its content."""

    name: str
    version: int
    value: bytes


class DocumentNotice(Message, frozen=True):
    """Sends a new document along the distribution tree."""

    document: DocumentBody


class DomainOrder(Message, frozen=True):
    """Takes a failure domain out of service before the store records it.

    Attributes:
        failure_domain: Failure domain to take out.
        order_id: Unique id of the order.
        base_version: Version of the deployment document on which the order is
            based.
        issued_by: Host that accepted the order.
        issued_at: Time of acceptance in seconds since the Unix epoch.
    """

    failure_domain: str
    order_id: str
    base_version: int
    issued_by: str
    issued_at: float


class DocumentPull(Message, frozen=True):
    """Requests the documents and orders that the sender lacks."""

    have: tuple[DocumentVersion, ...]


class DocumentBatch(Message, frozen=True):
    """Answer to `DocumentPull`."""

    documents: tuple[DocumentBody, ...]
    orders: tuple[DomainOrder, ...]


class SlotStatus(Message, frozen=True):
    """Reports the spare and the needed slots of the sender for one service."""

    host: str
    service: str
    spare: int
    waiting: int


class SlotRequest(Message, frozen=True):
    """Requests a loan of slots; answered by `SlotGrant`."""

    host: str
    service: str
    count: int


class LentSlots(msgspec.Struct, frozen=True):
    """Slots of one target in a loan."""

    target: str
    incarnation: str
    count: int


class SlotGrant(Message, frozen=True):
    """Grants a loan; empty if no slots are spare.

    Attributes:
        loan_id: Id with which slots are returned.
        term_ms: Term of the loan, in milliseconds from the time at which the
            request was sent.
        slots: Lent slots by target.
        spare: Slots that remain spare at the lender.
    """

    loan_id: int
    term_ms: int
    slots: tuple[LentSlots, ...]
    spare: int = 0


class ReturnedSlots(msgspec.Struct, frozen=True):
    """Returned slots of one target in one loan."""

    loan_id: int
    target: str
    count: int


class SlotReturn(Message, frozen=True):
    """Returns lent slots before the end of their term.

    Attributes:
        host: The borrower.
        loan_id: Id of the first loan.
        target: Name of its target.
        count: Number of returned slots.
        more: Further slots of the same lender, of any service.
    """

    host: str
    loan_id: int
    target: str
    count: int
    more: tuple[ReturnedSlots, ...] = ()

    def all(self) -> tuple[ReturnedSlots, ...]:
        """Returns all returned slots, those of the first loan included."""
        first = ReturnedSlots(self.loan_id, self.target, self.count)
        return (first, *self.more)


class TargetNotice(Message, frozen=True):
    """Announces the state of a target; sent by its owner.

    Attributes:
        service: Name of the service.
        target: Name of the target.
        incarnation: Incarnation of the target's process.
        phase: `cold`, `warming`, `warm` or `draining`.
        epoch: Epoch under which the sender owns the target.
    """

    service: str
    target: str
    incarnation: str
    phase: str
    epoch: int


class TargetPull(Message, frozen=True):
    """Requests the targets of a service that the receiver uses as warm."""

    service: str


class TargetBatch(Message, frozen=True):
    """Answer to `TargetPull`."""

    notices: tuple[TargetNotice, ...]


class TargetSuspect(Message, frozen=True):
    """Warns the owner of a target that it may be cold again or gone."""

    host: str
    service: str
    target: str
    incarnation: str
    reason: str


class CrashSuspect(Message, frozen=True):
    """Reports that a request may have crashed a target, or is cleared of it.

    Attributes:
        service: Name of the service.
        digest: Digest of the request.
        target: Name of the target that failed.
        cleared: Whether the request has got an answer since.
        age_ms: Milliseconds since the start of the attempt on which the
            target failed.
    """

    service: str
    digest: bytes
    target: str
    cleared: bool
    age_ms: int = 0


class CallForward(Message, frozen=True):
    """A call forwarded to the origin of its key.

    Attributes:
        call: The call; its deadline is relative in this message.
        remaining_ms: Milliseconds until the deadline.
        purpose: `origin` or `spill`; a spilled call is not forwarded again.
    """

    call: calls.Call
    remaining_ms: int
    purpose: str = 'origin'


class CallAnswer(Message, frozen=True):
    """Answer to `CallForward`; exactly one field is set."""

    answer: calls.Answer | None = None
    refusal: calls.Refusal | None = None


class Leaving(Message, frozen=True):
    """The sender stops; a successor takes over its request record."""

    host: str
    incarnation: int
    successor: str
    successor_incarnation: int


class Stopping(Message, frozen=True):
    """The sender begins a planned stop and accepts no new callers."""

    host: str
    incarnation: int


class RecordEntry(msgspec.Struct, frozen=True):
    """One entry of a request record in transfer to a successor.

    Attributes:
        scope: Organisation and service that the key belongs to.
        key: Idempotency key of the request.
        digest: Digest of the request.
        state: `not-run`, `ran`, `ran-no-answer` or `unknown`.
        expires_at: Time of expiry in seconds since the Unix epoch.
        homes: Home regions; the entry is not sent to any other region.
        answer: The recorded answer, if it was kept.
    """

    scope: str
    key: str
    digest: bytes
    state: str
    expires_at: float
    homes: tuple[str, ...] = ()
    answer: calls.Answer | None = None


class RecordHandover(Message, frozen=True):
    """Transfers a part of a request record; answered by `Done`.

    Attributes:
        host: Origin of the record.
        incarnation: Its incarnation.
        entries: The entries of this part.
        last: Whether this is the last part of the transfer.
        evicted_expiry: Latest time of expiry among the entries that the
            origin evicted, in seconds since the Unix epoch.
        transfer_id: Id of the transfer; only the parts of one transfer make
            up a complete record.
        part: Number of this part, from 0.
    """

    host: str
    incarnation: int
    entries: tuple[RecordEntry, ...]
    last: bool
    evicted_expiry: float = 0.0
    transfer_id: int = 0
    part: int = 0


class Done(Message, frozen=True):
    """Acknowledges a message."""

    accepted: bool = True


def message_types() -> dict[str, type[Message]]:
    """Returns all message classes by name."""
    return {cls.__name__: cls for cls in Message.__subclasses__()}
