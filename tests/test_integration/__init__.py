"""Tests of real processes together."""
