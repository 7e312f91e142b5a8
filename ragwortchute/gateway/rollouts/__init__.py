"""Rollouts: moves services to new software versions and judges these."""
