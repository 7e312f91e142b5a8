"""States of the targets, as seen by this host."""
