"""What a host tells operators of itself."""
