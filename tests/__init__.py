"""Tests; the directory tree mirrors the package."""
