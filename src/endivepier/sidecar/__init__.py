"""The sidecar process, which all requests to its target pass through."""
