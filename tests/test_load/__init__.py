"""Tests of the load program."""
