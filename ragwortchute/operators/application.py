"""ASGI application that serves operators."""

from collections import abc
import hmac
import importlib.resources
import re
from typing import Any

import msgspec
from returns import result
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from ragwortchute import calls
from ragwortchute import documents
from ragwortchute import operators
from ragwortchute import scraping
from ragwortchute.callers import application as caller_application

_REDACTED_TEXT = '(redacted)'
# Matches names of fields that hold secrets, bodies or idempotency keys.
_REDACTED_FIELD_PATTERN = re.compile(
    r'(^|_)(key|keys|token|tokens|secret|secrets|body|bodies|password|'
    r'authorization)$'
)
_MAX_DEPTH = 12


class OperatorApplication:
    """Serves the paths for operators; all but the dashboard need the token.

    Args:
        token: Bearer token that operators must send.
        console: Answers queries about this host and executes orders.
        metrics: Metrics to render.
        dumps: Functions that return the state of a component, by name.
        secrets: Further values that are redacted in every answer.
    """

    def __init__(
        self,
        *,
        token: str,
        console: operators.Console,
        metrics: scraping.Metrics,
        dumps: abc.Mapping[str, operators.Dump],
        secrets: abc.Iterable[str] = (),
    ) -> None:
        self._token = token.encode()
        self._console = console
        self._metrics = metrics
        self._dumps = dumps
        self._secrets = [s.encode() for s in (*secrets, token) if s]
        self._app = applications.Starlette(routes=self._routes())

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: caller_application.Receive,
        send: caller_application.Send,
    ) -> None:
        """Serves one request; the ASGI entry point."""
        await self._app(scope, receive, send)

    def _routes(self) -> list[routing.Route]:
        protected = (
            ('/status', self._status, 'GET'),
            ('/dump', self._dump, 'GET'),
            ('/explain', self._explain, 'GET'),
            ('/targets', self._targets, 'GET'),
            ('/metrics', self._render_metrics, 'GET'),
            ('/domains/{failure_domain}/{state}', self._order, 'POST'),
        )
        return [
            routing.Route('/', _dashboard, methods=['GET']),
            *(
                routing.Route(
                    path, self._require_token(endpoint), methods=[method]
                )
                for path, endpoint, method in protected
            ),
        ]

    def _require_token(
        self,
        endpoint: abc.Callable[
            [requests.Request], abc.Awaitable[responses.Response]
        ],
    ) -> abc.Callable[[requests.Request], abc.Awaitable[responses.Response]]:
        async def authenticated_endpoint(
            request: requests.Request,
        ) -> responses.Response:
            authorization = request.headers.get('authorization', '')
            scheme, _, token = authorization.partition(' ')
            # Compares in constant time to prevent timing attacks on the token.
            token_matches = hmac.compare_digest(
                token.encode('latin-1'), self._token
            )
            if scheme.lower() != 'bearer' or not token_matches:
                return _problem(
                    401,
                    'unauthorized',
                    'bearer token is missing or wrong',
                    {'www-authenticate': 'Bearer'},
                )
            return await endpoint(request)

        return authenticated_endpoint

    async def _status(self, request: requests.Request) -> responses.Response:
        return self._json(self._console.status())

    async def _dump(self, request: requests.Request) -> responses.Response:
        name = request.query_params.get('part', '')
        if name and name not in self._dumps:
            known = ', '.join(sorted(self._dumps))
            return _problem(
                404, 'no-part', f'part {name!r} is unknown; known: {known}'
            )
        names = [name] if name else sorted(self._dumps)
        return self._json({part: self._dumps[part]() for part in names})

    async def _explain(self, request: requests.Request) -> responses.Response:
        query = request.query_params
        if not query.get('service') or not query.get('path'):
            return _problem(400, 'query', 'service and path are needed')
        return self._json(
            self._console.explain(
                query['service'],
                query.get('method', 'GET').upper(),
                query['path'],
                query.get('tenant', ''),
            )
        )

    async def _targets(self, request: requests.Request) -> responses.Response:
        service = request.query_params.get('service', '')
        return self._json(self._console.targets(service))

    async def _render_metrics(
        self, request: requests.Request
    ) -> responses.Response:
        content, headers = self._metrics.render(
            request.headers.getlist('accept')
        )
        return responses.Response(content, headers=headers)

    async def _order(self, request: requests.Request) -> responses.Response:
        try:
            state = documents.DomainState(request.path_params['state'])
        except ValueError:
            return _problem(404, 'path', 'state is neither out nor in')
        outcome = await self._console.order(
            request.path_params['failure_domain'], state
        )
        if isinstance(outcome, result.Success):
            return self._json(outcome.unwrap())
        refusal = outcome.failure()
        return responses.Response(
            caller_application.encode_problem(refusal),
            refusal.status,
            media_type='application/problem+json',
        )

    def _json(self, value: object) -> responses.Response:
        content = msgspec.json.encode(redact(msgspec.to_builtins(value)))
        for secret in self._secrets:
            content = content.replace(secret, _REDACTED_TEXT.encode())
        return responses.Response(content, media_type='application/json')


def redact(value: object, depth: int = 0) -> object:
    """Returns a copy in which secrets, bodies and keys are redacted.

    Args:
        value: Value made of JSON types.
        depth: Nesting depth of the value; values below `_MAX_DEPTH` are cut
            off.
    """
    if depth > _MAX_DEPTH:
        return '...'
    if isinstance(value, dict):
        return {
            name: _REDACTED_TEXT
            if isinstance(name, str)
            and isinstance(item, str | bytes | list)
            and _REDACTED_FIELD_PATTERN.search(name)
            else redact(item, depth + 1)
            for name, item in value.items()
        }
    if isinstance(value, list | tuple):
        return [redact(item, depth + 1) for item in value]
    return value


async def _dashboard(request: requests.Request) -> responses.Response:
    """Returns the dashboard; its script asks for the token and loads data."""
    page = importlib.resources.files(operators) / 'dashboard.html'
    return responses.HTMLResponse(
        page.read_text(),
        headers={
            'content-security-policy': "default-src 'self' 'unsafe-inline'"
        },
    )


def _problem(
    status: int,
    reason: str,
    detail: str,
    headers: abc.Mapping[str, str] | None = None,
) -> responses.Response:
    refusal = calls.Refusal(
        calls.Outcome.NOT_RUN, reason, 'operators', status, detail
    )
    return responses.Response(
        caller_application.encode_problem(refusal),
        status,
        headers,
        media_type='application/problem+json',
    )
