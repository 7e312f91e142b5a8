"""Tests of the command line of the fault matrix."""

from click import testing

from benchmarks import fault_matrix


class TestOnly:
    """A name that no cell has must give a clear error."""

    def test_unknown_name_is_an_error_of_usage(self):
        result = testing.CliRunner().invoke(
            fault_matrix.main, ['--only', 'no such cell', '--no-write']
        )
        assert result.exit_code == 2
        assert "no cell has 'no such cell' in its name" in result.output
