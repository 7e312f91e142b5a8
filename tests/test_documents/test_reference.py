"""Tests of the generated reference pages."""

import pathlib

from ragwortchute import config
from ragwortchute.documents import reference

DOCS = pathlib.Path(__file__).parents[2] / 'docs'


class TestReference:
    """Reference pages must not be outdated, or they mislead operators."""

    def test_committed_pages_are_up_to_date(self):
        assert reference.main(['--check', '--docs', str(DOCS)]) == 0

    def test_outdated_page_is_reported_and_rewritten(self, tmp_path):
        docs = ['--docs', str(tmp_path)]
        assert reference.main(['--check', *docs]) == 1
        assert reference.main(docs) == 0
        assert reference.main(['--check', *docs]) == 0

    def test_every_setting_is_listed(self):
        page = reference.settings_page()
        assert all(s.variable in page for s in config.SETTINGS)
