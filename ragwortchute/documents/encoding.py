"""Canonical encoding of documents, as kept in the store."""

import msgspec

from ragwortchute.documents import loading


def encode(document: loading.Document) -> bytes:
    """Returns JSON with all fields; equal documents give equal bytes."""
    return msgspec.json.encode(document, order='deterministic')


def pretty(document: loading.Document) -> str:
    """Returns indented JSON for people."""
    return msgspec.json.format(encode(document), indent=2).decode()
