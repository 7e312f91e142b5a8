"""Tests of the commands that query entry hosts or send calls."""

import json
import shlex

import pytest
from returns import result
from typer import testing

from ragwortchute import calls
from ragwortchute.commands import call_commands
from ragwortchute.commands import main
from tests.test_commands import servers

TOKEN = 'a-token-of-sixteen'


@pytest.fixture
def hosts():
    found = [servers.FakeHost('m1'), servers.FakeHost('m2')]
    yield found
    for host in found:
        host.stop()


def run(line, *hosts):
    """Returns exit code, output and error output of a command line."""
    env = {
        'RAGWORTCHUTE_OPERATOR_URL': ' '.join(host.url for host in hosts),
        'RAGWORTCHUTE_OPERATOR_TOKEN': TOKEN,
        'RAGWORTCHUTE_CALLER_URLS': 'http://127.0.0.1:1',
    }
    found = testing.CliRunner().invoke(main.app, shlex.split(line), env=env)
    return found.exit_code, found.stdout, found.stderr


class TestStatus:
    """A version must not be reported in force before every host has it."""

    def test_wait_shows_progress_until_all_hosts_have_it(self, hosts):
        hosts[1].versions = [3, 3, 4]
        hosts[0].versions = [3, 5]
        code, _, progress = run('status --wait dispatch=4', *hosts)
        assert code == 0
        counts = [line.split()[3] for line in progress.splitlines()]
        assert counts == ['0', '1', '2']

    def test_wait_timeout_has_its_own_exit_code(self, hosts):
        line = 'status --wait dispatch=4 --timeout-s 0'
        code, _, shown = run(line, hosts[0])
        assert code == 6
        assert hosts[0].url in shown
        assert 'not asked, but in the view: m2' in shown

    def test_unreachable_host_counts_as_missing(self, hosts):
        hosts[1].stop()
        code, shown, _ = run('status --output json', *hosts)
        assert code == 4
        assert [s['status'] is None for s in json.loads(shown)] == [0, 1]
        line = 'status --wait dispatch=3 --timeout-s 0'
        assert run(line, *hosts)[0] == 6

    def test_wrong_token_is_not_reported_as_an_outage(self, hosts):
        hosts[0].answers['GET /status'] = (401, {'detail': 'token is wrong'})
        code, _, shown = run('status', *hosts)
        assert code == 7
        assert shown.splitlines()[0].split(': ')[-1].startswith('token is')

    def test_table_shows_domains_that_are_out(self, hosts):
        _, shown, _ = run('status', hosts[0])
        row = shown.splitlines()[1].split()
        assert row[-2:] == ['dispatch=3', 'luzon-pasig']


class TestDomain:
    """The exit code must tell whether an order was accepted."""

    def test_order_and_list(self, hosts):
        path = '/domains/luzon-makati/out'
        hosts[0].answers[f'POST {path}'] = (200, {})
        assert run('domain out luzon-makati', hosts[0])[0] == 0
        assert hosts[0].seen == [('POST', path, f'Bearer {TOKEN}')]
        _, shown, _ = run('domain list', hosts[0])
        row = shown.splitlines()[1].split()
        assert row[:3] == ['luzon-makati', 'in', '1970-01-01']

    @pytest.mark.parametrize(
        ('answer', 'expected'),
        [(None, 5), ((401, {}), 7), ((503, {'detail': 'store down'}), 7)],
    )
    def test_failures_have_exit_codes(self, hosts, answer, expected):
        hosts[0].answers['POST /domains/luzon-makati/in'] = answer
        code, _, shown = run('domain in luzon-makati', hosts[0])
        assert code == expected
        assert TOKEN not in shown
        assert len(hosts[0].seen) == 1

    def test_host_that_is_down(self, hosts):
        hosts[0].stop()
        assert run('domain out luzon-makati', hosts[0])[0] == 4


class TestReads:
    """Queries must reach the host as typed, and answers be printed safely."""

    def test_explain_encodes_the_query(self, hosts):
        hosts[0].answers['GET /explain'] = (200, {'route': 'r', 'homes': []})
        line = "explain dispatch get '/a b?c=d&e' --tenant 'x&y'"
        code, shown, _ = run(line, hosts[0])
        assert code == 0
        assert hosts[0].seen[0][1] == (
            '/explain?service=dispatch&method=GET&'
            'path=%2Fa+b%3Fc%3Dd%26e&tenant=x%26y'
        )
        assert shown.splitlines()[0].split() == ['route', 'r']

    def test_control_characters_do_not_reach_the_terminal(self, hosts):
        hosts[0].answers['GET /targets'] = (200, [{'name': 'a\x1b[2Jb'}])
        _, shown, _ = run('targets --service x', hosts[0])
        assert shown.splitlines() == ['NAME', 'a?[2Jb']
        assert hosts[0].seen[0][1] == '/targets?service=x'

    def test_missing_url_and_malformed_wait_are_usage_errors(self, hosts):
        assert run('dump')[0] == 2
        assert run('status --wait dispatch', hosts[0])[0] == 2


class TestCallsSend:
    """The exit code must tell whether the call may have run."""

    @pytest.mark.parametrize(
        ('outcome', 'expected'),
        [(None, 0), ('not-run', 1), ('unknown', 5), ('ran', 7)],
    )
    def test_exit_code(self, monkeypatch, outcome, expected):
        seen = []

        class Client:
            async def call(self, *args, **kwargs):
                seen.append((args, kwargs))
                if outcome is None:
                    return result.Success(calls.Answer(200, [], b'hi'))
                state = calls.Outcome(outcome)
                return result.Failure(calls.Refusal(state, 'r', 's', 503))

            async def close(self):
                pass

        monkeypatch.setattr(
            call_commands, 'make_client', lambda urls, tenant: Client()
        )
        line = "calls send dispatch post /a --body x --header 'A-B: c'"
        code, shown, _ = run(f'{line} --output json')
        assert code == expected
        json.loads(shown)
        args, kwargs = seen[0]
        assert args == ('dispatch', 'POST', '/a')
        assert (kwargs['body'], kwargs['headers']) == (b'x', [('a-b', 'c')])

    def test_no_host_answers(self):
        """Guards against another outcome than `not-run` if nothing was sent."""
        code, shown, _ = run('calls send dispatch POST /a --timeout-s 0.2')
        assert code == 1
        assert 'not-run' in shown
