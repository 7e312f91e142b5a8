"""Tests of whole deployments with host processes."""
