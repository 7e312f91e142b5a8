"""Tests of the time that the look-up of a route takes."""

from ragwortchute.gateway import model
from ragwortchute.gateway import routing


class CountingDict(dict):
    """Counts its look-ups."""

    looked_up = 0

    def get(self, key, default=None):
        self.looked_up += 1
        return super().get(key, default)


class TestRoutes:
    """A path of many slashes must not take a look-up for each of them.

    16,000 took 31 ms, in which no other caller was served.
    """

    def table(self):
        route = model.Route('r', 'x', '/read/', True, 1.0, 1.0, 0, (), 1)
        table = routing.RouteTable((route,))
        prefixes = CountingDict(table._by_host['x'])
        table._by_host['x'] = prefixes
        return table, prefixes

    def test_look_ups_are_bounded(self):
        table, prefixes = self.table()
        assert table.match('x', '/' * 16_000) is None
        assert prefixes.looked_up <= len('/read/')

    def test_long_path_below_a_prefix_is_found(self):
        table, _ = self.table()
        assert table.match('x', '/read/' + '/' * 16_000) is not None
        assert table.match('x', '/read/x') is not None
        assert table.match('x', '/read') is None
