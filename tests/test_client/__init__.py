"""Tests of the caller library."""
