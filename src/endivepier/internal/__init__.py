"""Internals of the processes and their messages; no stable interface."""
