"""What each decision of a forwarding host is worth, switched off alone."""
