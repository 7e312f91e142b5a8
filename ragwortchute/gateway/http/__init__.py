"""HTTP/1.1 towards callers, targets, other hosts and the store."""
