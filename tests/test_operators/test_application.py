"""Tests of the application that serves operators."""

import json

import msgspec
import pytest
from returns import result

from ragwortchute import calls
from ragwortchute import clock as clock_lib
from ragwortchute import documents
from ragwortchute import operators
from ragwortchute import scraping
from ragwortchute.callers import application as caller_application
from ragwortchute.dispatch import dispatcher
from ragwortchute.operators import application
from ragwortchute.operators import metrics as metrics_lib
from tests import path_fakes

TOKEN = 'operator-token-0123456789'
DEPLOYMENT_KEY = 'deployment-key-0123456789'


class FakeConsole(operators.Console):
    """Console with one document, failure domain and target."""

    def __init__(self) -> None:
        self.orders: list[tuple[str, documents.DomainState]] = []

    def status(self):
        return operators.HostStatus(
            'h1',
            'luzon',
            'luzon-makati',
            7,
            True,
            False,
            {'billing': operators.DocumentStatus(3, 1.5)},
            {'luzon-makati': operators.DomainStatus(documents.DomainState.IN)},
            operators.ViewStatus(4, 'h1', ('h1', 'h2')),
        )

    def targets(self, service=''):
        return [
            operators.TargetStatus(
                service, 't1', 'luzon-makati', 'warm', 4, 2, 1, 3, 9.5
            )
        ]

    def explain(self, service, method, path, organisation):
        return {'service': service, 'method': method, 'path': path}

    async def order(self, failure_domain, state):
        if failure_domain == 'none':
            return result.Failure(
                calls.Refusal(calls.Outcome.NOT_RUN, 'no-domain', 'order', 404)
            )
        self.orders.append((failure_domain, state))
        return result.Success(
            operators.OrderAccepted(failure_domain, state, False)
        )


class Response(msgspec.Struct):
    """Status and body of a response."""

    status: int
    text: str

    def json(self):
        return json.loads(self.text)


class AsgiClient:
    """Sends requests to an ASGI application without a socket."""

    def __init__(self, app, token):
        self.app = app
        self.token = token

    async def get(self, path, method='GET'):
        path, _, query = path.partition('?')
        sent = []

        async def receive():
            return {'type': 'http.request', 'body': b''}

        async def send(message):
            sent.append(message)

        headers = []
        if self.token:
            headers = [(b'authorization', f'Bearer {self.token}'.encode())]
        scope = {
            'type': 'http',
            'method': method,
            'path': path,
            'query_string': query.encode(),
            'headers': headers,
        }
        await self.app(scope, receive, send)
        body = b''.join(message.get('body', b'') for message in sent)
        return Response(sent[0]['status'], body.decode())

    async def post(self, path):
        return await self.get(path, 'POST')


def make_client(dumps=None, token=TOKEN):
    metrics = scraping.Metrics()
    app = caller_application.CallerApplication(
        directory=path_fakes.FakeDirectory(),
        dispatch=None,
        recorder=path_fakes.FakeRecorder(),
        clock=clock_lib.SystemClock(),
    )
    app.refused = {'shed': 2, 'forged by a caller': 1}
    app.durations.add(0.003)
    metrics_lib.add_call_path(
        metrics, app, dispatcher.DispatchCounts(retries=5)
    )
    scraping.add_process(metrics)
    return AsgiClient(
        application.OperatorApplication(
            token=TOKEN,
            console=FakeConsole(),
            metrics=metrics,
            dumps=dumps or {'callers': app.dump},
            secrets=(DEPLOYMENT_KEY,),
        ),
        token,
    )


class TestAccess:
    """Only operators with the token may read state or give orders."""

    @pytest.mark.parametrize('token', ['', 'wrong', TOKEN + 'x', TOKEN[:-1]])
    @pytest.mark.parametrize(
        'path', ['/status', '/dump', '/explain', '/targets', '/metrics']
    )
    async def test_missing_or_wrong_token_is_refused(self, token, path):
        """Guards against state that can be read without the token."""
        response = await make_client(token=token).get(path)
        assert response.status == 401
        assert 'h1' not in response.text

    async def test_order_needs_the_token(self):
        """Guards against orders given without the token."""
        response = await make_client(token='').post('/domains/luzon-makati/out')
        assert response.status == 401

    async def test_dashboard_holds_no_state(self):
        """Guards against state in the page, which needs no token."""
        response = await make_client(token='').get('/')
        assert response.status == 200
        assert 'luzon' not in response.text


class TestAnswers:
    """Tests of the answers of each path."""

    async def test_status(self):
        """Guards against a status that differs from the documented form."""
        assert (await make_client().get('/status')).json() == {
            'host': 'h1',
            'region': 'luzon',
            'failure_domain': 'luzon-makati',
            'incarnation': 7,
            'ready': True,
            'leaving': False,
            'documents': {'billing': {'version': 3, 'since': 1.5}},
            'domains': {'luzon-makati': {'state': 'in', 'damped_until': 0.0}},
            'view': {'epoch': 4, 'leader': 'h1', 'members': ['h1', 'h2']},
        }

    async def test_targets_and_explain(self):
        """Guards against query parameters that are not passed on."""
        client = make_client()
        targets = (await client.get('/targets?service=billing')).json()
        assert targets[0]['service'] == 'billing'
        explanation = (
            await client.get('/explain?service=billing&method=put&path=/a')
        ).json()
        assert explanation == {
            'service': 'billing',
            'method': 'PUT',
            'path': '/a',
        }
        assert (await client.get('/explain')).status == 400

    async def test_orders(self):
        """Guards against orders that are lost or misread."""
        client = make_client()
        response = await client.post('/domains/luzon-makati/out')
        assert response.json()['state'] == 'out'
        assert (await client.post('/domains/none/in')).status == 404
        assert (await client.post('/domains/luzon-makati/off')).status == 404
        assert (await client.get('/domains/luzon-makati/out')).status == 405

    async def test_dump_has_no_secrets(self):
        """Guards against secrets, bodies and keys in a dump."""
        call = path_fakes.make_call(
            clock_lib.SystemClock(),
            body=b'card 4111',
            key='request-key',
            origin_token='origin-tok',
        )
        dumps = {
            'calls': lambda: {'running': [call], 'keys': 3},
            'other': lambda: {
                'nested': [{'deployment_key': 'abc', 'text': DEPLOYMENT_KEY}]
            },
        }
        client = make_client(dumps)
        text = (await client.get('/dump')).text
        for secret in ('card', 'Y2FyZ', 'request-key', 'origin-tok', 'abc'):
            assert secret not in text
        assert DEPLOYMENT_KEY not in text
        assert json.loads(text)['calls']['keys'] == 3
        assert set((await client.get('/dump?part=calls')).json()) == {'calls'}
        assert (await client.get('/dump?part=none')).status == 404

    async def test_metrics(self):
        """Guards against label values chosen by callers."""
        text = (await make_client().get('/metrics')).text
        assert 'ragwortchute_refusals_total{reason="shed"} 2' in text
        assert 'ragwortchute_refusals_total{reason="other"} 1' in text
        assert 'forged' not in text
        assert 'within_milliseconds_total{bound="5"} 1' in text
        assert 'ragwortchute_attempts_total{kind="retries"} 5' in text

    async def test_redaction_is_bounded(self):
        """Guards against endless recursion on a value that contains itself."""
        value = {'a': 1}
        value['self'] = value
        assert len(msgspec.json.encode(application.redact(value))) < 1000
