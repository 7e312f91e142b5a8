"""Tests of `standins`."""
