"""Real programs under faults from outside, and checks of what users see."""
