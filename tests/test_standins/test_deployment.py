"""Tests of the stand-in deployment."""

from standins import deployment


class TestFreePort:
    """Two listeners with one port leave a host that never starts."""

    def test_no_port_is_given_twice(self):
        # Nothing listens on the ports while they are drawn, as before the
        # hosts of a deployment start.
        ports = [deployment.free_port() for _ in range(200)]
        assert len(set(ports)) == len(ports)
