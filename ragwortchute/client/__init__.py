"""Client for callers: address queries, resends and fail-over."""
