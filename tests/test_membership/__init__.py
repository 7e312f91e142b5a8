"""Tests of `ragwortchute.membership`."""
