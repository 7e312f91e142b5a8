"""Other hosts: membership, messages, and figures divided among hosts."""
