"""What hosts that forward packets tell each other."""
