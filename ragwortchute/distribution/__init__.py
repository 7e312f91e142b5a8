"""Distribution of documents and domain orders."""
