"""A case of the review."""
