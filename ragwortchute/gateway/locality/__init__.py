"""Routing across failure domains.

Decides which requests leave the failure domain of this host, and to which
domains; docs/design/locality.md describes the decisions.
"""
