"""Tests of the transport between hosts."""
