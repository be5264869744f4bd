"""Stand-ins of a deployment's clients, servers and store, for the cases."""
