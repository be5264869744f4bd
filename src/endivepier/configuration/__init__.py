"""Release notes, revisions, keys and routes."""
