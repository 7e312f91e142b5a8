"""Tests of `dispatch`."""
