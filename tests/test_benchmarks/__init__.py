"""Tests of the measurements that the pages cite."""
