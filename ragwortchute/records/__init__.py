"""Interfaces for running non-idempotent requests at most once."""

import abc as abc_
from collections import abc

from returns import result

from ragwortchute import calls

Outcome = result.Result[calls.Answer, calls.Refusal]
Run = abc.Callable[[calls.Call], abc.Awaitable[Outcome]]


class Recorder(abc_.ABC):
    """Runs each call that has a request key at most once."""

    @abc_.abstractmethod
    async def execute(self, call: calls.Call, run: Run) -> Outcome:
        """Returns the outcome of a call, which runs at most once per key.

        A key that was sent before gets the recorded outcome. A key that is
        bound to another host is forwarded to that host, its origin.

        Args:
            call: A call that is not idempotent.
            run: Dispatches the call; invoked at most once per key.

        Returns:
            The answer of the target, or a refusal.
        """


class CrashGuard(abc_.ABC):
    """Detects requests that crash the targets that run them."""

    @abc_.abstractmethod
    def check(self, call: calls.Call) -> calls.Refusal | None:
        """Returns a refusal if the request is blocked, else None.

        Args:
            call: The request, before it is dispatched.
        """

    @abc_.abstractmethod
    def report_crash(
        self, call: calls.Call, target: str, started_s: float
    ) -> None:
        """Reports that a target lost its connection during the request.

        Args:
            call: The request that the target was running.
            target: Name of the target.
            started_s: Start of the attempt in monotonic seconds.
        """

    @abc_.abstractmethod
    def report_answer(self, call: calls.Call) -> None:
        """Reports that a target returned a complete answer to the request.

        Args:
            call: The request.
        """
