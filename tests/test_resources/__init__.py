"""Tests of the limits for callers, with real processes."""
