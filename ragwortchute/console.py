"""Implements the operators' queries and orders for one entry host."""

from collections import abc

from returns import result

from ragwortchute import calls
from ragwortchute import clock as clock_lib
from ragwortchute import directory as directory_lib
from ragwortchute import documents
from ragwortchute import errors
from ragwortchute import membership as membership_lib
from ragwortchute import operators
from ragwortchute.distribution import distributor as distributor_lib
from ragwortchute.slots import manager as manager_lib


class HostConsole(operators.Console):
    """Reports the state of one entry host and executes operators' orders.

    Args:
        directory: Documents and addresses.
        distributor: Documents in force and domain orders.
        membership: Members and view of the region.
        slot_manager: Targets and the slots that this host may use.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        directory: directory_lib.HostDirectory,
        distributor: distributor_lib.Distributor,
        membership: membership_lib.Membership,
        slot_manager: manager_lib.SlotManager,
        clock: clock_lib.Clock,
    ) -> None:
        self._directory = directory
        self._distributor = distributor
        self._membership = membership
        self._slots = slot_manager
        self._clock = clock

    def status(self) -> operators.HostStatus:
        """Returns the state of this host."""
        me = self._membership.me
        return operators.HostStatus(
            host=me.host,
            region=me.region,
            failure_domain=me.failure_domain,
            incarnation=me.incarnation,
            ready=self._directory.ready,
            leaving=self._directory.leaving,
            documents={
                holding.name: operators.DocumentStatus(
                    holding.version, holding.since
                )
                for holding in self._distributor.in_force()
            },
            domains=self._domain_statuses(),
            view=self._view_status(),
        )

    def targets(self, service: str = '') -> list[operators.TargetStatus]:
        """Returns the targets of one service, or of all if it is empty."""
        names = [service] if service else sorted(self._directory.services)
        return [
            status for name in names for status in self._target_statuses(name)
        ]

    def explain(
        self, service: str, method: str, path: str, organisation: str
    ) -> dict[str, object]:
        """Returns how this host would handle a call at this moment."""
        document = self._directory.document(service)
        if not self._directory.ready:
            return _refused('not-ready', 'no documents or no view')
        if document is None:
            return _refused('no-service', f'service {service!r} is unknown')
        match = self._directory.match(document, method, path, organisation)
        if match is None:
            return _refused('no-route', 'no route matches')
        decision = self._serving_decision(document, match.homes)
        addresses = self._directory.addresses(
            service, organisation, method, path
        )
        return {
            **decision,
            'route': match.route.name,
            'idempotent': match.route.idempotent,
            'homes': match.homes,
            'deadline_ms': match.deadline_ms,
            'hosts': [address.host for address in addresses.hosts],
            'targets': [
                status.target
                for status in self._target_statuses(service)
                if status.share > 0
            ],
        }

    async def order(
        self, failure_domain: str, state: documents.DomainState
    ) -> result.Result[operators.OrderAccepted, calls.Refusal]:
        """Takes a failure domain out of service or returns it to service."""
        try:
            if state is documents.DomainState.OUT:
                await self._distributor.order_out(failure_domain)
            else:
                await self._distributor.order_in(failure_domain, 'operator')
        except errors.DocumentError as exc:
            return result.Failure(_order_refusal(404, 'no-domain', exc))
        except errors.VersionConflict as exc:
            return result.Failure(_order_refusal(409, 'conflict', exc))
        except errors.StoreUnavailable as exc:
            return result.Failure(_order_refusal(503, 'store', exc))
        written = state is documents.DomainState.IN
        return result.Success(
            operators.OrderAccepted(failure_domain, state, written=written)
        )

    def _serving_decision(
        self, document: documents.ServiceDocument, homes: abc.Sequence[str]
    ) -> dict[str, object]:
        if homes and self._directory.region not in homes:
            return _refused('home-regions', 'this region may not serve it')
        if self._directory.leaving:
            return _refused('leaving', 'a planned stop began')
        reason = self._directory.refusal_reason(document.service)
        if reason:
            return _refused(reason, 'ask one of the hosts')
        return {'decision': 'served', 'reason': '', 'detail': ''}

    def _target_statuses(self, service: str) -> list[operators.TargetStatus]:
        source = self._slots.service(service)
        document = self._directory.document(service)
        if source is None or document is None:
            return []
        return [
            operators.TargetStatus(
                service=service,
                target=entry.state.target.name,
                failure_domain=entry.state.target.failure_domain,
                phase=str(entry.state.phase),
                slots=entry.state.target.slots,
                share=entry.candidate.share,
                in_flight=entry.candidate.in_flight,
                connections=entry.state.connections,
                latency_ms=round(entry.candidate.latency_ms, 3),
            )
            for entry in source.warmth.entries.values()
        ]

    def _domain_statuses(self) -> dict[str, operators.DomainStatus]:
        now_s = self._clock.wall()
        return {
            status.failure_domain: operators.DomainStatus(
                state=status.state,
                damped_until=now_s + status.damped_s if status.damped_s else 0,
            )
            for status in self._distributor.domain_status()
        }

    def _view_status(self) -> operators.ViewStatus | None:
        view = self._membership.view
        if view is None:
            return None
        return operators.ViewStatus(
            epoch=view.epoch,
            leader=view.leader,
            members=tuple(member.host for member in view.members),
        )


def _refused(reason: str, detail: str) -> dict[str, object]:
    return {'decision': 'refused', 'reason': reason, 'detail': detail}


def _order_refusal(status: int, reason: str, exc: Exception) -> calls.Refusal:
    maybe = getattr(exc, 'maybe_applied', False)
    return calls.Refusal(
        outcome=calls.Outcome.UNKNOWN if maybe else calls.Outcome.NOT_RUN,
        reason=reason,
        step='order',
        status=status,
        detail=str(exc),
    )
