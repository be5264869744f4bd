"""Benchmarks, one module each; each prints its figures as JSON lines."""
