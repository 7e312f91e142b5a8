"""Rules for routes: which can match, their services and their times."""

from collections import abc

from ragwortchute.gateway import model
from ragwortchute.gateway.http import intake
from ragwortchute.gateway.selection import work_times
from ragwortchute.platform.config_check import findings
from ragwortchute.platform.config_check import requests
from ragwortchute.platform.config_check import rules

ROUTE_TYPES = ('idempotent', 'non_idempotent', 'upload')

Faults = abc.Iterator[findings.Fault]


def _has_valid_host(route: model.Route) -> bool:
    """Returns whether a request can have the host name of a route."""
    parsed = requests.parse(route.host, '/')
    return bool(route.host) and parsed is not None and parsed[0] == route.host


def _has_valid_prefix(route: model.Route) -> bool:
    """Returns whether the path of a request can match the prefix of a route."""
    prefix = route.path_prefix
    parsed = requests.parse('host', prefix)
    return prefix.endswith('/') and parsed is not None and parsed[1] == prefix


def _matches(context: rules.Context, route: model.Route) -> bool:
    """Returns whether any request matches a route."""
    return (
        context.table.match(route.host, route.path_prefix) is route
        and _has_valid_host(route)
        and _has_valid_prefix(route)
    )


@rules.error('unmatchable-host')
def unmatchable_host(context: rules.Context) -> Faults:
    """A host name that no request can have."""
    for path, entry, route in context.routes():
        if not _has_valid_host(route):
            yield findings.Fault(
                f'{path}.hostname',
                f'no request has the host name {context.show(entry.hostname)}',
                'a host name without scheme, port or path',
            )


@rules.error('unmatchable-prefix')
def unmatchable_prefix(context: rules.Context) -> Faults:
    """A path prefix that no path begins with."""
    for path, entry, route in context.routes():
        if not _has_valid_prefix(route):
            yield findings.Fault(
                f'{path}.path_prefix',
                f'no path matches {context.show(entry.path_prefix)}',
                'a path without a query that begins and ends with a slash',
            )


@rules.error('shadowed-prefix')
def shadowed_prefix(context: rules.Context) -> Faults:
    """A route that another one with the same host name and prefix replaces."""
    indexes = {id(route): i for i, route in enumerate(context.cfg.routes)}
    for path, entry, route in context.routes():
        found = context.table.match(route.host, route.path_prefix)
        if (
            found is None
            or found is route
            or found.path_prefix != route.path_prefix
        ):
            continue
        other = indexes[id(found)]
        yield findings.Fault(
            f'{path}.path_prefix',
            f'no request matches: routes[{other}] ({context.show(found.name)}) '
            f'has the same host name and prefix '
            f'{context.show(entry.path_prefix)}, and the last one applies',
        )


@rules.error('host-without-routes')
def host_without_routes(context: rules.Context) -> Faults:
    """A host name of whose routes none can match."""
    paths: dict[str, str] = {}
    served = set()
    for path, _, route in context.routes():
        paths.setdefault(route.host, path)
        if route.host not in served and _matches(context, route):
            served.add(route.host)
    for host, path in paths.items():
        if host not in served:
            yield findings.Fault(
                f'{path}.hostname',
                f'no route of the host name {context.show(host)} can match, '
                'so that all its requests get 404',
            )


@rules.warning('duplicate-route-name')
def duplicate_route_name(context: rules.Context) -> Faults:
    """Routes with the same name, whose times are measured together."""
    first: dict[str, str] = {}
    for path, entry, _ in context.routes():
        other = first.setdefault(entry.name, path)
        if other != path:
            yield findings.Fault(
                f'{path}.name',
                f'{other} has the same name {context.show(entry.name)}; '
                'processing times and metrics are kept by name',
            )


@rules.warning('unknown-route-type')
def unknown_route_type(context: rules.Context) -> Faults:
    """A type that the gateway does not know."""
    for path, entry, _ in context.routes():
        if entry.route_type not in ROUTE_TYPES:
            yield findings.Fault(
                f'{path}.route_type',
                f'{context.show(entry.route_type)} is unknown; its requests '
                'are handled as non_idempotent',
                ', '.join(ROUTE_TYPES),
            )


@rules.error('unknown-service')
def unknown_service(context: rules.Context) -> Faults:
    """A route to a service that the configuration does not contain."""
    known = context.cfg.services
    for path, entry, _ in context.routes():
        if entry.traffic_split:
            named = [
                (f'{path}.traffic_split[{index}].service', part.service)
                for index, part in enumerate(entry.traffic_split)
            ]
        else:
            named = [(f'{path}.service', entry.service)]
        for service_path, service in named:
            if service and service not in known:
                yield findings.Fault(
                    service_path,
                    f'there is no service {context.show(service)}',
                    context.listed(known) or 'none, as there are no services',
                )


@rules.error('route-without-service')
def route_without_service(context: rules.Context) -> Faults:
    """A route that names no service."""
    for path, entry, _ in context.routes():
        if not entry.traffic_split and not entry.service:
            yield findings.Fault(
                path, 'the route names neither a service nor a traffic_split'
            )


@rules.warning('ignored-service')
def ignored_service(context: rules.Context) -> Faults:
    """A service that a traffic split overrides."""
    for path, entry, _ in context.routes():
        if entry.traffic_split and entry.service:
            yield findings.Fault(
                f'{path}.service', 'has no effect beside traffic_split'
            )


@rules.error('negative-weight')
def negative_weight(context: rules.Context) -> Faults:
    """A weight below 0, with which no service can be picked."""
    for path, entry, _ in context.routes():
        for index, part in enumerate(entry.traffic_split):
            if part.weight < 0:
                yield findings.Fault(
                    f'{path}.traffic_split[{index}].weight',
                    f'is {context.show(part.weight)}',
                    'above 0',
                )


@rules.warning('weight-zero')
def weight_zero(context: rules.Context) -> Faults:
    """A service of a traffic split that gets no requests."""
    for path, entry, _ in context.routes():
        for index, part in enumerate(entry.traffic_split):
            if part.weight == 0 and len(entry.traffic_split) > 1:
                yield findings.Fault(
                    f'{path}.traffic_split[{index}].weight',
                    f'is 0: {context.show(part.service)} gets no requests',
                    'above 0, or no entry',
                )


@rules.error('no-weight')
def no_weight(context: rules.Context) -> Faults:
    """A traffic split whose weights are all 0."""
    for path, entry, _ in context.routes():
        weights = [part.weight for part in entry.traffic_split]
        if len(weights) > 1 and not any(weights):
            yield findings.Fault(
                f'{path}.traffic_split',
                'all weights are 0, so that no service can be picked',
                'at least one weight above 0',
            )


@rules.error('timeout-too-short')
def timeout_too_short(context: rules.Context) -> Faults:
    """A timeout that ends before any request can be sent."""
    for path, entry, _ in context.routes():
        if entry.timeout_s <= intake.ANSWER_MARGIN_S:
            yield findings.Fault(
                f'{path}.timeout_s',
                f'is {context.show(entry.timeout_s)}: every request is refused',
                f'above {intake.ANSWER_MARGIN_S:g}',
            )


@rules.error('objective-not-positive')
def objective_not_positive(context: rules.Context) -> Faults:
    """A latency objective that no response can meet."""
    for path, entry, _ in context.routes():
        if entry.target_latency_s <= 0:
            yield findings.Fault(
                f'{path}.target_latency_s',
                f'is {context.show(entry.target_latency_s)}',
                'above 0',
            )


@rules.warning('timeout-below-objective')
def timeout_below_objective(context: rules.Context) -> Faults:
    """A timeout that is shorter than the latency objective."""
    for path, entry, _ in context.routes():
        if entry.timeout_s < entry.target_latency_s:
            yield findings.Fault(
                f'{path}.timeout_s',
                f'is {context.show(entry.timeout_s)}, below target_latency_s '
                f'({context.show(entry.target_latency_s)})',
                f'at least {context.show(entry.target_latency_s)}',
            )


@rules.warning('attempts-below-one')
def attempts_below_one(context: rules.Context) -> Faults:
    """A number of attempts that the gateway raises to 1."""
    for path, entry, route in context.routes():
        if entry.attempts != route.attempts:
            yield findings.Fault(
                f'{path}.attempts',
                f'is {context.show(entry.attempts)}, which counts as '
                f'{route.attempts}',
                'at least 1',
            )


@rules.warning('attempts-beyond-deadline')
def attempts_beyond_deadline(context: rules.Context) -> Faults:
    """More attempts than can end before the deadline of a request.

    A retry follows as soon as an attempt has failed, and a hedge is due later
    than an attempt is expected to end, so that most attempts fit if each fails
    after its expected time. This is what the gateway assumes of a route not
    measured yet, without the cap that keeps such a route from being refused.
    Requests that must not run twice are only sent again after a refusal, which
    takes no such time.
    """
    for path, entry, route in context.routes():
        left_s = route.timeout_s - intake.ANSWER_MARGIN_S
        work_s = route.objective_s * work_times.INITIAL_WORK_OBJECTIVES
        if not route.idempotent or work_s <= 0:
            continue
        fitting = max(1, int(left_s / work_s))
        if route.attempts > fitting:
            yield findings.Fault(
                f'{path}.attempts',
                f'is {context.show(entry.attempts)}, but that many attempts of '
                f'{work_s:.3g} s ({work_times.INITIAL_WORK_OBJECTIVES:g} of '
                f'target_latency_s) do not fit into timeout_s '
                f'({context.show(entry.timeout_s)})',
                f'at most {fitting}',
            )
