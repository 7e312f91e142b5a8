"""Rules that go beyond the types of a document."""

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

# Names are parts of URLs and of object names; a leading underscore is
# reserved for documents that aren't services.
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]*\Z')
_METHOD = re.compile(r'[A-Z]+\Z')
_PATH_PREFIX = re.compile(r'/[A-Za-z0-9._~!$&\'()*+,;=:@/-]*\Z')
_AMBIGUOUS_PATH = re.compile(r'//|/\.{1,2}(/|\Z)')


def registered_balancers() -> tuple[str, ...]:
    """Returns the registered balancers after importing their modules."""
    _import_balancers()
    return tuple(balancers.REGISTRY.names())


@functools.cache
def _import_balancers() -> None:
    for module in pkgutil.iter_modules(balancers.__path__):
        importlib.import_module(f'{balancers.__name__}.{module.name}')


def nearest(name: str, known: abc.Iterable[str]) -> str:
    """Returns a hint with the nearest known name and all known names."""
    names = sorted(known)
    near = difflib.get_close_matches(name, names, n=1, cutoff=0.5)
    listed = f'; known: {", ".join(names)}' if names else '; none is known'
    return listed + (f'; did you mean {near[0]!r}?' if near else '')


def check_service(
    document: documents.ServiceDocument,
    deployment: documents.DeploymentDocument | None = None,
    *,
    balancer_names: abc.Collection[str] | None = None,
) -> Problems:
    """Returns all violations in a service document, empty if there are none.

    Args:
        document: The document.
        deployment: Failure domains and regions to compare with, if known.
        balancer_names: Allowed balancers; by default the registered ones.
    """
    found = _Found()
    found.name('service', document.service)
    found.numbers('', document)
    found.numbers('cold_start', document.cold_start)
    found.author(document.author)
    names = balancer_names
    if names is None:
        names = registered_balancers()
    if document.balancer not in names:
        found.unknown('balancer', 'balancer', document.balancer, names)
    _check_targets(found, document.targets, deployment)
    _check_routes(found, document, deployment)
    return tuple(found.problems)


def check_deployment(document: documents.DeploymentDocument) -> Problems:
    """Returns all violations in the deployment document."""
    found = _Found()
    found.numbers('', document)
    found.author(document.author)
    if not document.failure_domains:
        found.add('failure_domains', 'must hold at least one entry')
    for name, entry in document.failure_domains.items():
        path = f'failure_domains.{name}'
        found.name(path, name)
        found.name(f'{path}.region', entry.region)
        found.numbers(path, entry)
    regions = {entry.region for entry in document.failure_domains.values()}
    if document.store_region and document.store_region not in regions:
        found.unknown('store_region', 'region', document.store_region, regions)
    return tuple(found.problems)


def _check_targets(
    found: '_Found',
    targets: tuple[documents.Target, ...],
    deployment: documents.DeploymentDocument | None,
) -> None:
    found.count('targets', len(targets), limits.MAX_TARGETS)
    for index, target in enumerate(targets):
        path = f'targets[{index}]'
        found.name(f'{path}.name', target.name)
        found.numbers(path, target)
        _check_address(found, f'{path}.address', target.address)
        if deployment is not None:
            _check_place(found, path, target, deployment)
        else:
            found.name(f'{path}.failure_domain', target.failure_domain)
            found.name(f'{path}.region', target.region)
    found.unique('targets', 'name', [target.name for target in targets])
    # Two entries for one process would double its cold-start limits.
    found.unique('targets', 'address', [target.address for target in targets])
    if deployment is None:
        _check_one_region(found, targets)


def _check_place(
    found: '_Found',
    path: str,
    target: documents.Target,
    deployment: documents.DeploymentDocument,
) -> None:
    domains = deployment.failure_domains
    entry = domains.get(target.failure_domain)
    if entry is None:
        found.unknown(
            f'{path}.failure_domain',
            'failure domain',
            target.failure_domain,
            domains,
        )
        regions = {entry.region for entry in domains.values()}
        if target.region not in regions:
            found.unknown(f'{path}.region', 'region', target.region, regions)
    elif entry.region != target.region:
        found.add(
            f'{path}.region',
            f'{target.region!r} is not the region of failure domain '
            f'{target.failure_domain!r}, which is {entry.region!r}',
        )


def _check_one_region(
    found: '_Found', targets: tuple[documents.Target, ...]
) -> None:
    """Without a deployment document, a failure domain has one region."""
    regions: dict[str, str] = {}
    for index, target in enumerate(targets):
        first = regions.setdefault(target.failure_domain, target.region)
        if first != target.region:
            found.add(
                f'targets[{index}].region',
                f'{target.region!r} differs from {first!r}, given before for '
                f'failure domain {target.failure_domain!r}',
            )


def _check_address(found: '_Found', path: str, address: str) -> None:
    ip, _, port = address.rpartition(':')
    try:
        bracketed = ip.startswith('[') and ip.endswith(']')
        parsed = ipaddress.ip_address(ip[1:-1] if bracketed else ip)
    except ValueError:
        parsed = None
    if parsed is None or bracketed != (parsed.version == 6):
        found.add(
            path, f'{address!r} is not IP:port, with brackets around IPv6'
        )
    elif not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        found.add(path, f'port {port!r} is not between 1 and 65535')
    elif parsed.is_unspecified or parsed.is_multicast:
        found.add(path, f'{ip!r} is not the address of a single machine')


def _check_routes(
    found: '_Found',
    document: documents.ServiceDocument,
    deployment: documents.DeploymentDocument | None,
) -> None:
    regions = {target.region for target in document.targets}
    known = set(regions)
    if deployment is not None:
        known = {e.region for e in deployment.failure_domains.values()}
    found.count('routes', len(document.routes), limits.MAX_ROUTES)
    for index, route in enumerate(document.routes):
        path = f'routes[{index}]'
        found.name(f'{path}.name', route.name)
        found.numbers(path, route)
        _check_pattern(found, path, route)
        found.homes(f'{path}.homes', route.homes, regions, known)
        for tenant, homes in route.tenant_homes.items():
            where = f'{path}.tenant_homes.{tenant}'
            if not tenant:
                found.add(where, 'the tenant must not be empty')
            if not homes:
                found.add(where, 'must name at least one region')
            found.homes(where, homes, regions, known)
    found.unique('routes', 'name', [route.name for route in document.routes])


def _check_pattern(found: '_Found', path: str, route: documents.Route) -> None:
    for index, method in enumerate(route.methods):
        if not _METHOD.match(method):
            found.add(
                f'{path}.methods[{index}]',
                f'{method!r} is not a method in capital letters',
            )
    prefix = route.path_prefix
    if not _PATH_PREFIX.match(prefix) or _AMBIGUOUS_PATH.search(prefix):
        found.add(
            f'{path}.path_prefix',
            f'{prefix!r} must start with a slash and hold no query, no '
            f'percent-encoding, no empty and no dot segments',
        )


class _Found:
    """Collects violations."""

    __slots__ = ('problems',)

    def __init__(self) -> None:
        self.problems: list[errors.DocumentError] = []

    def add(self, path: str, message: str) -> None:
        self.problems.append(errors.DocumentError(path, message))

    def unknown(
        self, path: str, what: str, name: str, known: abc.Iterable[str]
    ) -> None:
        self.add(path, f'unknown {what} {name!r}{nearest(name, known)}')

    def name(self, path: str, name: str) -> None:
        if len(name) > limits.MAX_NAME_CHARS:
            self.add(path, f'is longer than {limits.MAX_NAME_CHARS} characters')
        elif not _NAME.match(name):
            self.add(
                path,
                f'{name!r} must be letters, digits, dots, hyphens and '
                f'underscores and start with a letter or digit',
            )

    def author(self, author: str) -> None:
        if len(author) > limits.MAX_AUTHOR_CHARS:
            self.add(
                'author',
                f'is longer than {limits.MAX_AUTHOR_CHARS} characters',
            )

    def numbers(self, path: str, item: msgspec.Struct) -> None:
        for field, limit in limits.LIMITS[type(item)].items():
            value: Any = getattr(item, field)
            # NaN compares false with both bounds and is refused.
            if limit.low <= value <= limit.high:
                continue
            where = f'{path}.{field}' if path else field
            self.add(
                where,
                f'{value} is not between {limit.low:,} and {limit.high:,}',
            )

    def count(self, path: str, number: int, high: int) -> None:
        if not 1 <= number <= high:
            self.add(path, f'has {number} entries, not between 1 and {high:,}')

    def unique(self, path: str, field: str, values: list[str]) -> None:
        first: dict[str, int] = {}
        for index, value in enumerate(values):
            other = first.setdefault(value, index)
            if other != index:
                self.add(
                    f'{path}[{index}].{field}',
                    f'{value!r} is already used by {path}[{other}]',
                )

    def homes(
        self,
        path: str,
        homes: tuple[str, ...],
        regions: set[str],
        known: set[str],
    ) -> None:
        for index, home in enumerate(homes):
            where = f'{path}[{index}]'
            if home not in known:
                self.unknown(where, 'region', home, known)
            elif home not in regions:
                self.add(
                    where,
                    f'region {home!r} has no target of this service; '
                    f'targets are in: {", ".join(sorted(regions))}',
                )
            if home in homes[:index]:
                self.add(where, f'region {home!r} is given twice')
