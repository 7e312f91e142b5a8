"""Tests of the pauses that targets ask a host for."""

import pytest

from ragwortchute.gateway.selection import pauses
from ragwortchute.gateway.selection import target_statements
from ragwortchute.platform import feeds
from tests.test_gateway import rig as rigs

ENTRY = feeds.decode_target(
    't',
    b'{"address":"127.0.0.1:1","info":{"service":"svc","config_version":"v1",'
    b'"zone":"a1","slots":1},"status":{"state":"ready","seq":1,'
    b'"warmup_left_s":0},"born":1}',
)
KEY = target_statements.target_key(ENTRY)


class TestPauses:
    """Decisions on sends during a pause and after it."""

    @pytest.fixture
    def pauses(self):
        return pauses.Pauses(rigs.MemoryLog())

    def test_shorter_pause_does_not_end_a_longer_one(self, pauses):
        pauses.start(ENTRY, 9.0, 100.0)
        pauses.start(ENTRY, 1.0, 101.0)
        assert pauses.wait_s(KEY, 102.0) == 7.0
        assert pauses.left_s(KEY, 102.0) == 7.0

    def test_served_request_ends_the_trial(self, pauses):
        pauses.start(ENTRY, 1.0, 100.0)
        pauses.record_send(KEY, 101.0)
        assert pauses.wait_s(KEY, 101.1) > 0
        pauses.note_served(KEY, 101.1)
        assert pauses.wait_s(KEY, 101.1) == 0.0

    def test_answer_of_an_earlier_request_does_not_end_a_pause(self, pauses):
        pauses.start(ENTRY, 1.0, 100.0)
        pauses.note_served(KEY, 100.5)
        assert pauses.wait_s(KEY, 100.5) == 0.5

    def test_new_pause_replaces_a_trial(self, pauses):
        pauses.start(ENTRY, 1.0, 100.0)
        pauses.record_send(KEY, 101.0)
        pauses.start(ENTRY, 0.2, 101.1)
        assert pauses.wait_s(KEY, 101.1) == pytest.approx(0.2)

    def test_old_pause_is_forgotten(self, pauses):
        pauses.start(ENTRY, 1.0, 100.0)
        pauses.record_send(KEY, 300.0)
        pauses.forget_old(300.0)
        assert pauses.wait_s(KEY, 300.0) == 0.0
