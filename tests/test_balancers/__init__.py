"""Tests of balancers."""
