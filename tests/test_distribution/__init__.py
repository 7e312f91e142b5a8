"""Tests of `ragwortchute.distribution`."""
