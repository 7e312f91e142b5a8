"""Tests of the codecs for the messages between hosts."""
