"""What each kind of fault does."""
