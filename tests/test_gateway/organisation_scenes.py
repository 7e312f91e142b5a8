"""Configurations with organisations, and checks of what targets received."""

import asyncio
import re

from ragwortchute.gateway import model
from tests.test_gateway import rig as rigs

KEY = 'key-of-acme-7Qx'
OTHER_KEY = 'key-of-globex-2Lm'
KEYS = re.compile('key-of-', re.IGNORECASE)

TENANTS = [
    {'name': 'acme', 'api_keys': [KEY, 'key-of-acme-old']},
    {'name': 'globex', 'api_keys': [OTHER_KEY], 'priority': 0},
]
# Regions of all routes, one route that is public and one of uploads.
ROUTE = {
    'hostname': 'x.example',
    'route_type': 'idempotent',
    'timeout_s': 2,
    'target_latency_s': 0.5,
    'priority': 2,
    'service': 's',
    'attempts': 2,
    'allowed_regions': ['a'],
}
CONFIG = {
    'config_version': 1,
    'routes': [
        {**ROUTE, 'name': 'r', 'path_prefix': '/a/'},
        {**ROUTE, 'name': 'p', 'path_prefix': '/public/', 'public': True},
        {
            **ROUTE,
            'name': 'u',
            'path_prefix': '/up/',
            'route_type': 'upload',
        },
    ],
    'services': [{'name': 's', 'health_path': '/health', 'max_conns': 220}],
    'tenants': TENANTS,
}


def organisation(name='acme', *keys, **fields):
    """Returns an organisation, with `KEY` unless keys are given."""
    return model.Organisation(name, frozenset(keys or (KEY,)), **fields)


def with_organisations(cfg, *organisations):
    """Returns a configuration with a list of organisations."""
    return model.Configuration(
        cfg.version + 1,
        cfg.routes,
        cfg.services,
        cfg.limits,
        {item.name: item for item in organisations},
    )


async def send(address, lines, *, path='/a/x', trailers=(), body=b''):
    """Sends a request with raw header lines, returns the response.

    Args:
        address: IP address and port.
        lines: Header lines beside the usual ones.
        path: Path of the request.
        trailers: Lines of a trailer; the body is sent in chunks then.
        body: Body.
    """
    reader, writer = await asyncio.open_connection(*address)
    head = [
        f'POST {path} HTTP/1.1'.encode(),
        b'Host: x.example',
        b'X-Request-Id: r1',
        b'X-Request-Deadline-Ms: 2000',
        *lines,
    ]
    if trailers:
        head.append(b'Transfer-Encoding: chunked')
        body = b'\r\n'.join((b'1', b'z', b'0', *trailers, b'', b''))
    else:
        head.append(b'Content-Length: %d' % len(body))
    writer.write(b'\r\n'.join((*head, b'', b'')) + body)
    try:
        return await rigs.read_response(reader)
    finally:
        writer.close()


def named(head):
    """Returns the organisations that a target was told, by any spelling.

    It also checks that nothing else of the caller's identity is there.
    """
    assert not KEYS.search(head), head
    names = []
    for line in head.split('\r\n')[1:]:
        name, _, value = line.partition(':')
        name = name.strip().lower().replace('_', '-')
        assert name != 'x-credential', head
        assert not name.startswith('x-ragwortchute'), head
        if name == 'x-tenant':
            names.append(value.strip())
    return names


def address(entry):
    """Returns the address for callers of a host."""
    ip, _, port = entry.caller_address.rpartition(':')
    return ip, int(port)


def assert_no_key(log):
    """Checks that no line of a log has a key."""
    for line in log.lines:
        assert not KEYS.search(repr(line)), line
