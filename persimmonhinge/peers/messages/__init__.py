"""Typed messages between hosts, one family in each module."""
