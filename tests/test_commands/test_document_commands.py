"""Tests of `ragwortchute doc` with the stand-in for the object API."""

import json

import msgspec
import pytest
from typer import testing

from ragwortchute.commands import main
from ragwortchute.documents import checks
from tests.test_commands import servers
from tests.test_documents import samples


@pytest.fixture(autouse=True)
def known_balancers(monkeypatch):
    monkeypatch.setattr(
        checks, 'registered_balancers', lambda: samples.BALANCERS
    )


@pytest.fixture
def store():
    api = servers.ThreadedObjectApi()
    yield api
    api.stop()


@pytest.fixture
def doc(store, tmp_path):
    """Returns a function that runs `doc` and returns exit code and output."""

    def run(*args, file=None, stdin=None):
        words = ['doc', *args]
        if file is not None:
            path = tmp_path / 'document.yaml'
            path.write_text(file)
            words.append(str(path))
        found = testing.CliRunner().invoke(
            main.app,
            words,
            input=stdin,
            env={
                'RAGWORTCHUTE_STORE_URL': store.url,
                'RAGWORTCHUTE_AUTHOR': 'ann',
            },
        )
        return found.exit_code, found.output

    return run


def apply_document(doc, text):
    code, shown = doc('apply', '--output', 'json', file=text)
    assert code == 0, shown
    return json.loads(shown)


class TestCheck:
    """An invalid file must never be reported as valid."""

    def test_faults_are_listed_with_paths(self, doc):
        text = samples.SERVICE_YAML.replace('slots: 4', 'slots: 0')
        code, shown = doc('check', file=text)
        assert code == 1
        assert 'targets[0].slots' in shown
        assert 'targets[1].slots' in shown
        assert doc('check', file=samples.SERVICE_YAML) == (0, '1 valid\n')

    def test_standard_input_and_missing_file(self, doc):
        assert doc('check', '-', stdin=samples.SERVICE_YAML)[0] == 0
        code, shown = doc('check', '/nowhere.yaml')
        assert code == 2
        assert 'No such file' in shown

    def test_store_gives_the_deployment_document(self, doc):
        apply_document(doc, samples.DEPLOYMENT_YAML)
        text = samples.SERVICE_YAML.replace('visayas-cebu', 'visayas-cebo')
        code, shown = doc('check', file=text)
        assert code == 1
        assert "did you mean 'visayas-cebu'" in shown


class TestApply:
    """A change must not overwrite another, nor be applied twice on a retry."""

    def test_edit_over_another_change_is_a_conflict(self, doc):
        apply_document(doc, samples.SERVICE_YAML)
        _, mine = doc('get', 'dispatch')
        theirs = mine.replace('max_queue: 256', 'max_queue: 10')
        apply_document(doc, theirs)
        edited = mine.replace('max_queue: 256', 'max_queue: 20')
        code, shown = doc('apply', file=edited)
        assert code == 3
        assert '~ max_queue: 10 -> 20' in shown
        assert 'max_queue: 10' in doc('get', 'dispatch')[1]
        assert doc('apply', '--replace', file=edited)[0] == 0

    def test_lost_answer_is_resolved(self, doc, store):
        store.set_faults(lose_answers=1)
        first = apply_document(doc, samples.SERVICE_YAML)
        assert store.api.counters.put == 2  # the document and its history
        again = apply_document(doc, samples.SERVICE_YAML)
        assert again['version'] == first['version']

    def test_number_of_store_calls(self, doc, store):
        """Guards against extra calls, which count towards the API's limits."""
        apply_document(doc, samples.DEPLOYMENT_YAML)
        deployment = msgspec.structs.asdict(store.api.counters)
        assert deployment == {'get': 2, 'list': 2, 'put': 2, 'watch': 0}
        apply_document(doc, samples.SERVICE_YAML)
        both = msgspec.structs.asdict(store.api.counters)
        assert both == {'get': 6, 'list': 2, 'put': 4, 'watch': 0}

    def test_store_that_is_down_changes_nothing(self, doc, store):
        store.set_faults(down=True)
        code, shown = doc('apply', file=samples.SERVICE_YAML)
        assert code == 4
        assert 'nothing changed' in shown

    def test_dry_run_writes_nothing(self, doc, store):
        code, _ = doc('apply', '--dry-run', file=samples.SERVICE_YAML)
        assert (code, store.api.counters.put) == (0, 0)

    def test_domain_that_is_out_stays_out(self, doc, store):
        """Guards against an old file returning a failure domain to service."""
        apply_document(doc, samples.DEPLOYMENT_YAML)
        current = store.api.store.peek('documents/_deployment')
        value = json.loads(current.value)
        value['failure_domains']['luzon-makati']['state'] = 'out'
        store.api.store.seed(
            'documents/_deployment', json.dumps(value).encode()
        )
        text = samples.DEPLOYMENT_YAML + 'link_budget_bytes_per_s: 5\n'
        assert 'stays out' in apply_document(doc, text)['notes'][0]
        stored = json.loads(store.api.store.peek(current.name).value)
        assert stored['failure_domains']['luzon-makati']['state'] == 'out'
        assert stored['link_budget_bytes_per_s'] == 5

    def test_failure_domain_in_use_cannot_be_removed(self, doc):
        apply_document(doc, samples.DEPLOYMENT_YAML)
        apply_document(doc, samples.SERVICE_YAML)
        text = samples.DEPLOYMENT_YAML.replace('visayas-cebu', 'visayas-x')
        code, shown = doc('apply', file=text)
        assert code == 1
        assert "service 'dispatch'" in shown


class TestHistory:
    """An earlier version must be restorable from the history alone."""

    def test_earlier_version_can_be_applied_again(self, doc):
        old = apply_document(doc, samples.SERVICE_YAML)
        apply_document(doc, samples.SERVICE_YAML + 'max_queue: 9\n')
        code, shown = doc('history', 'dispatch', '--output', 'json')
        rows = json.loads(shown)
        assert [row['author'] for row in rows] == ['ann', 'ann']
        assert rows[1]['change'] == old['change_id']
        _, text = doc('get', 'dispatch', '--change', old['change_id'])
        assert doc('diff', file=text) == (1, '~ max_queue: 9 -> 256\n')
        apply_document(doc, text)
        assert doc('diff', file=text) == (0, '')

    def test_document_without_history(self, doc):
        code, shown = doc('history', 'dispatch')
        assert code == 0
        assert len(shown.splitlines()) == 1

    def test_unknown_change_names_the_known_ones(self, doc):
        change = apply_document(doc, samples.SERVICE_YAML)['change_id']
        code, shown = doc('get', 'dispatch', '--change', 'x')
        assert code == 1
        assert change in shown
