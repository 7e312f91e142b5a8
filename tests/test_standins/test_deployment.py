"""Tests of the stand-in deployment."""

from standins import deployment


class TestFreePort:
    """A host never starts if its port was also given to another listener."""

    def test_no_port_is_given_twice(self):
        # As in a deployment, nothing listens on the ports until all of them
        # have been chosen.
        ports = [deployment.free_port() for _ in range(200)]
        assert len(set(ports)) == len(ports)
