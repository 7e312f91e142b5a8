"""Choice of a target for a request, and what is known of targets."""
