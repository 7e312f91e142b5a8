"""Tests of the interface for operators."""
