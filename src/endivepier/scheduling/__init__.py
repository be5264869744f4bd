"""Fairness, order of programs, placement, prefix holding."""
