"""Measurements, each a command that prints a slope or a ratio."""
