"""Admission of requests by urgency when a service is nearly full.

Each host decides on its own, from the readings that its probes return. Nothing
is sent between hosts, and nothing is decided while there is room.
"""
