"""Policies that a contract names."""
