"""Tests of slots."""
