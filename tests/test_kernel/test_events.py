"""Tests of the event table."""

import pytest

from ragwortchute import errors
from ragwortchute import events


class TestEventTable:
    """A failing handler must not affect the emitter or other handlers."""

    def test_failing_handler_does_not_stop_the_others(self):
        table = events.EventTable()
        seen = []

        def fail(view):
            raise ValueError(view)

        table.connect('view-changed', fail)
        table.connect('view-changed', lambda view: seen.append(view))
        table.emit('view-changed', view=3)
        assert seen == [3]

    def test_undeclared_event_is_refused(self):
        with pytest.raises(errors.RegistryError, match='unknown event'):
            events.EventTable().connect('view-change', print)

    def test_wrong_arguments_are_refused(self):
        with pytest.raises(errors.RegistryError, match='takes'):
            events.EventTable().emit('view-changed', views=1)
