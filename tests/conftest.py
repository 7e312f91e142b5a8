"""Shared test configuration: Hypothesis profile and known failures."""

import gc
import os
import pathlib

import hypothesis
import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, print_blob=True
)
# A long run by hand: other examples each time.
hypothesis.settings.register_profile(
    'fuzz', max_examples=250_000, deadline=None, print_blob=True
)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


@pytest.fixture(scope='module', autouse=True)
def freeze_heap():
    """Keeps full garbage collections during a module of tests short.

    Objects of earlier modules stay alive until the run ends. A collection that
    visits all of them holds up the event loop for longer than some timeouts.
    """
    gc.collect()
    gc.freeze()


def known_red() -> list[str]:
    """Returns the node ids of the tests listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    ]


def pytest_collection_modifyitems(items):
    """Marks the tests of KNOWN-RED.txt as expected to fail."""
    red = set(known_red())
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))


def pytest_terminal_summary(terminalreporter):
    """Prints the tests listed in KNOWN-RED.txt."""
    for nodeid in known_red():
        terminalreporter.write_line(f'known red: {nodeid}')
