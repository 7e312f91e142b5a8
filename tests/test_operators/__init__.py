"""Tests of `operators`."""
