"""Fault soak: real entry hosts on loopback, with faults from outside."""
