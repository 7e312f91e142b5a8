"""At-most-once execution of requests that must not repeat."""

import abc as abc_
from collections import abc

from returns import result

from ragwortchute import calls

Outcome = result.Result[calls.Answer, calls.Refusal]
Run = abc.Callable[[calls.Call], abc.Awaitable[Outcome]]


class Recorder(abc_.ABC):
    """Runs calls with a request key at most once."""

    @abc_.abstractmethod
    async def execute(self, call: calls.Call, run: Run) -> Outcome:
        """Runs a call, or answers from the record, or asks the origin.

        Args:
            call: A call that is not idempotent.
            run: Dispatches the call; invoked at most once per key.
        """


class CrashGuard(abc_.ABC):
    """Recognises requests that crash targets."""

    @abc_.abstractmethod
    def check(self, call: calls.Call) -> calls.Refusal | None:
        """Returns a refusal if the request is known to crash targets."""

    @abc_.abstractmethod
    def broke(self, call: calls.Call, target: str, started_s: float) -> None:
        """The connection to a target broke while it ran the request.

        Args:
            call: The request.
            target: Name of the target.
            started_s: When the attempt began, on the monotonic clock.
        """

    @abc_.abstractmethod
    def answered(self, call: calls.Call) -> None:
        """A target gave a whole answer to the request."""
