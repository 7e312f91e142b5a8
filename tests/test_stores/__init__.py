"""Tests of `stores`."""
