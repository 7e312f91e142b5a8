"""Tests of the client for callers."""
