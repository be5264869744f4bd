"""Which processes and targets are there, and their states."""
