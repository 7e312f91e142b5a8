"""Canonical encoding of documents, as kept in the store."""

import msgspec

from ragwortchute import documents


def encode(
    document: documents.ServiceDocument | documents.DeploymentDocument,
) -> bytes:
    """Returns JSON with all fields; equal documents give equal bytes."""
    return msgspec.json.encode(document, order='deterministic')
