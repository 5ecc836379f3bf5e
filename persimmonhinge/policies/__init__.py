"""Policies that contracts and settings refer to by name."""
