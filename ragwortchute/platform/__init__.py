"""Adapter to the users' platform: its settings, object store and HTTP headers.

Names that belong to the platform are used only in this package. It contains no
balancing, state or recovery logic; that is in `ragwortchute.gateway`.
"""
