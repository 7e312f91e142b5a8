"""Account of the memory, connections and descriptors of a host.

Load: callers outside our control that send many requests without an end, keep
many connections, or read their responses slowly.
"""
