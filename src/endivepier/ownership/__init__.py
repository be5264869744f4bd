"""Ownership of programs: shards, their leases and epochs, and takeover."""
