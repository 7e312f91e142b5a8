"""Tests of `ragwortchute.documents`."""
