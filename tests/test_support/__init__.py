"""Tests of what the tests are run with."""
