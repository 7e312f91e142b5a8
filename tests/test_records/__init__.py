"""Tests of records."""
