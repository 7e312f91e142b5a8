"""Copies of the objects of the store, and the registration of the host."""
