"""Requests that were at a target when it ended."""
