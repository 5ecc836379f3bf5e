"""Tests of the policies."""
