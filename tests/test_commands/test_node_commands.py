"""Tests of the commands for hosts on the platform."""

from typer import testing

from ragwortchute.commands import main
from tests.test_platform import test_settings

runner = testing.CliRunner()

FIRST_LOG = (
    '{"t":2.0,"host":"h1","event":"request","id":"abc","status":200}\n'
    '{"t":1.5,"host":"h1","event":"send","id":"other","target":"abc"}\n'
    '{"t":2.5,"host":"h1","event":"requ'
)
SECOND_LOG = '  0.25 h2 {"t":1.0,"host":"h2","event":"relay","id":"abc"}\n'


class TestTrace:
    """All log lines of a relayed request must be found, in order of time."""

    def run(self, tmp_path, request_id):
        files = []
        for number, text in enumerate((FIRST_LOG, SECOND_LOG)):
            files.append(tmp_path / f'{number}.log')
            files[-1].write_text(text)
        return runner.invoke(main.app, ['trace', request_id, *map(str, files)])

    def test_lines_of_all_hosts_in_order(self, tmp_path):
        result = self.run(tmp_path, 'abc')
        assert result.exit_code == 0
        lines = result.stdout.splitlines()
        assert ['"relay"' in lines[0], '"request"' in lines[1]] == [True, True]
        assert len(lines) == 2

    def test_reason_for_leaving_the_failure_domain_is_shown(self, tmp_path):
        file = tmp_path / 'host.log'
        file.write_text(
            '{"t":1.0,"host":"h1","event":"send","id":"abc","target":"t1",'
            '"left":"local-full"}\n'
        )
        result = runner.invoke(main.app, ['trace', 'abc', str(file)])
        assert '"left":"local-full"' in result.stdout

    def test_unknown_request(self, tmp_path):
        assert self.run(tmp_path, 'nobody').exit_code == 1

    def test_missing_file(self, tmp_path):
        result = runner.invoke(main.app, ['trace', 'a', str(tmp_path / 'no')])
        assert result.exit_code == 2


class TestCheck:
    """An invalid settings file must be detected before a roll-out."""

    def check(self, tmp_path, text):
        file = tmp_path / 'local.conf'
        file.write_text(text)
        return runner.invoke(main.app, ['node', 'check', str(file)])

    def test_valid_settings_are_printed(self, tmp_path):
        result = self.check(tmp_path, test_settings.SETTINGS)
        assert result.exit_code == 0
        assert '10.200.1.7:8142' in result.stdout

    def test_error_names_the_invalid_setting(self, tmp_path):
        result = self.check(tmp_path, test_settings.SETTINGS + 'zone=x')
        assert result.exit_code == 2
        assert 'zone' in result.output
