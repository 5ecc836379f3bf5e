"""Tests of the home of flows."""
