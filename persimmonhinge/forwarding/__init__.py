"""Layer-4 forwarding of packets whose payload only the endpoints can read."""
