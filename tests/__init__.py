"""Tests and stand-ins of persimmonhinge."""
