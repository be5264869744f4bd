"""Small stand-ins for the outside systems, for the demo, bench and tests."""
