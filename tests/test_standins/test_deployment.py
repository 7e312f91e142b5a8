"""Tests of the stand-in deployment."""

from standins import deployment


class TestFreePort:
    """A host never starts if its port was also given to another listener."""

    def test_no_port_is_given_twice(self):
        # As in a deployment, nothing listens on the ports until all of them
        # have been chosen.
        ports = [deployment.free_port() for _ in range(200)]
        assert len(set(ports)) == len(ports)

    def test_host_gets_different_ports_on_an_address_of_its_own(self):
        # The kernel's choice for port 0 is the one just closed once in about
        # 20,000 pairs; then the second listener of a host cannot start.
        ports = [deployment.free_port('127.2.0.1') for _ in range(2_000)]
        assert len(set(ports)) == len(ports)
