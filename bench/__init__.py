"""Measurements, one module each; every one prints JSON lines."""
