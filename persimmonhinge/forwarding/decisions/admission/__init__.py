"""Admission of new flows, and those that wait."""
