"""Exceptions of the package; each carries the step and the peer."""


class RagwortchuteError(Exception):
    """Base of all errors of this package.

    Attributes:
      step: The step at which the error arose, such as `connect`.
      peer: The host, target or service on the other side, or an empty string.
    """

    def __init__(self, message: str, *, step: str = '', peer: str = '') -> None:
        super().__init__(message)
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = ' '.join(
            f'{name}={value}'
            for name, value in (('step', self.step), ('peer', self.peer))
            if value
        )
        message = super().__str__()
        return f'{message} ({where})' if where else message


class RegistryError(RagwortchuteError):
    """A plug-in name is unknown or registered twice."""


class SettingError(RagwortchuteError):
    """A setting has a value that is not allowed."""


class DocumentError(RagwortchuteError):
    """A document was refused.

    Attributes:
      path: Full path of the value at fault, such as `routes[2].homes`.
    """

    def __init__(self, path: str, message: str, *, step: str = 'check') -> None:
        super().__init__(f'{path}: {message}', step=step)
        self.path = path


class StoreError(RagwortchuteError):
    """The object API could not do what was asked."""


class StoreUnavailable(StoreError):
    """The object API is down, too slow, or its answer was lost.

    Attributes:
      maybe_applied: True if the write may have taken effect.
    """

    def __init__(
        self, message: str, *, maybe_applied: bool = False, peer: str = ''
    ) -> None:
        super().__init__(message, step='store', peer=peer)
        self.maybe_applied = maybe_applied


class VersionConflict(StoreError):
    """A conditional update found another version than it expected.

    Attributes:
      current_version: Version found; 0 if the object does not exist.
    """

    def __init__(self, message: str, *, current_version: int) -> None:
        super().__init__(message, step='store')
        self.current_version = current_version


class PeerError(RagwortchuteError):
    """A message to another host failed."""


class PeerUnreachable(PeerError):
    """No connection to the peer; the message was not sent."""


class PeerTimeout(PeerError):
    """The peer did not answer in time; it may have acted on the message."""


class FrameError(PeerError):
    """A frame could not be decoded or its MAC is wrong."""


class TargetError(RagwortchuteError):
    """An attempt on a target failed.

    Attributes:
      not_run: True only if it is proved that the target did not run the
        request.
    """

    not_run = False


class ConnectFailed(TargetError):
    """No connection to the target, so nothing was sent."""

    not_run = True


class TargetShed(TargetError):
    """The target refused the request explicitly before running it.

    Attributes:
      incarnation: Header `Target-Incarnation`, or an empty string.
      running: Running requests by header `Target-Load`; -1 if absent.
      draining: Whether header `Target-Draining` was set.
    """

    not_run = True
    incarnation = ''
    running = -1
    draining = False


class ConnectionLost(TargetError):
    """The connection broke after at least one byte was handed to it."""


class TruncatedAnswer(TargetError):
    """The answer ended before its announced length."""


class AnswerTooLarge(TargetError):
    """The target ran the request, but its answer exceeds the limit."""


class AttemptTimeout(TargetError):
    """The target did not answer before the deadline."""


class HistoryGone(StoreError):
    """The object API no longer has the changes since a revision."""
