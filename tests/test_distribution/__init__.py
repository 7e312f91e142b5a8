"""Tests of the distribution."""
