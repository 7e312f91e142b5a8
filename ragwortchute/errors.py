"""Exceptions of the package; each names the failed step and the peer."""


class RagwortchuteError(Exception):
    """Base of all errors of this package.

    Attributes:
      step: Step that failed, such as `connect`.
      peer: Remote host, target or service, or an empty string.
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
    """A setting is missing, unknown or has an invalid value."""


class DocumentError(RagwortchuteError):
    """A document is invalid or does not exist.

    Attributes:
      path: Full path of the invalid value, such as `routes[2].homes`.
    """

    def __init__(self, path: str, message: str, *, step: str = 'check') -> None:
        super().__init__(f'{path}: {message}', step=step)
        self.path = path


class DecodeFailed(RagwortchuteError):
    """A value of another process is malformed or of another type."""


class StoreError(RagwortchuteError):
    """A request to the object API failed."""


class StoreUnavailable(StoreError):
    """The object API is unreachable, timed out, or its answer was lost.

    Attributes:
      maybe_applied: Whether the write may have taken effect.
      connection_lost: Whether the connection was closed before the answer.
    """

    def __init__(
        self,
        message: str,
        *,
        maybe_applied: bool = False,
        connection_lost: bool = False,
        peer: str = '',
    ) -> None:
        super().__init__(message, step='store', peer=peer)
        self.maybe_applied = maybe_applied
        self.connection_lost = connection_lost


class VersionConflict(StoreError):
    """A conditional update found a version other than the expected one.

    Attributes:
      current_version: Version in the store; 0 if the object does not exist.
    """

    def __init__(self, message: str, *, current_version: int) -> None:
        super().__init__(message, step='store')
        self.current_version = current_version


class PeerError(RagwortchuteError):
    """A message to another host failed."""


class PeerUnreachable(PeerError):
    """The peer could not be connected to; the message was not sent."""


class PeerTimeout(PeerError):
    """The peer did not answer in time; it may have handled the message."""


class FrameError(PeerError):
    """A frame could not be decoded or authenticated by its MAC."""


class TargetError(RagwortchuteError):
    """An attempt on a target failed.

    Attributes:
      not_run: True only if the target certainly did not run the request.
    """

    not_run = False


class ConnectFailed(TargetError):
    """The target could not be connected to, so nothing was sent."""

    not_run = True


class NoDescriptor(ConnectFailed):
    """This host may open no further connection, so nothing was sent."""


class TargetShed(TargetError):
    """The target shed the request: it refused explicitly before running it.

    Attributes:
      incarnation: Header `Target-Incarnation`, or an empty string.
      running: Running requests according to header `Target-Load`; -1 if
        absent.
      draining: Whether header `Target-Draining` was set.
    """

    not_run = True
    incarnation = ''
    running = -1
    draining = False


class ConnectionLost(TargetError):
    """The connection was lost after at least one byte was written to it."""


class TruncatedAnswer(TargetError):
    """The answer ended before its declared length."""


class AnswerTooLarge(TargetError):
    """The target ran the request, but its answer exceeds the size limit."""


class AttemptTimeout(TargetError):
    """The target did not answer before the deadline."""


class HistoryGone(StoreError):
    """The object API no longer keeps the changes since a revision."""
