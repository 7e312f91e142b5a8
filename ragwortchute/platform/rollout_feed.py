"""Feed that decodes rollout orders and their status."""

import functools
import math

import msgspec

from ragwortchute import decoding
from ragwortchute import errors
from ragwortchute import stores
from ragwortchute.gateway import application
from ragwortchute.gateway import eventlog
from ragwortchute.gateway.rollouts import records
from ragwortchute.gateway.rollouts import runtime
from ragwortchute.gateway.store import store_feed

ROLLOUTS_KIND = 'rollouts/'
# Orders of more time than this count as unlimited.
_MAX_DURATION_S = 24 * 3600.0
# A host acts on a copy of a record for `trust.LEASE_S` after it was
# confirmed, so that copies are confirmed often while an order is running.
# Otherwise each call is billed and of no use.
_IDLE_WATCH_S = 4.0
_IDLE_MAX_AGE_S = 4.5
_RUNNING_WATCH_S = 0.4
_RUNNING_MAX_AGE_S = 1.0


class _Order(msgspec.Struct):
    target_version: str
    service: str = ''
    duration_s: object = None


class RolloutFeed(store_feed.Feed):
    """Feed of the rollout orders of the operator.

    Args:
        rollouts: Receives the records.
        log: Event log.
    """

    prefix = ROLLOUTS_KIND
    batch_delay_s = 0.05

    def __init__(
        self, rollouts: runtime.Rollouts, log: eventlog.EventLog
    ) -> None:
        self._rollouts = rollouts
        self._log = log
        self._names: set[str] = set()

    @property
    def watch_timeout_s(self) -> float:
        """See base class."""
        return _RUNNING_WATCH_S if self._rollouts.active else _IDLE_WATCH_S

    @property
    def max_age_s(self) -> float:
        """See base class."""
        if self._rollouts.active:
            return _RUNNING_MAX_AGE_S
        return _IDLE_MAX_AGE_S

    def replace(
        self, objects: list[stores.StoredObject], revision: int
    ) -> None:
        """See base class."""
        names = {obj.name for obj in objects}
        for name in self._names - names:
            self._rollouts.remove_record(name, revision)
        self._names = names
        for obj in objects:
            self.put(obj, revision)

    def put(self, obj: stores.StoredObject, revision: int) -> None:
        """See base class."""
        self._names.add(obj.name)
        self._rollouts.set_record(decode_record(obj, self._log))

    def remove(self, name: str, revision: int) -> None:
        """See base class."""
        self._names.discard(name)
        self._rollouts.remove_record(name, revision)

    def confirm(self, confirmed_s: float) -> None:
        """See base class."""
        self._rollouts.confirm(confirmed_s)


def enable(
    gateway: application.Gateway,
    contracts: frozenset[str],
    log: eventlog.EventLog,
) -> list[RolloutFeed]:
    """Enables rollouts on a host if they may occur.

    Args:
        gateway: The host.
        contracts: Names of the optional parts that the deployment uses.
        log: Event log.

    Returns:
        The feed of the orders, or nothing.
    """
    if runtime.CONTRACT not in contracts:
        return []
    decode = functools.partial(decode_record, log=log)
    return [RolloutFeed(gateway.enable_rollouts(decode), log)]


def decode_record(
    obj: stores.StoredObject, log: eventlog.EventLog
) -> records.Record:
    """Decodes an order and its status.

    An order that can't be carried out is returned with its problem.

    Args:
        obj: The object; its name is that of the service.
        log: Event log.
    """
    try:
        order = decoding.decode_json(obj.value, _Order)
    except errors.DecodeFailed as exc:
        log.event(
            'rollout-unreadable',
            service=obj.name,
            revision=obj.version,
            error=str(exc),
        )
        return records.Record(
            obj.name, '', 1.0, obj.version, problem='unreadable'
        )
    duration_s, problem = _decode_duration(order.duration_s)
    if order.service not in ('', obj.name):
        problem = 'other-service'
    if not order.target_version:
        problem = 'unreadable'
    record = records.Record(
        obj.name, order.target_version, duration_s, obj.version, problem=problem
    )
    return _with_status(record, obj, log)


def _decode_duration(value: object) -> tuple[float, str]:
    """Returns the time of an order in seconds, and its problem if any."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 1.0, 'unlimited-time'
    if value <= 0 or math.isnan(value):
        return 1.0, 'no-time'
    if value > _MAX_DURATION_S:
        return 1.0, 'unlimited-time'
    return float(value), ''


def _with_status(
    record: records.Record, obj: stores.StoredObject, log: eventlog.EventLog
) -> records.Record:
    """Returns a record with what the status of its object says."""
    if obj.status in (b'', b'null', b'{}'):
        return record
    try:
        status = decoding.decode_json(obj.status, records.Status)
    except errors.DecodeFailed as exc:
        log.event(
            'rollout-status-unreadable',
            service=obj.name,
            revision=obj.version,
            error=str(exc),
        )
        return record
    phase = records.phase_of(status)
    record = msgspec.structs.replace(record, refused=status.refused)
    if status.target_version == record.version:
        order_id = status.order_id or (1 if phase else 0)
        return msgspec.structs.replace(record, phase=phase, order_id=order_id)
    if phase >= records.Phase.SUCCEEDED:
        return msgspec.structs.replace(
            record,
            settled_version=status.target_version,
            settled_phase=phase,
        )
    return record
