"""Calls whose responses are event streams, and the turns they store."""
