"""Tests of the commands for configurations."""

import json
import pathlib

import pytest
from typer import testing

from ragwortchute.commands import main
from tests.test_gateway import organisation_scenes as scenes

runner = testing.CliRunner()

SOUND = scenes.CONFIG
WARNING = {**SOUND, 'tenants': []}
ERROR = {**SOUND, 'services': []}


@pytest.fixture
def run(tmp_path):
    """Runs the check of a configuration, or of what stands at its path."""

    def run_check(cfg, *options, **kwargs):
        file = tmp_path / 'main.json'
        if isinstance(cfg, pathlib.Path):
            file = cfg
        else:
            file.write_text(json.dumps(cfg))
        args = ['config', 'check', str(file), *map(str, options)]
        result = runner.invoke(main.app, args, **kwargs)
        assert not scenes.KEYS.search(result.output)
        assert isinstance(result.exception, SystemExit | None)
        return result

    return run_check


class TestCheck:
    """Scripts must be able to tell the results apart by the exit code."""

    @pytest.mark.parametrize(
        ('cfg', 'exit_code', 'last_line'),
        [
            (SOUND, 0, 'no findings'),
            (WARNING, 8, '0 errors, 1 warnings'),
            (ERROR, 1, '3 errors, 0 warnings'),
            ({**ERROR, 'tenants': []}, 1, '3 errors, 1 warnings'),
            ({**SOUND, 'routes': {}}, 1, '1 errors, 0 warnings'),
            ([], 2, 'is no JSON object (step=read)'),
        ],
    )
    def test_exit_code(self, run, cfg, exit_code, last_line):
        result = run(cfg)
        assert result.exit_code == exit_code
        assert result.output.splitlines()[-1].endswith(last_line)
        as_json = run(cfg, '--json')
        assert as_json.exit_code == run(cfg, '--output', 'json').exit_code
        assert as_json.exit_code == exit_code

    def test_json_has_what_the_text_says(self, run, tmp_path):
        old = tmp_path / 'old.json'
        old.write_text(json.dumps(WARNING))
        result = json.loads(run(ERROR, '--against', old, '--json').stdout)
        assert (result['valid'], result['errors']) == (False, 3)
        finding = result['findings'][0]
        assert finding['rule'] == 'unknown-service'
        assert finding['path'] == 'routes[0].service'
        assert finding['severity'] == 'error'
        differences = result['differences']
        assert differences['services']['removed'] == [{'name': 's'}]
        assert {'name': 'acme', 'keys': 2} in differences['tenants']['added']

    def test_memory_of_a_host(self, run):
        cfg = {**SOUND, 'limits': {'max_body_bytes': 100_000_000}}
        result = run(cfg)
        assert (result.exit_code, 'allowed: 0 to ' in result.stdout) == (
            1,
            True,
        )
        assert run(cfg, '--memory-mb', 300).exit_code == 0
        for memory_mb in ('0', 'nan', 'inf', '-1'):
            assert run(cfg, '--memory-mb', memory_mb).exit_code == 2

    @pytest.mark.parametrize('is_old', [False, True])
    @pytest.mark.parametrize(
        ('name', 'message'),
        [('missing', 'No such file'), ('.', 'Is a directory')],
    )
    def test_unreadable_file_is_named(
        self, run, tmp_path, name, message, is_old
    ):
        path = tmp_path / name
        result = run(SOUND, '--against', path) if is_old else run(path)
        assert result.exit_code == 2
        assert f'{path} can not be read: {message}' in result.output

    def test_file_without_permission(self, run, monkeypatch):
        def refuse(path):
            raise PermissionError(13, 'Permission denied', str(path))

        # The tests may run as a user who may read any file.
        monkeypatch.setattr(pathlib.Path, 'read_bytes', refuse)
        result = run(SOUND)
        assert result.exit_code == 2
        assert 'can not be read: Permission denied' in result.output

    def test_standard_input(self, run):
        result = run(pathlib.Path('-'), input=json.dumps(WARNING))
        assert result.exit_code == 8

    def test_many_findings_of_a_rule_are_shortened(self, run):
        route = {**SOUND['routes'][0], 'service': 'x'}
        routes = [{**route, 'path_prefix': f'/{i}/'} for i in range(30)]
        cfg = {**SOUND, 'routes': routes}
        assert run(cfg).stdout.count('[unknown-service]') == 21
        assert run(cfg, '--json').stdout.count('"unknown-service"') == 30

    def test_help_has_examples(self):
        result = runner.invoke(main.app, ['config', 'check', '--help'])
        assert '--against in-force.json' in result.stdout
