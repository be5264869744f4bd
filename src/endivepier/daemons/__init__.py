"""Builds and runs the daemon processes that the settings describe."""
