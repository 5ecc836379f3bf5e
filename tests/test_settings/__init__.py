"""Tests of checked settings."""
