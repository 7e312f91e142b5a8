"""Checks the rules of documents that their types don't express."""

from collections import abc
import difflib
import functools
import importlib
import ipaddress
import pkgutil
import re
from typing import Any

import msgspec

from ragwortchute import balancers
from ragwortchute import documents
from ragwortchute import errors
from ragwortchute.documents import limits

Problems = tuple[errors.DocumentError, ...]

# Names are used in URLs and in names of store objects. A leading underscore is
# reserved for documents other than service documents.
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]*\Z')
_METHOD = re.compile(r'[A-Z]+\Z')
_PATH_PREFIX = re.compile(r'/[A-Za-z0-9._~!$&\'()*+,;=:@/-]*\Z')
_AMBIGUOUS_PATH = re.compile(r'//|/\.{1,2}(/|\Z)')


def registered_balancers() -> tuple[str, ...]:
    """Imports all balancer modules and returns the registered names."""
    _import_balancers()
    return tuple(balancers.REGISTRY.names())


@functools.cache
def _import_balancers() -> None:
    for module in pkgutil.iter_modules(balancers.__path__):
        importlib.import_module(f'{balancers.__name__}.{module.name}')


def describe_known_names(name: str, known: abc.Iterable[str]) -> str:
    """Returns a hint that lists the known names and suggests the closest one.

    Args:
        name: The unknown name.
        known: The known names.

    Returns:
        The hint, to be appended to an error message.
    """
    names = sorted(known)
    close_matches = difflib.get_close_matches(name, names, n=1, cutoff=0.5)
    listed = f'; known: {", ".join(names)}' if names else '; none is known'
    return listed + (
        f'; did you mean {close_matches[0]!r}?' if close_matches else ''
    )


def check_service(
    document: documents.ServiceDocument,
    deployment: documents.DeploymentDocument | None = None,
    *,
    balancer_names: abc.Collection[str] | None = None,
) -> Problems:
    """Returns all problems of a service document.

    Args:
        document: The document.
        deployment: Deployment document whose failure domains and regions the
            targets must use. Without it, these only have to be consistent.
        balancer_names: Allowed balancers; by default the registered ones.
    """
    collector = _ProblemCollector()
    collector.check_name('service', document.service)
    collector.check_ranges('', document)
    collector.check_ranges('cold_start', document.cold_start)
    collector.check_author(document.author)
    names = balancer_names
    if names is None:
        names = registered_balancers()
    if document.balancer not in names:
        collector.add_unknown('balancer', 'balancer', document.balancer, names)
    _check_targets(collector, document.targets, deployment)
    _check_routes(collector, document, deployment)
    return tuple(collector.problems)


def check_deployment(document: documents.DeploymentDocument) -> Problems:
    """Returns all problems of a deployment document."""
    collector = _ProblemCollector()
    collector.check_ranges('', document)
    collector.check_author(document.author)
    if not document.failure_domains:
        collector.add('failure_domains', 'must have at least one entry')
    for name, entry in document.failure_domains.items():
        path = f'failure_domains.{name}'
        collector.check_name(path, name)
        collector.check_name(f'{path}.region', entry.region)
        collector.check_ranges(path, entry)
    regions = {entry.region for entry in document.failure_domains.values()}
    if document.store_region and document.store_region not in regions:
        collector.add_unknown(
            'store_region', 'region', document.store_region, regions
        )
    return tuple(collector.problems)


def _check_targets(
    collector: '_ProblemCollector',
    targets: tuple[documents.Target, ...],
    deployment: documents.DeploymentDocument | None,
) -> None:
    collector.check_count('targets', len(targets), limits.MAX_TARGETS)
    for index, target in enumerate(targets):
        path = f'targets[{index}]'
        collector.check_name(f'{path}.name', target.name)
        collector.check_ranges(path, target)
        _check_address(collector, f'{path}.address', target.address)
        if deployment is not None:
            _check_location(collector, path, target, deployment)
        else:
            collector.check_name(
                f'{path}.failure_domain', target.failure_domain
            )
            collector.check_name(f'{path}.region', target.region)
    collector.check_unique(
        'targets', 'name', [target.name for target in targets]
    )
    # Two entries for one process would double its limits for cold starts.
    collector.check_unique(
        'targets', 'address', [target.address for target in targets]
    )
    if deployment is None:
        _check_domain_regions(collector, targets)


def _check_location(
    collector: '_ProblemCollector',
    path: str,
    target: documents.Target,
    deployment: documents.DeploymentDocument,
) -> None:
    domains = deployment.failure_domains
    entry = domains.get(target.failure_domain)
    if entry is None:
        collector.add_unknown(
            f'{path}.failure_domain',
            'failure domain',
            target.failure_domain,
            domains,
        )
        regions = {entry.region for entry in domains.values()}
        if target.region not in regions:
            collector.add_unknown(
                f'{path}.region', 'region', target.region, regions
            )
    elif entry.region != target.region:
        collector.add(
            f'{path}.region',
            f'{target.region!r} is not the region of failure domain '
            f'{target.failure_domain!r}, which is {entry.region!r}',
        )


def _check_domain_regions(
    collector: '_ProblemCollector', targets: tuple[documents.Target, ...]
) -> None:
    """Checks that all targets of a failure domain name the same region.

    Used without a deployment document, which would define the region.
    """
    regions: dict[str, str] = {}
    for index, target in enumerate(targets):
        first = regions.setdefault(target.failure_domain, target.region)
        if first != target.region:
            collector.add(
                f'targets[{index}].region',
                f'{target.region!r} differs from {first!r}, given before for '
                f'failure domain {target.failure_domain!r}',
            )


def _check_address(
    collector: '_ProblemCollector', path: str, address: str
) -> None:
    ip, _, port = address.rpartition(':')
    try:
        bracketed = ip.startswith('[') and ip.endswith(']')
        parsed = ipaddress.ip_address(ip[1:-1] if bracketed else ip)
    except ValueError:
        parsed = None
    if parsed is None or bracketed != (parsed.version == 6):
        collector.add(
            path, f'{address!r} is not IP:port, with brackets around IPv6'
        )
    elif not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        collector.add(path, f'port {port!r} is not between 1 and 65535')
    elif parsed.is_unspecified or parsed.is_multicast:
        collector.add(path, f'{ip!r} is not the address of a single machine')


def _check_routes(
    collector: '_ProblemCollector',
    document: documents.ServiceDocument,
    deployment: documents.DeploymentDocument | None,
) -> None:
    regions = {target.region for target in document.targets}
    known = set(regions)
    if deployment is not None:
        known = {e.region for e in deployment.failure_domains.values()}
    collector.check_count('routes', len(document.routes), limits.MAX_ROUTES)
    for index, route in enumerate(document.routes):
        path = f'routes[{index}]'
        collector.check_name(f'{path}.name', route.name)
        collector.check_ranges(path, route)
        _check_route_pattern(collector, path, route)
        collector.check_homes(f'{path}.homes', route.homes, regions, known)
        for organisation, homes in route.tenant_homes.items():
            item_path = f'{path}.tenant_homes.{organisation}'
            if not organisation:
                collector.add(
                    item_path, 'the name of the organisation must not be empty'
                )
            if not homes:
                collector.add(item_path, 'must name at least one region')
            collector.check_homes(item_path, homes, regions, known)
    collector.check_unique(
        'routes', 'name', [route.name for route in document.routes]
    )


def _check_route_pattern(
    collector: '_ProblemCollector', path: str, route: documents.Route
) -> None:
    for index, method in enumerate(route.methods):
        if not _METHOD.match(method):
            collector.add(
                f'{path}.methods[{index}]',
                f'{method!r} is not a method in capital letters',
            )
    prefix = route.path_prefix
    if not _PATH_PREFIX.match(prefix) or _AMBIGUOUS_PATH.search(prefix):
        collector.add(
            f'{path}.path_prefix',
            f'{prefix!r} must start with a slash and must not contain a '
            f'query, percent-encoding, empty segments or dot segments',
        )


class _ProblemCollector:
    """Checks values and collects the problems found.

    Attributes:
        problems: The problems in the order in which they were found.
    """

    __slots__ = ('problems',)

    def __init__(self) -> None:
        self.problems: list[errors.DocumentError] = []

    def add(self, path: str, message: str) -> None:
        self.problems.append(errors.DocumentError(path, message))

    def add_unknown(
        self, path: str, what: str, name: str, known: abc.Iterable[str]
    ) -> None:
        self.add(
            path, f'unknown {what} {name!r}{describe_known_names(name, known)}'
        )

    def check_name(self, path: str, name: str) -> None:
        if len(name) > limits.MAX_NAME_CHARS:
            self.add(path, f'is longer than {limits.MAX_NAME_CHARS} characters')
        elif not _NAME.match(name):
            self.add(
                path,
                f'{name!r} must be letters, digits, dots, hyphens and '
                f'underscores and start with a letter or digit',
            )

    def check_author(self, author: str) -> None:
        if len(author) > limits.MAX_AUTHOR_CHARS:
            self.add(
                'author',
                f'is longer than {limits.MAX_AUTHOR_CHARS} characters',
            )

    def check_ranges(self, path: str, item: msgspec.Struct) -> None:
        for field, limit in limits.LIMITS[type(item)].items():
            value: Any = getattr(item, field)
            # NaN fails both comparisons and is therefore rejected.
            if limit.low <= value <= limit.high:
                continue
            item_path = f'{path}.{field}' if path else field
            self.add(
                item_path,
                f'{value} is not between {limit.low:,} and {limit.high:,}',
            )

    def check_count(self, path: str, number: int, high: int) -> None:
        if not 1 <= number <= high:
            self.add(path, f'has {number} entries, not between 1 and {high:,}')

    def check_unique(self, path: str, field: str, values: list[str]) -> None:
        first: dict[str, int] = {}
        for index, value in enumerate(values):
            other = first.setdefault(value, index)
            if other != index:
                self.add(
                    f'{path}[{index}].{field}',
                    f'{value!r} is already used by {path}[{other}]',
                )

    def check_homes(
        self,
        path: str,
        homes: tuple[str, ...],
        regions: set[str],
        known: set[str],
    ) -> None:
        for index, home in enumerate(homes):
            item_path = f'{path}[{index}]'
            if home not in known:
                self.add_unknown(item_path, 'region', home, known)
            elif home not in regions:
                self.add(
                    item_path,
                    f'region {home!r} has no target of this service; '
                    f'targets are in: {", ".join(sorted(regions))}',
                )
            if home in homes[:index]:
                self.add(item_path, f'region {home!r} is given twice')
