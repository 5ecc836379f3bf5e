"""Host membership by gossip, and placement by rendezvous hashing."""
