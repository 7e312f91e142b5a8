"""Adapter to the users' platform: translates its settings, store and wire.

Nothing outside this folder knows the platform's names, and nothing in it
decides: decisions, state and recovery are in `ragwortchute.gateway`.
"""
