"""Pauses that targets ask this host for.

Load: a target that is short of room turns requests away and wants nothing from
this host for a while. If all hosts sent as much as before once that ends, it
would be short of room again. A host therefore sends a single request then, and
others only once the target has served one.
"""

import msgspec

from ragwortchute.gateway import eventlog
from ragwortchute.gateway import model
from ragwortchute.gateway.selection import target_statements

# A request after a pause that is not served within this time, since its answer
# was lost or it was turned away as well, is followed by another one.
TRIAL_TIMEOUT_S = 0.5
# A pause that ended this long ago is forgotten, as nothing was sent since.
RETENTION_S = 60.0


class _Pause(msgspec.Struct):
    """A pause and the request that follows it.

    Attributes:
        until_s: Loop time of its end in seconds.
        trial_until_s: Loop time until which no request follows the one that
            was sent after the end; minus infinity before that.
    """

    until_s: float
    trial_until_s: float = float('-inf')


class Pauses:
    """Pauses by the key of the target.

    Args:
        log: Event log.
    """

    __slots__ = ('_by_key', '_log')

    def __init__(self, log: eventlog.EventLog) -> None:
        self._log = log
        self._by_key: dict[int, _Pause] = {}

    def start(
        self, entry: model.TargetEntry, pause_s: float, now_s: float
    ) -> None:
        """Notes that a target wants no request from this host for a while.

        A pause that ends later stays as it is.

        Args:
            entry: Entry of the target.
            pause_s: Length of the pause in seconds.
            now_s: Loop time in seconds.
        """
        key = target_statements.target_key(entry)
        until_s = now_s + pause_s
        known = self._by_key.get(key)
        if known is not None and until_s <= known.until_s:
            return
        self._by_key[key] = _Pause(until_s)
        self._log.event('target-paused', target=entry.name, for_s=pause_s)

    def left_s(self, key: int, now_s: float) -> float:
        """Returns for how long a target wants no request, in seconds."""
        pause = self._by_key.get(key)
        return 0.0 if pause is None else max(0.0, pause.until_s - now_s)

    def wait_s(self, key: int, now_s: float) -> float:
        """Returns the time until the next request may be sent, in seconds."""
        pause = self._by_key.get(key)
        if pause is None:
            return 0.0
        return max(0.0, max(pause.until_s, pause.trial_until_s) - now_s)

    def record_send(self, key: int, now_s: float) -> None:
        """Notes a request; others wait for it if it is the first one."""
        pause = self._by_key.get(key)
        if pause is not None:
            pause.trial_until_s = now_s + TRIAL_TIMEOUT_S

    def note_served(self, key: int, now_s: float) -> None:
        """Notes that a target has served a request."""
        pause = self._by_key.get(key)
        if pause is not None and pause.until_s <= now_s:
            del self._by_key[key]

    def forget_old(self, now_s: float) -> None:
        """Forgets pauses that ended long ago."""
        for key, pause in list(self._by_key.items()):
            if pause.until_s < now_s - RETENTION_S:
                del self._by_key[key]
