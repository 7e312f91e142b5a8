"""Rules for services and for the limits of requests."""

from collections import abc

from ragwortchute.platform.config_check import findings
from ragwortchute.platform.config_check import rules

Faults = abc.Iterator[findings.Fault]


@rules.error('duplicate-service')
def duplicate_service(context: rules.Context) -> Faults:
    """A service that a later one of the same name replaces."""
    return context.replaced_entries('services')


@rules.warning('warmup-without-rate')
def warmup_without_rate(context: rules.Context) -> Faults:
    """Cold targets that are allowed no requests."""
    for index, entry in enumerate(context.entries.services):
        if entry.warmup_s > 0 and entry.warmup_per_s <= 0:
            yield findings.Fault(
                f'services[{index}].warmup_per_s',
                f'is {context.show(entry.warmup_per_s)}, so that targets get '
                f'hardly any request for the warm-up time of '
                f'{context.show(entry.warmup_s)} s',
                'above 0',
            )


@rules.error('limit-not-positive')
def limit_not_positive(context: rules.Context) -> Faults:
    """A limit that no request can meet."""
    limits = context.entries.limits
    for name in ('max_header_bytes', 'header_timeout_s', 'idle_timeout_s'):
        value = getattr(limits, name)
        if value <= 0:
            yield findings.Fault(
                f'limits.{name}',
                f'is {context.show(value)}: every request is refused',
                'above 0',
            )
    if limits.max_body_bytes < 0:
        yield findings.Fault(
            'limits.max_body_bytes',
            f'is {context.show(limits.max_body_bytes)}: every request is '
            'refused',
            '0 or more',
        )


@rules.error('body-limit-memory')
def body_limit_memory(context: rules.Context) -> Faults:
    """A body that takes more memory than a host has for all bodies."""
    longest_bytes = context.cfg.limits.max_body_bytes
    own = context.host_limits
    # Some memory remains for others beside the longest body.
    needed_bytes = longest_bytes + own.long_body_bytes(longest_bytes)
    if needed_bytes > own.body_bytes:
        most_bytes = own.body_bytes - own.long_body_bytes(own.body_bytes)
        yield findings.Fault(
            'limits.max_body_bytes',
            f'is {context.show(longest_bytes)}; a host with '
            f'{context.memory_bytes / 1e6:g} MB has {own.body_bytes} bytes '
            'for all bodies',
            f'0 to {most_bytes}',
        )
