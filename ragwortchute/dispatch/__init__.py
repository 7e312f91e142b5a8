"""The way of one call from admission to its answer."""
