"""Forwarding of calls to other regions if no local target can serve them."""

from collections import abc

import msgspec
from returns import result

from ragwortchute import budgets
from ragwortchute import calls
from ragwortchute import clock as clock_lib
from ragwortchute import errors
from ragwortchute import peers
from ragwortchute import records
from ragwortchute import wire

_RETRY_AFTER_MS = 100
_HEAD_ESTIMATE_BYTES = 512


class SpillDispatcher:
    """Dispatches calls to local targets, or spills them to another region.

    A call is spilled if no local target can serve it, the call may run in the
    other region, and the link budget covers it.

    Args:
        dispatch: Dispatches a call to the targets of this region.
        transport: Transports calls to hosts of other regions.
        clock: Clock on which the deadlines of calls are given.
        region: Region of this host.
        can_serve: Returns whether a target of this region serves a service,
            given by name.
        remote_hosts: Returns the hosts of other regions that serve a service,
            given by name.
        link_budget: Bytes that calls may use of the link between regions.

    Attributes:
        spilled: Number of calls forwarded to another region.
        served: Number of calls served for another region.
    """

    def __init__(
        self,
        *,
        dispatch: records.Run,
        transport: peers.Transport,
        clock: clock_lib.Clock,
        region: str,
        can_serve: abc.Callable[[str], bool],
        remote_hosts: abc.Callable[[str], list[wire.Member]],
        link_budget: budgets.LinkBudget,
    ) -> None:
        self._dispatch = dispatch
        self._transport = transport
        self._clock = clock
        self._region = region
        self._can_serve = can_serve
        self._remote_hosts = remote_hosts
        self._link_budget = link_budget
        self.spilled = 0
        self.served = 0

    async def run(self, call: calls.Call) -> records.Outcome:
        """Runs a call and returns the answer of a target, or a refusal."""
        if self._can_serve(call.service):
            return await self._dispatch(call)
        for member in self._remote_hosts(call.service):
            if call.homes and member.region not in call.homes:
                continue
            if not self._link_budget.try_spend(_call_size_bytes(call)):
                return result.Failure(_refusal('link-budget', member.host))
            outcome = await self._forward(call, member.host)
            if outcome is not None:
                return outcome
        return await self._dispatch(call)

    async def on_spill(
        self, sender: str, message: wire.CallForward
    ) -> wire.CallAnswer:
        """Serves a call from another region without forwarding it again."""
        homes = message.call.homes
        if homes and self._region not in homes:
            return wire.CallAnswer(refusal=_refusal('home-regions', sender))
        self.served += 1
        deadline_s = self._clock.monotonic() + message.remaining_ms / 1000
        call = msgspec.structs.replace(message.call, deadline_s=deadline_s)
        outcome = await self._dispatch(call)
        if isinstance(outcome, result.Success):
            return wire.CallAnswer(answer=outcome.unwrap())
        return wire.CallAnswer(refusal=outcome.failure())

    async def _forward(
        self, call: calls.Call, host: str
    ) -> records.Outcome | None:
        """Forwards a call to a host of another region.

        Returns:
            The outcome, or None if the host is unreachable and did not get
            the call.
        """
        remaining_s = call.deadline_s - self._clock.monotonic()
        if remaining_s <= 0:
            return result.Failure(_refusal('deadline', host, status=504))
        message = wire.CallForward(call, int(remaining_s * 1000), 'spill')
        try:
            answer = await self._transport.request(
                host, message, timeout_s=remaining_s, bulk=True
            )
        except errors.PeerUnreachable:
            return None
        except errors.PeerTimeout:
            return result.Failure(
                _refusal('spill', host, calls.Outcome.UNKNOWN, 504)
            )
        self.spilled += 1
        return self._outcome(answer, host)

    def _outcome(self, answer: wire.Message, host: str) -> records.Outcome:
        if not isinstance(answer, wire.CallAnswer):
            return result.Failure(
                _refusal('spill', host, calls.Outcome.UNKNOWN, 502)
            )
        if answer.answer is None:
            return result.Failure(answer.refusal)
        self._link_budget.charge(len(answer.answer.body) + _HEAD_ESTIMATE_BYTES)
        return result.Success(answer.answer)


def _call_size_bytes(call: calls.Call) -> int:
    return len(call.body) + len(call.path) + _HEAD_ESTIMATE_BYTES


def _refusal(
    reason: str,
    host: str,
    outcome: calls.Outcome = calls.Outcome.NOT_RUN,
    status: int = 503,
) -> calls.Refusal:
    return calls.Refusal(
        outcome=outcome,
        reason=reason,
        step='spill',
        status=status,
        detail=f'no local target; other region through {host}',
        retry_after_ms=_RETRY_AFTER_MS,
    )
