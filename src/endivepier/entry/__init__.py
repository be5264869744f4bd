"""The entry daemon: the callers' and operators' HTTP."""
