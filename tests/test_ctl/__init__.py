"""Tests of the operators' command line, as processes."""
