"""How a host places, waits for, retries and doubts: no input or output."""
