"""Decides which upstream receives a new flow."""
