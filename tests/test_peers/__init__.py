"""Tests of the streams between hosts."""
