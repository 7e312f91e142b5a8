"""Canonical encoding of documents, which is used in the store."""

import msgspec

from ragwortchute import documents


def encode(
    document: documents.ServiceDocument | documents.DeploymentDocument,
) -> bytes:
    """Returns canonical JSON with all fields.

    Equal documents give equal bytes.
    """
    return msgspec.json.encode(document, order='deterministic')
