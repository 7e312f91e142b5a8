"""Allowed ranges of the values in documents."""

import msgspec

from ragwortchute import documents

MAX_DOCUMENT_BYTES = 1_000_000  # the object API accepts no larger value
MAX_TARGETS = 2_000
MAX_ROUTES = 1_000
MAX_NAME_CHARS = 64
MAX_AUTHOR_CHARS = 128


class Limit(msgspec.Struct, frozen=True):
    """Allowed range of a number, bounds included.

    Attributes:
        low: Smallest allowed value.
        high: Largest allowed value.
        unit: Unit of the value, or an empty string.
    """

    low: float
    high: float
    unit: str = ''


LIMITS: dict[type[msgspec.Struct], dict[str, Limit]] = {
    documents.Target: {'slots': Limit(1, 10_000)},
    documents.ColdStart: {
        'concurrency': Limit(1, 1_000),
        'rate_per_s': Limit(0.01, 100_000, '1/s'),
        # Rate and concurrency are computed by dividing by the ramp, so it must
        # not be 0.
        'ramp_s': Limit(0.1, 3_600, 's'),
    },
    documents.Route: {
        'deadline_ms': Limit(1, 3_600_000, 'ms'),
        'retries': Limit(0, 10),
        'priority': Limit(0, 9),
    },
    documents.ServiceDocument: {
        # With a single host, its failure would make the service unavailable.
        'hosts_per_service': Limit(2, 64),
        'max_queue': Limit(1, 100_000),
    },
    documents.DomainEntry: {
        # Up to the year 2286; excludes infinity and NaN.
        'changed_at': Limit(0, 9_999_999_999, 's'),
    },
    documents.DeploymentDocument: {
        'link_budget_bytes_per_s': Limit(0, 1_250_000_000, 'bytes/s'),
    },
}
