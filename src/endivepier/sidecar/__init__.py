"""The sidecar daemon: the only path to its target."""
