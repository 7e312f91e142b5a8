"""Tests of `documents`."""
