"""Declares the metrics of an entry host.

Components count in plain attributes, which are copied to collectors on a
scrape. Updating a collector takes several microseconds, too long to do while a
call is served.
"""

from collections import abc

from ragwortchute import scraping
from ragwortchute.callers import application as caller_application
from ragwortchute.dispatch import dispatcher as dispatcher_lib
from ragwortchute.dispatch import spill
from ragwortchute.peers import tcp
from ragwortchute.records import record

# Label values come from this set or from documents, never from callers, so the
# number of series is bounded.
REASONS = frozenset(
    {
        'answer-invalid',
        'answer-lost',
        'answer-not-kept',
        'answer-too-large',
        'answer-truncated',
        'bad-key',
        'bad-refusal',
        'bad-token',
        'body-timeout',
        'body-too-large',
        'caller-gone',
        'connect-failed',
        'connection-lost',
        'content-length',
        'crashes-targets',
        'deadline',
        'deadline-invalid',
        'dispatch-lost',
        'domain-out',
        'forward-lost',
        'header-repeated',
        'home-regions',
        'internal',
        'joining',
        'key-missing',
        'key-reused',
        'lease',
        'leaving',
        'link-budget',
        'method',
        'no-answer',
        'no-host',
        'no-origin-token',
        'no-route',
        'no-service',
        'no-target',
        'not-ready',
        'origin-gone',
        'origin-left',
        'origin-unreachable',
        'path',
        'pending',
        'query',
        'queue-full',
        'recorded',
        'record-full',
        'shed',
        'spill',
        'stopping',
        'token-expired',
        'too-many-bytes',
        'too-many-calls',
        'too-many-headers',
        'too-many-resends',
        'too-many-tokens',
        'upgrade',
        'wrong-host',
    }
)
_OTHER_REASONS = 'other'


def count_by_reason(refused: abc.Mapping[str, int]) -> dict[str, float]:
    """Returns counts by known reason, and the others summed up as `other`."""
    values: dict[str, float] = {}
    for reason, count in refused.items():
        label = reason if reason in REASONS else _OTHER_REASONS
        values[label] = values.get(label, 0) + count
    return values


def add_call_path(
    metrics: scraping.Metrics,
    app: caller_application.CallerApplication,
    counts: dispatcher_lib.DispatchCounts,
) -> None:
    """Adds the metrics of calls and attempts."""
    metrics.add_gauge(
        'ragwortchute_calls_running',
        'Calls that run at this moment.',
        lambda: app.running,
    )
    metrics.add_gauge(
        'ragwortchute_calls_buffered_bytes',
        'Bodies of the running calls in bytes.',
        lambda: app.buffered_bytes,
    )
    metrics.add_counter(
        'ragwortchute_calls_total',
        'Calls that got an answer of a target.',
        lambda: app.answered,
    )
    metrics.add_counter(
        'ragwortchute_refusals_total',
        'Refused calls by reason.',
        lambda: count_by_reason(app.refused),
        'reason',
    )
    metrics.add_counter(
        'ragwortchute_call_seconds_total',
        'Time of all ended calls in seconds.',
        lambda: app.durations.total_s,
    )
    metrics.add_counter(
        'ragwortchute_calls_within_milliseconds_total',
        'Ended calls by upper bound of their duration in milliseconds.',
        app.durations.by_bound,
        'bound',
    )
    metrics.add_counter(
        'ragwortchute_attempts_total',
        'Attempts on targets and decisions on further ones, by kind.',
        lambda: {
            name: getattr(counts, name) for name in type(counts).__slots__
        },
        'kind',
    )


def add_control(metrics: scraping.Metrics, counts: tcp.Counts) -> None:
    """Adds the traffic and CPU time of messages between hosts."""
    metrics.add_counter(
        'ragwortchute_control_messages_total',
        'Control messages by direction.',
        lambda: {
            'sent': counts.sent_messages,
            'received': counts.received_messages,
        },
        'direction',
    )
    metrics.add_counter(
        'ragwortchute_control_bytes_total',
        'Bytes of control messages by direction.',
        lambda: {'sent': counts.sent_bytes, 'received': counts.received_bytes},
        'direction',
    )
    metrics.add_counter(
        'ragwortchute_bulk_bytes_total',
        'Bytes of documents, forwarded calls and hand-overs by direction.',
        lambda: {
            'sent': counts.bulk_sent_bytes,
            'received': counts.bulk_received_bytes,
        },
        'direction',
    )
    metrics.add_counter(
        'ragwortchute_control_cpu_seconds_total',
        'CPU time of encoding and decoding control messages in seconds.',
        lambda: counts.control_cpu_s,
    )
    metrics.add_counter(
        'ragwortchute_control_dropped_frames_total',
        'Frames that failed their check.',
        lambda: counts.dropped_frames,
    )


def add_records(metrics: scraping.Metrics, budget: record.MemoryBudget) -> None:
    """Adds the memory use and limit of the request records."""
    metrics.add_gauge(
        'ragwortchute_record_bytes',
        'Memory of the request records in bytes.',
        lambda: budget.used_bytes,
    )
    metrics.add_gauge(
        'ragwortchute_record_limit_bytes',
        'Bound of the memory of the request records in bytes.',
        lambda: budget.limit_bytes,
    )


def add_spill(
    metrics: scraping.Metrics, spill_dispatcher: spill.SpillDispatcher
) -> None:
    """Adds the calls forwarded between regions."""
    metrics.add_counter(
        'ragwortchute_spilled_calls_total',
        'Calls forwarded between regions, by direction.',
        lambda: {
            'sent': spill_dispatcher.spilled,
            'received': spill_dispatcher.served,
        },
        'direction',
    )
