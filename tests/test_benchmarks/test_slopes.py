"""Tests of the fits, plots and fleet measurements of the slope benchmark."""

import re

import pytest

from benchmarks import slope_fleet
from benchmarks import slope_host
from benchmarks import slopes


def make_results() -> slopes.Results:
    points = [(1.0, 2.0), (2.0, 4.0), (3.0, 7.0), (4.0, 8.0)]
    return slopes.Results(
        command='command',
        seed=1,
        python='3.11',
        cores=1,
        load=0.0,
        seconds=1.0,
        design_hosts=13,
        series={
            name: slopes.fit(points, x_label, y_label)
            for name, (_, x_label, y_label) in slopes.SERIES.items()
        },
        store=[],
        comparison=slope_host.Comparison(8, *[1.0] * 8),
    )


class TestFit:
    """Guards against wrong fits, which pages use to extrapolate."""

    def test_points_on_a_line_have_no_residual(self):
        line = slopes.fit([(10, 25), (0, 5), (20, 45), (30, 65)])
        assert line.slope == pytest.approx(2)
        assert line.intercept == pytest.approx(5)
        assert line.residual == pytest.approx(0, abs=1e-9)
        assert line.bend == pytest.approx(1)

    def test_points_are_sorted_by_size(self):
        line = slopes.fit([(3, 3), (1, 1), (2, 2), (0, 0)])
        assert [x for x, _ in line.points] == [0, 1, 2, 3]

    def test_bend_exceeds_1_if_growth_is_faster_than_linear(self):
        line = slopes.fit([(x, x * x) for x in range(5)])
        assert line.bend == pytest.approx(3)
        assert line.residual > 0

    def test_fewer_than_four_points_raise_value_error(self):
        with pytest.raises(ValueError, match='3 points'):
            slopes.fit([(0, 0), (1, 1), (2, 2)])


class TestPlot:
    """Guards against plots that differ for equal results."""

    def test_equal_results_give_equal_files_without_a_date(self, tmp_path):
        results = make_results()
        first, second = tmp_path / 'a', tmp_path / 'b'
        for out in (first, second):
            out.mkdir()
            slopes.plot(results, out)
        names = sorted(file.name for file in first.iterdir())
        assert len(names) == len({g for g, _, _ in slopes.SERIES.values()})
        for name in names:
            content = (first / name).read_bytes()
            assert content == (second / name).read_bytes()
            assert not re.search(rb'<dc:date>', content)


class TestFleet:
    """Guards against measuring a fleet that has not started completely."""

    def test_all_documents_are_in_force_within_7_s_on_every_host(self):
        points = {p.series: p.y for p in slope_fleet.in_force(6)}
        assert 0 < points['hosts-in-force-max'] <= 7
        assert 0 < points['hosts-in-force-leader-lost-max'] <= 7

    def test_store_calls_are_counted_by_kind(self):
        points = {p.series: p.y for p in slope_fleet.by_changes(0, 4)}
        assert points['changes-store'] > 0
