"""Membership: the processes of the system, their state and liveness."""
