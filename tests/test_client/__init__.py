"""Tests of the caller client."""
