"""Checked settings of the programs."""
