"""Rollouts: moves services to new software versions and judges these."""

from ragwortchute.gateway import attempts
from ragwortchute.gateway.selection import targets as targets_


class VersionChoice:
    """Which targets of a service may get a request, by their versions.

    The base class restricts nothing; it is used where no rollouts occur.

    Attributes:
        restricts: Whether `choose` is to be asked before a selection.
    """

    __slots__ = ()

    restricts = False

    def choose(
        self, call: attempts.Call, targets: list[targets_.Target]
    ) -> tuple[list[targets_.Target], list[targets_.Target]]:
        """Returns the targets that may get a request.

        Args:
            call: The request.
            targets: Targets that may get it otherwise.

        Returns:
            The targets to select from, and those to select from if none of
            the first takes it.
        """
        raise NotImplementedError

    def admits(self, call: attempts.Call, target: targets_.Target) -> bool:
        """Returns whether a request may still be sent to a chosen target."""
        del call, target  # Needed by subclasses.
        return True

    def note_send(self, call: attempts.Call, attempt: attempts.Attempt) -> None:
        """Notes that a request was sent to a target."""

    def note_end(self, call: attempts.Call, attempt: attempts.Attempt) -> None:
        """Notes that an attempt has ended."""

    def note_abort(
        self, call: attempts.Call, attempt: attempts.Attempt
    ) -> None:
        """Notes that an attempt was given up."""
