"""Tests of `callers`."""
