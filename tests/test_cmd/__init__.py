"""Tests of the programs."""
