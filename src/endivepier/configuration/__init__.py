"""Configuration of the fleet: release notes, revisions, keys and routes.

An operator changes the configuration with a release note: a TOML document
that adds, changes or withdraws objects such as accounts, keys and targets.
Each accepted note makes the next revision, which is stored in the platform's
table. The newest accepted revision is the head.
"""
