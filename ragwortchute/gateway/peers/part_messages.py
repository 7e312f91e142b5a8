"""Messages between hosts of the parts that only some deployments use."""

from collections import abc

from ragwortchute.gateway.peers import heartbeats

# Addresses of senders that are not known yet, at most.
MAX_ADDRESSES = 1000

# Called with the name of a host, the payload and the loop time of its arrival.
PartHandler = abc.Callable[[str, bytes, float], None]
# Sends a message to the named hosts, without a guarantee of delivery.
SendCallback = abc.Callable[[list[str], heartbeats.Message], None]


class PartMessages:
    """Sends and receives the payloads of optional parts.

    Args:
        own_name: Name of this host.
        send: Sends a message to other hosts.

    Attributes:
        addresses: Addresses and ports of senders whose entries are not known.
    """

    __slots__ = ('_early', '_handlers', '_own_name', '_send', 'addresses')

    def __init__(self, own_name: str, send: SendCallback) -> None:
        self._own_name = own_name
        self._send = send
        self._handlers: dict[str, PartHandler] = {}
        self._early: set[str] = set()
        self.addresses: dict[str, tuple[str, int]] = {}

    def register(
        self, part: str, handler: PartHandler, *, early: bool = False
    ) -> None:
        """Registers the handler of a part.

        Args:
            part: Name of the part.
            handler: Handles its payloads.
            early: Whether it also gets those of hosts whose entries are not
                known yet, and may reply to them.

        Raises:
            ValueError: The part has a handler already.
        """
        if part in self._handlers:
            raise ValueError(f'part {part!r} has a handler already')
        self._handlers[part] = handler
        if early:
            self._early.add(part)

    def send(self, names: list[str], part: str, payload: bytes) -> None:
        """Sends a payload to hosts, without a guarantee of delivery.

        Args:
            names: Names of the receivers; unknown ones are skipped.
            part: Name of the part.
            payload: The payload; more than 1,200 bytes may not fit a datagram.
        """
        message = heartbeats.Message(self._own_name, parts={part: payload})
        self._send(names, message)

    def handle_early(
        self,
        sender: str,
        parts: dict[str, bytes],
        now_s: float,
        address: tuple[str, int],
    ) -> None:
        """Passes payloads of a host whose entry is not known to handlers.

        Args:
            sender: Name of the sending host.
            parts: Payloads by part.
            now_s: Loop time in seconds.
            address: Address and port that it has sent from.
        """
        early = {part: parts[part] for part in parts if part in self._early}
        if early:
            self.addresses.pop(sender, None)
            self.addresses[sender] = address
            if len(self.addresses) > MAX_ADDRESSES:
                del self.addresses[next(iter(self.addresses))]
            self.handle(sender, early, now_s)

    def handle(
        self, sender: str, parts: dict[str, bytes], now_s: float
    ) -> None:
        """Passes payloads to their handlers; others are ignored.

        Args:
            sender: Name of the sending host.
            parts: Payloads by part.
            now_s: Loop time in seconds.
        """
        for part, payload in parts.items():
            handler = self._handlers.get(part)
            if handler is not None:
                handler(sender, payload, now_s)
