"""Benchmarks and long-running checks, run by hand or by `make`."""
