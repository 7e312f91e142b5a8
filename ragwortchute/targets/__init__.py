"""What this host knows of each target."""
