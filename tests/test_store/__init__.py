"""Tests of the platform client, against the stand-in as a process."""
