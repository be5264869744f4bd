"""The HTTP API of an entry host, for callers and operators."""
