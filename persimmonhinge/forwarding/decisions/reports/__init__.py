"""Decides what a host reports to other hosts."""
