"""Messages between hosts."""

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
    """One host of a view."""

    host: str
    incarnation: int
    peer_address: str
    caller_url: str
    failure_domain: str
    region: str


class View(msgspec.Struct, frozen=True):
    """Members of a region at one epoch.

    Attributes:
        region: Region of the view.
        epoch: Number of the view; higher is newer.
        leader: Host that writes the next epoch.
        members: Members in join order.
        witnesses: Hosts whose majority confirms leases; an odd number.
        previous_witnesses: Witnesses of the epoch before.
        passive: Members that own no target, because their failure domain
            is out.
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
        member: The sender; only the incarnation is set where the receiver
            knows the rest from its view.
        epoch: Highest epoch that the sender adopted.
        digest: Digest of the documents and orders in force at the sender.
    """

    member: Member
    epoch: int
    digest: int


class HeartbeatAck(Message, frozen=True):
    """Answer to a heartbeat.

    Attributes:
        host: The witness, or an empty string for the host that was asked.
        incarnation: Its incarnation.
        epoch: Highest epoch that it adopted.
        digest: Digest of its documents and orders.
        joined: True if the sender is a member of that epoch.
        suspects: Members that the witness has not heard for `suspect_s`.
    """

    host: str
    incarnation: int
    epoch: int
    digest: int
    joined: bool
    suspects: tuple[str, ...] = ()


class ViewNotice(Message, frozen=True):
    """A view that the receiver may not have."""

    view: View


class ViewPull(Message, frozen=True):
    """Asks for the current view; answered by `ViewNotice`."""


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
    """A new document, passed down the distribution tree."""

    document: DocumentBody


class DomainOrder(Message, frozen=True):
    """Takes a failure domain out ahead of the store.

    Attributes:
        failure_domain: Failure domain to take out.
        order_id: Unique id.
        base_version: Version of the deployment document that it is based on.
        issued_by: Host that accepted it.
        issued_at: Wall-clock seconds.
    """

    failure_domain: str
    order_id: str
    base_version: int
    issued_by: str
    issued_at: float


class DocumentPull(Message, frozen=True):
    """Asks for documents and orders that the sender lacks."""

    have: tuple[DocumentVersion, ...]


class DocumentBatch(Message, frozen=True):
    """Answer to `DocumentPull`."""

    documents: tuple[DocumentBody, ...]
    orders: tuple[DomainOrder, ...]


class SlotStatus(Message, frozen=True):
    """Spare and wanted slots of the sender for one service."""

    host: str
    service: str
    spare: int
    waiting: int


class SlotRequest(Message, frozen=True):
    """Asks for a loan of slots; answered by `SlotGrant`."""

    host: str
    service: str
    count: int


class LentSlots(msgspec.Struct, frozen=True):
    """Slots of one target in a loan."""

    target: str
    incarnation: str
    count: int


class SlotGrant(Message, frozen=True):
    """A loan; empty if nothing is spare.

    Attributes:
        loan_id: Id for the return.
        term_ms: Milliseconds from the sending of the request.
        slots: What is lent.
        spare: Slots that the lender still has spare.
    """

    loan_id: int
    term_ms: int
    slots: tuple[LentSlots, ...]
    spare: int = 0


class ReturnedSlots(msgspec.Struct, frozen=True):
    """Slots of one target in one loan that are returned."""

    loan_id: int
    target: str
    count: int


class SlotReturn(Message, frozen=True):
    """Returns slots before their term.

    Attributes:
        host: The borrower.
        loan_id: Id of the first loan.
        target: Name of its target.
        count: How many of its slots are returned.
        more: Further slots of the same lender, of any service.
    """

    host: str
    loan_id: int
    target: str
    count: int
    more: tuple[ReturnedSlots, ...] = ()

    def all(self) -> tuple[ReturnedSlots, ...]:
        """Returns everything that is returned."""
        first = ReturnedSlots(self.loan_id, self.target, self.count)
        return (first, *self.more)


class TargetNotice(Message, frozen=True):
    """State of a target, told by its owner.

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
    """Asks which targets of a service the receiver uses as warm."""

    service: str


class TargetBatch(Message, frozen=True):
    """Answer to `TargetPull`."""

    notices: tuple[TargetNotice, ...]


class TargetSuspect(Message, frozen=True):
    """Tells the owner that a target may be cold again or gone."""

    host: str
    service: str
    target: str
    incarnation: str
    reason: str


class CrashSuspect(Message, frozen=True):
    """A request digest that broke a target, or that proved harmless.

    Attributes:
        service: Name of the service.
        digest: Digest of the request.
        target: Name of the target that broke.
        cleared: Whether the request got an answer.
        age_ms: Milliseconds since the attempt that broke the target began.
    """

    service: str
    digest: bytes
    target: str
    cleared: bool
    age_ms: int = 0


class CallForward(Message, frozen=True):
    """A call forwarded to the origin of its key.

    Attributes:
        call: The call; its deadline is relative here.
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
    """The sender stops; a successor answers for its request record."""

    host: str
    incarnation: int
    successor: str
    successor_incarnation: int


class Stopping(Message, frozen=True):
    """The sender begins a planned stop and takes no new callers."""

    host: str
    incarnation: int


class RecordEntry(msgspec.Struct, frozen=True):
    """One entry of a request record on its way to a successor.

    Attributes:
        scope: Tenant and service that the key belongs to.
        key: The request key.
        digest: Digest of the request.
        state: `not-run`, `ran`, `ran-no-answer` or `unknown`.
        expires_at: Wall-clock seconds.
        homes: Home regions; the entry goes nowhere else.
        answer: The recorded answer, if kept.
    """

    scope: str
    key: str
    digest: bytes
    state: str
    expires_at: float
    homes: tuple[str, ...] = ()
    answer: calls.Answer | None = None


class RecordHandover(Message, frozen=True):
    """Part of a request record; answered by `Done`.

    Attributes:
        host: Origin of the record.
        incarnation: Its incarnation.
        entries: The entries of this part.
        last: True for the last part of the transfer.
        evicted_expiry: Highest expiry that the origin evicted.
        transfer_id: Id of the transfer; only parts of one transfer add up to
            a complete record.
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
    """Answer that carries nothing but its arrival."""

    accepted: bool = True


def message_types() -> dict[str, type[Message]]:
    """Returns all message classes by name."""
    return {cls.__name__: cls for cls in Message.__subclasses__()}
