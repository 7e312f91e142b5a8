"""Rules for organisations: names, keys, homes and quotas."""

import collections
from collections import abc

from ragwortchute.gateway.organisations import identity
from ragwortchute.gateway.organisations import quota_limits
from ragwortchute.platform.config_check import findings
from ragwortchute.platform.config_check import requests
from ragwortchute.platform.config_check import rules

Faults = abc.Iterator[findings.Fault]


@rules.warning('no-organisations')
def no_organisations(context: rules.Context) -> Faults:
    """An empty list of organisations, which refuses all callers."""
    closed = [r for r in context.cfg.routes if not r.public]
    if context.entries.tenants == [] and closed:
        yield findings.Fault(
            'tenants',
            f'is empty: all requests of {len(closed)} routes that are not '
            'public get 401',
            'at least one organisation, or no field',
        )


@rules.error('duplicate-organisation')
def duplicate_organisation(context: rules.Context) -> Faults:
    """An organisation that a later one of the same name replaces."""
    return context.replaced_entries('tenants')


@rules.error('unusable-name')
def unusable_name(context: rules.Context) -> Faults:
    """A name that can't be sent in a header, so that its keys are unknown."""
    unusable = set(context.keys.unusable)
    for path, entry, _ in context.organisations():
        if entry.name in unusable:
            yield findings.Fault(
                f'{path}.name',
                f'{context.show(entry.name)} can not be sent in a header, so '
                'that all its callers get 401',
                'a name without control characters and without space at '
                'either end',
            )


@rules.error('key-in-name')
def key_in_name(context: rules.Context) -> Faults:
    """A key in a name, which targets and logs get."""
    named = [
        *(
            (f'routes[{index}].name', entry.name)
            for index, entry in enumerate(context.entries.routes)
        ),
        *(
            (f'tenants[{index}].name', entry.name)
            for index, entry in enumerate(context.entries.tenants or ())
        ),
    ]
    for path, name in named:
        if context.redactor.hides(name):
            yield findings.Fault(
                path, 'contains a key; names are logged and sent to targets'
            )


@rules.warning('organisation-without-keys')
def organisation_without_keys(context: rules.Context) -> Faults:
    """An organisation that no caller can belong to."""
    for path, entry, organisation in context.organisations():
        if not any(organisation.keys):
            yield findings.Fault(
                f'{path}.api_keys',
                f'{context.show(entry.name)} has no key, so that no request '
                'can belong to it',
            )


@rules.error('unusable-key')
def unusable_key(context: rules.Context) -> Faults:
    """A key that no request can carry."""
    for path, entry, organisation in context.organisations():
        if not any(organisation.keys):
            continue
        count = sum(not _can_be_sent(key) for key in organisation.keys)
        if count:
            yield findings.Fault(
                f'{path}.api_keys',
                f'{count} of the keys of {context.show(entry.name)} can not '
                'be sent in a header',
                'texts that are not empty, without control characters and '
                'without space at either end',
            )


def _can_be_sent(key: str) -> bool:
    """Returns whether the gateway reads a key as it is from a header."""
    return bool(key) and requests.credential(key) == key


@rules.error('shared-key')
def shared_key(context: rules.Context) -> Faults:
    """A key of two organisations, which belongs to the first of them."""
    for path, entry, organisation in context.organisations():
        if entry.name in context.keys.unusable:
            continue
        counts: collections.Counter[str] = collections.Counter()
        for key in organisation.keys:
            owner = context.keys.find(key)
            if owner is not None and owner.name != organisation.name:
                counts[owner.name] += 1
        for owner_name, count in sorted(counts.items()):
            yield findings.Fault(
                f'{path}.api_keys',
                f'{context.show(entry.name)} and {context.show(owner_name)} '
                f'both have {count} of these keys; their requests belong to '
                f'{context.show(owner_name)}',
                'keys that no other organisation has',
            )


class _RegionUse:
    """Which routes an organisation with given homes can call.

    Attributes:
        excluded: Names of routes whose homes have no region in common.
        total: Number of routes that need an organisation.
    """

    __slots__ = ('excluded', 'total')

    def __init__(self, context: rules.Context, homes: tuple[str, ...]) -> None:
        routes = [route for route in context.cfg.routes if not route.public]
        self.total = len(routes)
        excluded_homes = {
            item
            for item in {route.homes for route in routes}
            if identity.common_homes(item, homes) is None
        }
        self.excluded = [
            route.name for route in routes if route.homes in excluded_homes
        ]


def _region_uses(
    context: rules.Context,
) -> abc.Iterator[tuple[str, _RegionUse]]:
    """Yields path of the homes and their use, computed once for equal ones."""
    uses: dict[tuple[str, ...], _RegionUse] = {}
    for path, _, organisation in context.organisations():
        homes = organisation.homes
        if homes not in uses:
            uses[homes] = _RegionUse(context, homes)
        yield f'{path}.allowed_regions', uses[homes]


@rules.error('no-common-region')
def no_common_region(context: rules.Context) -> Faults:
    """An organisation that has no region in common with any route."""
    for path, use in _region_uses(context):
        if use.total and len(use.excluded) == use.total:
            yield findings.Fault(
                path,
                'no route that needs a key may run in these regions, so that '
                'all its requests are refused',
            )


@rules.warning('routes-without-common-region')
def routes_without_common_region(context: rules.Context) -> Faults:
    """An organisation that has no region in common with some routes."""
    for path, use in _region_uses(context):
        if 0 < len(use.excluded) < use.total:
            yield findings.Fault(
                path,
                f'{len(use.excluded)} routes may not run in these regions, so '
                f'that its requests to them are refused: '
                f'{context.listed(use.excluded)}',
            )


@rules.error('negative-quota')
def negative_quota(context: rules.Context) -> Faults:
    """A rate or burst below 0."""
    for path, entry, _ in context.organisations():
        for name in ('rate_per_s', 'burst'):
            value = getattr(entry, name)
            if value < 0:
                yield findings.Fault(
                    f'{path}.{name}',
                    f'is {context.show(value)}',
                    '0 for no limit, or above 0'
                    if name == 'rate_per_s'
                    else '0 or more',
                )


@rules.warning('burst-without-rate')
def burst_without_rate(context: rules.Context) -> Faults:
    """A burst beside a rate that means no limit."""
    for path, entry, _ in context.organisations():
        if entry.burst > 0 and entry.rate_per_s == 0:
            yield findings.Fault(
                f'{path}.burst',
                'has no effect: without rate_per_s there is no limit',
            )


@rules.warning('quota-below-burst')
def quota_below_burst(context: rules.Context) -> Faults:
    """A burst above what the rate gives in a window of the quota.

    After such a burst, an organisation is refused for more than a window.
    """
    window_s = quota_limits.Bounds().window_s
    for path, entry, _ in context.organisations():
        if 0 < entry.rate_per_s * window_s < entry.burst:
            yield findings.Fault(
                f'{path}.rate_per_s',
                f'is {context.show(entry.rate_per_s)}: a burst of '
                f'{context.show(entry.burst)} is regained in '
                f'{entry.burst / entry.rate_per_s:.3g} s, longer than the '
                f'window of the quota, {window_s:g} s',
                f'at least {entry.burst / window_s:g}, or burst at most '
                f'{entry.rate_per_s * window_s:g}',
            )
