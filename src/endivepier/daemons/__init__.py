"""The daemons: settings in, a running process out. Thin on purpose."""
