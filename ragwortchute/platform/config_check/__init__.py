"""Check of a configuration before it is written to the platform's store.

`checking` is the entry point. `reading` decodes a file as the gateway does,
`rules` holds the registry that the modules with rules fill, and `differences`
compares two configurations. Findings use the names of the fields in the file.
"""
