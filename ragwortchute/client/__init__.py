"""Caller client: address queries, resends and fail-over."""
