"""Policies that a contract or the settings name."""
