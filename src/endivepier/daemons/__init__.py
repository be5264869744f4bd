"""Builds and runs the daemon processes that the settings describe.

These modules only wire components together; they hold no other logic.
"""
