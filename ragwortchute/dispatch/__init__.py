"""Dispatch of calls to targets and to other regions."""
