"""Tests of `commands`."""
