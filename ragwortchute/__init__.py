"""Load balancer for targets whose load shifts within milliseconds."""

__version__ = '0.1.0'
