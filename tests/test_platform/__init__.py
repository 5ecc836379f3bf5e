"""Tests of the platform's formats."""
