"""Stand-ins of the platform, the upstreams and the clients of the cases."""
