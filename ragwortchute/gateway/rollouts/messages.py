"""Messages between hosts about rollouts."""

import msgspec

from ragwortchute import decoding
from ragwortchute.gateway.rollouts import records

# Name of the part in messages between hosts.
PART = 'rollout'
# Age of a record that has never been confirmed, and highest one that is told.
UNCONFIRMED_MS = 1_000_000_000


class Report(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Report of a host to those that coordinate a rollout.

    Attributes:
        service: Name of the service.
        order_id: See `records.Record`.
        incarnation: Incarnation of the sender.
        sequence: Number of the report.
        sent_ms: Time of the sender, returned in the reply.
        age_ms: Age of the order as far as the sender knows.
        revision: Revision of the record that the sender follows.
        drained: Whether it sends nothing to old targets and none of its
            requests can be running there.
        requests: Requests of the service that it has sent to targets.
        canary_sends: Sends to the canary version.
        cells: Cumulative counters, see `evidence.pack`.
        hosts: Number of hosts that the sender knows, 0 if it does not say.
    """

    service: str
    order_id: int
    incarnation: int
    sequence: int
    sent_ms: int
    age_ms: int
    revision: int
    drained: bool
    requests: int
    canary_sends: int
    cells: bytes
    hosts: int = 0


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Reply to a report.

    Attributes:
        service: Name of the service.
        order_id: See `records.Record`.
        sent_ms: Copied from the report.
        age_ms: Age of the order.
        revision: Revision of the record that the sender follows.
        phase: Its phase.
        reaches_most: Whether the sender hears most hosts.
        able: Whether the sender can read and write the store.
        confirmed_age_ms: How long ago its record was the newest for certain.
    """

    service: str
    order_id: int
    sent_ms: int
    age_ms: int
    revision: int
    phase: int
    reaches_most: bool
    able: bool
    confirmed_age_ms: int = UNCONFIRMED_MS


class Stop(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Tells that the canary version of an order is bad.

    Attributes:
        service: Name of the service.
        order_id: See `records.Record`.
    """

    service: str
    order_id: int


class Question(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Asks which versions of a service are in use.

    Attributes:
        service: Name of the service.
        revision: Revision of the record that the sender follows, 0 if none.
    """

    service: str
    revision: int


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Answer of a host that knows which versions are in use.

    Attributes:
        service: Name of the service.
        revision: Copied from the question.
        used: Versions in use.
        refused: Versions that orders have replaced or rolled back.
    """

    service: str
    revision: int
    used: tuple[str, ...]
    refused: tuple[str, ...]


Message = Report | Reply | Stop | Question | Answer

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Decodes a message.

    Raises:
        DecodeFailed: It is malformed.
    """
    return decoding.decode_msgpack(data, _DECODER)


def phase_of(reply: Reply) -> records.Phase:
    """Returns the phase in a reply, `NONE` if it is unknown."""
    try:
        return records.Phase(reply.phase)
    except ValueError:
        return records.Phase.NONE
