"""Tests of the commands that talk to entry hosts."""

import json

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


def run(*words, urls=()):
    env = {
        'RAGWORTCHUTE_OPERATOR_URL': ' '.join(urls),
        'RAGWORTCHUTE_OPERATOR_TOKEN': TOKEN,
        'RAGWORTCHUTE_CALLER_URLS': 'http://127.0.0.1:1',
    }
    found = testing.CliRunner().invoke(main.app, list(words), env=env)
    return found.exit_code, found.stdout, found.stderr


class TestStatus:
    """A version must not look in force before every host has it."""

    def test_wait_shows_progress_until_all_hosts_have_it(self, hosts):
        hosts[1].versions = [3, 3, 4]
        hosts[0].versions = [3, 5]
        code, _, progress = run(
            'status', '--wait', 'dispatch=4', urls=[h.url for h in hosts]
        )
        assert code == 0
        assert [line[:17] for line in progress.splitlines()] == [
            'in force on 0 of ',
            'in force on 1 of ',
            'in force on 2 of ',
        ]

    def test_wait_ends_with_its_own_code(self, hosts):
        code, _, shown = run(
            'status',
            '--wait',
            'dispatch=4',
            '--timeout-s',
            '0',
            urls=[hosts[0].url],
        )
        assert code == 6
        assert hosts[0].url in shown
        assert 'not asked, but in the view: m2' in shown

    def test_host_without_answer_counts_as_missing(self, hosts):
        hosts[1].stop()
        urls = [host.url for host in hosts]
        code, shown, _ = run('status', '--output', 'json', urls=urls)
        assert code == 4
        assert [s['status'] is None for s in json.loads(shown)] == [0, 1]
        wait = ('status', '--wait', 'dispatch=3', '--timeout-s', '0')
        assert run(*wait, urls=urls)[0] == 6

    def test_table_shows_domains_that_are_out(self, hosts):
        _, shown, _ = run('status', urls=[hosts[0].url])
        assert shown.splitlines()[1].split()[-2:] == [
            'dispatch=3',
            'luzon-pasig',
        ]


class TestDomain:
    """An operator must know whether an order was taken."""

    def test_order_and_list(self, hosts):
        hosts[0].answers['POST /domains/luzon-makati/out'] = (200, {})
        code, _, _ = run('domain', 'out', 'luzon-makati', urls=[hosts[0].url])
        assert code == 0
        assert hosts[0].seen == [
            ('POST', '/domains/luzon-makati/out', f'Bearer {TOKEN}')
        ]
        _, shown, _ = run('domain', 'list', urls=[hosts[0].url])
        assert shown.splitlines()[1].split()[:3] == [
            'luzon-makati',
            'in',
            '1970-01-01',
        ]

    @pytest.mark.parametrize(
        ('answer', 'expected'),
        [(None, 5), ((401, {}), 7), ((503, {'detail': 'store down'}), 7)],
    )
    def test_failures_have_codes(self, hosts, answer, expected):
        hosts[0].answers['POST /domains/luzon-makati/in'] = answer
        code, _, shown = run(
            'domain', 'in', 'luzon-makati', urls=[hosts[0].url]
        )
        assert code == expected
        assert TOKEN not in shown
        assert len(hosts[0].seen) == 1

    def test_host_that_is_down(self, hosts):
        hosts[0].stop()
        words = ('domain', 'out', 'luzon-makati')
        assert run(*words, urls=[hosts[0].url])[0] == 4


class TestReads:
    """Queries must reach the host as typed."""

    def test_explain_encodes_the_query(self, hosts):
        hosts[0].answers['GET /explain'] = (200, {'route': 'r', 'homes': []})
        code, shown, _ = run(
            'explain',
            'dispatch',
            'get',
            '/a b?c=d&e',
            '--tenant',
            'x&y',
            urls=[hosts[0].url],
        )
        assert code == 0
        assert hosts[0].seen[0][1] == (
            '/explain?service=dispatch&method=GET&'
            'path=%2Fa+b%3Fc%3Dd%26e&tenant=x%26y'
        )
        assert shown.splitlines()[0].split() == ['route', 'r']

    def test_control_characters_do_not_reach_the_terminal(self, hosts):
        hosts[0].answers['GET /targets'] = (200, [{'name': 'a\x1b[2Jb'}])
        _, shown, _ = run('targets', urls=[hosts[0].url])
        assert shown.splitlines() == ['NAME', 'a?[2Jb']

    def test_missing_url_and_malformed_wait_are_usage_errors(self, hosts):
        assert run('dump')[0] == 2
        words = ('status', '--wait', 'dispatch')
        assert run(*words, urls=[hosts[0].url])[0] == 2


class TestCallsSend:
    """The exit code must tell whether the call may have run."""

    @pytest.mark.parametrize(
        ('outcome', 'expected'),
        [
            (result.Success(calls.Answer(200, [('a', 'b')], b'hi')), 0),
            *(
                (
                    result.Failure(
                        calls.Refusal(calls.Outcome(name), 'r', 's', 503)
                    ),
                    code,
                )
                for name, code in (('not-run', 1), ('unknown', 5), ('ran', 7))
            ),
        ],
    )
    def test_exit_code(self, monkeypatch, outcome, expected):
        seen = []

        class Client:
            async def call(self, *args, **kwargs):
                seen.append((args, kwargs))
                return outcome

            async def close(self):
                pass

        monkeypatch.setattr(
            call_commands, 'make_client', lambda urls, tenant: Client()
        )
        words = ('--body', 'x', '--header', 'A-B: c', '--output', 'json')
        code, shown, _ = run('calls', 'send', 'dispatch', 'post', '/a', *words)
        assert code == expected
        json.loads(shown)
        args, kwargs = seen[0]
        assert args == ('dispatch', 'POST', '/a')
        assert (kwargs['body'], kwargs['headers']) == (b'x', [('a-b', 'c')])
