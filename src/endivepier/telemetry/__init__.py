"""Metrics, logs and spans."""
