"""In-memory stand-ins for external systems, for the demo, benches and tests."""
