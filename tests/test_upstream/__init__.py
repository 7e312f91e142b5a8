"""Tests of `upstream`."""
